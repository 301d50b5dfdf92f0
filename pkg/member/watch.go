package member

import (
	"context"
	"slices"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/state"
)

const (
	// watched is the number of members that each member watches.
	watched = 2
	// watchEvery is the period of heartbeats to watched members.
	watchEvery = time.Second
	// refusals is the number of refused connections in a row that end a member.
	refusals = 2
	// silentAfter is the silence that ends a member of the same data centre.
	silentAfter = 10 * time.Second
)

// health is what a watcher knows of one member.
type health struct {
	refused int
	heard   time.Time
}

// Watch sends heartbeats to the next members in the order of the list and takes
// those off the list that have ended. Spread must be set.
type Watch struct {
	Spread *Spread
	// SilentElsewhere is the silence that ends a member of another data centre.
	SilentElsewhere time.Duration

	health map[fleet.MemberID]*health
}

// Run watches until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	w.health = map[fleet.MemberID]*health{}
	clock.Every(ctx, w.Spread.Clock, clock.FixedPeriod(watchEvery), w.round)
}

// neighbours returns the members that this one watches: the next on the list.
func neighbours(v *config.View, self fleet.MemberID) []*state.Member {
	at := slices.IndexFunc(v.Members, func(m *state.Member) bool { return m.ID == self })
	if at < 0 {
		return nil
	}
	var list []*state.Member
	for i := 1; i <= watched && i < len(v.Members); i++ {
		list = append(list, v.Members[(at+i)%len(v.Members)])
	}
	return list
}

func (w *Watch) round(ctx context.Context) {
	list := neighbours(w.Spread.Follower.View(), w.Spread.Self)
	known := map[fleet.MemberID]*health{}
	for _, m := range list {
		h := w.health[m.ID]
		if h == nil {
			h = &health{heard: w.Spread.Clock.Now()}
		}
		known[m.ID] = h
	}
	w.health = known
	for _, m := range list {
		w.check(ctx, m, known[m.ID])
	}
}

func (w *Watch) check(ctx context.Context, m *state.Member, h *health) {
	err := w.Spread.Exchange(ctx, m.PeerAddress)
	now := w.Spread.Clock.Now()
	switch {
	case err == nil:
		h.heard, h.refused = now, 0
	case peer.IsConnectionRefused(err):
		h.refused++
	default:
		h.refused = 0
	}
	if h.refused >= refusals {
		w.end(ctx, m, state.EvidenceRefused)
		return
	}
	if now.Sub(h.heard) > w.patience(m) {
		w.end(ctx, m, state.EvidenceUnresponsive)
	}
}

func (w *Watch) patience(m *state.Member) time.Duration {
	if m.DataCentre == w.Spread.DataCentre {
		return silentAfter
	}
	return max(w.SilentElsewhere, silentAfter)
}

func (w *Watch) end(ctx context.Context, m *state.Member, evidence state.Evidence) {
	logger := w.Spread.Logger.WithField("member", m.ID).WithField("evidence", evidence)
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), state.RecordMemberEnd,
		state.MemberEnd{Member: m.ID, Evidence: evidence, ReportedBy: w.Spread.Self})
	if err == nil {
		_, err = w.Spread.Follower.Log.Append(ctx, platformlog.StreamConfig, record)
	}
	if err != nil {
		logger.WithError(err).Warn("end of member not recorded yet")
		return
	}
	logger.Info("end of member recorded")
	_ = w.Spread.Follower.ReadLog(ctx, 0)
}

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
	// neighbourCount is the number of members that each member watches.
	neighbourCount = 2
	// heartbeatInterval is the period of heartbeats to watched members.
	heartbeatInterval = time.Second
	// maxRefusals is the number of refused connections in a row that end a member.
	maxRefusals = 2
	// unresponsiveTimeout is the silence that ends a member of the same data centre.
	unresponsiveTimeout = 10 * time.Second
)

// health is what a watcher knows of one member.
type health struct {
	refusals     int
	lastResponse time.Time
}

// FailureDetector sends heartbeats to the next members in the order of the list and takes
// those off the list that have ended. Spread must be set.
type FailureDetector struct {
	Gossiper *Gossiper
	// RemoteTimeout is the silence that ends a member of another data centre.
	RemoteTimeout time.Duration

	health map[fleet.MemberID]*health
}

// Run watches until ctx ends.
func (d *FailureDetector) Run(ctx context.Context) {
	d.health = map[fleet.MemberID]*health{}
	clock.Every(ctx, d.Gossiper.Clock, clock.FixedPeriod(heartbeatInterval), d.checkNeighbours)
}

// neighbours returns the members that this one watches: the next on the list.
func neighbours(v *config.View, self fleet.MemberID) []*state.Member {
	index := slices.IndexFunc(v.Members, func(m *state.Member) bool { return m.ID == self })
	if index < 0 {
		return nil
	}
	var next []*state.Member
	for i := 1; i <= neighbourCount && i < len(v.Members); i++ {
		next = append(next, v.Members[(index+i)%len(v.Members)])
	}
	return next
}

func (d *FailureDetector) checkNeighbours(ctx context.Context) {
	members := neighbours(d.Gossiper.Follower.View(), d.Gossiper.Self)
	current := map[fleet.MemberID]*health{}
	for _, m := range members {
		h := d.health[m.ID]
		if h == nil {
			h = &health{lastResponse: d.Gossiper.Clock.Now()}
		}
		current[m.ID] = h
	}
	d.health = current
	for _, m := range members {
		d.check(ctx, m, current[m.ID])
	}
}

func (d *FailureDetector) check(ctx context.Context, m *state.Member, h *health) {
	err := d.Gossiper.Exchange(ctx, m.PeerAddress)
	now := d.Gossiper.Clock.Now()
	switch {
	case err == nil:
		h.lastResponse, h.refusals = now, 0
	case peer.Refused(err):
		h.refusals++
	default:
		h.refusals = 0
	}
	if h.refusals >= maxRefusals {
		d.recordEnd(ctx, m, state.EvidenceRefused)
		return
	}
	if now.Sub(h.lastResponse) > d.timeoutFor(m) {
		d.recordEnd(ctx, m, state.EvidenceUnresponsive)
	}
}

func (d *FailureDetector) timeoutFor(m *state.Member) time.Duration {
	if m.DataCentre == d.Gossiper.DataCentre {
		return unresponsiveTimeout
	}
	return max(d.RemoteTimeout, unresponsiveTimeout)
}

func (d *FailureDetector) recordEnd(ctx context.Context, m *state.Member, evidence state.Evidence) {
	logger := d.Gossiper.Logger.WithField("member", m.ID).WithField("evidence", evidence)
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), state.RecordMemberEnd,
		state.MemberEnd{Member: m.ID, Evidence: evidence, ReportedBy: d.Gossiper.Self})
	if err == nil {
		_, err = d.Gossiper.Follower.Log.Append(ctx, platformlog.StreamConfig, record)
	}
	if err != nil {
		logger.WithError(err).Warn("end of member not recorded yet")
		return
	}
	logger.Info("end of member recorded")
	_ = d.Gossiper.Follower.ReadLog(ctx, 0)
}

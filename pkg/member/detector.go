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
	// neighbourCount is the number of members that each member monitors.
	neighbourCount = 2
	// heartbeatInterval is the time between two heartbeats to a neighbour.
	heartbeatInterval = time.Second
	// maxRefusals is the number of consecutive refused connections after which a
	// member is removed.
	maxRefusals = 2
	// unresponsiveTimeout is the time without a response after which a member of the
	// same data centre is removed.
	unresponsiveTimeout = 10 * time.Second
)

// health is the result of the heartbeats to one neighbour.
type health struct {
	// refusals is the number of consecutive refused connections.
	refusals int
	// lastResponse is the time of the last response, or of the first heartbeat if there
	// was none.
	lastResponse time.Time
}

// FailureDetector sends heartbeats to the neighbours of the local member and removes
// those that have failed from the member list. Gossiper must be set.
type FailureDetector struct {
	// Gossiper makes the exchanges that serve as heartbeats.
	Gossiper *Gossiper
	// RemoteTimeout is the time without a response after which a member of another data
	// centre is removed. It has no effect below unresponsiveTimeout.
	RemoteTimeout time.Duration

	// health holds the current neighbours. Only the goroutine of Run uses it.
	health map[fleet.MemberID]*health
}

// Run monitors the neighbours until ctx ends. It must be called only once.
func (d *FailureDetector) Run(ctx context.Context) {
	d.health = map[fleet.MemberID]*health{}
	clock.Every(ctx, d.Gossiper.Clock, clock.FixedPeriod(heartbeatInterval), d.checkNeighbours)
}

// neighbours returns the members that the member self monitors: the next ones in the
// order of the view, which wraps around. It returns nil if self is not in the view.
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

// checkNeighbours sends one heartbeat to each neighbour. It keeps the health of members
// that are still neighbours.
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

// check sends a heartbeat to m and removes m if it has failed. h is the health of m.
func (d *FailureDetector) check(ctx context.Context, m *state.Member, h *health) {
	err := d.Gossiper.Exchange(ctx, m.PeerAddress)
	now := d.Gossiper.Clock.Now()
	switch {
	case err == nil:
		h.lastResponse, h.refusals = now, 0
	case peer.IsConnectionRefused(err):
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

// timeoutFor returns the time without a response after which m is removed.
func (d *FailureDetector) timeoutFor(m *state.Member) time.Duration {
	if m.DataCentre == d.Gossiper.DataCentre {
		return unresponsiveTimeout
	}
	return max(d.RemoteTimeout, unresponsiveTimeout)
}

// recordEnd records in the log that m has ended, which removes it from the member list.
// After an error, the next heartbeat tries again.
func (d *FailureDetector) recordEnd(ctx context.Context, m *state.Member, evidence state.Evidence) {
	logger := d.Gossiper.Logger.WithField("member", m.ID).WithField("evidence", evidence)
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), state.RecordMemberEnd,
		state.MemberEnd{Member: m.ID, Evidence: evidence, ReportedBy: d.Gossiper.Self})
	if err == nil {
		_, err = d.Gossiper.Follower.Log.Append(ctx, platformlog.StreamConfig, record)
	}
	if err != nil {
		logger.WithError(err).Warn("cannot record end of member; will retry")
		return
	}
	logger.Info("end of member recorded")
	_ = d.Gossiper.Follower.ReadLog(ctx, 0)
}

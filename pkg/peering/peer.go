package peering

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/balancer"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Peer is a node that runs calls: another node or the local one.
type Peer struct {
	Node directory.NodeAddress
	// link is nil for the local node, and gate is nil for all others.
	link *link.Link
	gate *gate.Gate

	// noteLeaving is Peers.NoteLeaving.
	noteLeaving func(*linkrpc.Load)

	// holds is the number of holds that have not been released, or negative once the
	// link is closed.
	holds atomic.Int64
	// pendingCalls is the number of calls that this node sent and that have not
	// ended.
	pendingCalls atomic.Int64
	load         atomic.Pointer[linkrpc.Load]
	// estimate is what follows from the reports of the load; nil before the first one.
	estimate atomic.Pointer[balancer.Estimate]
	// rateLimit is the limit that the last answer from the peer's instance named.
	rateLimit atomic.Pointer[knownLimit]
	// avoidUntil is a clock.Monotonic until which the instance is a last resort; 0
	// if there is no such time.
	avoidUntil atomic.Int64
}

// knownLimit is the rate limit of an instance in calls per second; 0 means none.
type knownLimit struct {
	instance string
	rate     float64
}

// KnownRateLimit returns the limit that the instance has named in the last answer that
// this node received from it, in calls per second, or 0.
func (p *Peer) KnownRateLimit(instance fleet.InstanceName) float64 {
	if known := p.rateLimit.Load(); known != nil && known.instance == string(instance) {
		return known.rate
	}
	return 0
}

// learn keeps what the outcome of a call says of the instance.
func (p *Peer) learn(run *linkrpc.Run, outcome *linkrpc.Outcome) {
	rate := outcome.GetLoad().GetRateLimit()
	if outcome.Fate == linkrpc.Fate_FATE_ANSWERED && rate != p.KnownRateLimit(fleet.InstanceName(run.Instance)) {
		p.rateLimit.Store(&knownLimit{instance: run.Instance, rate: rate})
	}
}

// Load returns the last known load of the peer's instance, or nil.
func (p *Peer) Load() *linkrpc.Load {
	if p.gate != nil {
		return p.gate.Load()
	}
	return p.load.Load()
}

func (p *Peer) avoided(now time.Time) bool {
	until := clock.Monotonic(p.avoidUntil.Load())
	return until != 0 && clock.MonotonicOf(now) < until
}

func (p *Peer) avoid(now time.Time, d time.Duration) {
	p.avoidUntil.Store(int64(clock.MonotonicOf(now).Add(d)))
}

// MarkClosed makes the instance a last resort for closedAvoidance, after it
// rejected a call because it accepts none.
func (p *Peer) MarkClosed(now time.Time) { p.avoid(now, closedAvoidance) }

// Hold keeps the link to the peer open until Release, also if the node leaves the
// directory meanwhile. A caller of Run holds the peer until the outcome is known. Hold
// returns false if the link has been closed, so that nothing can be sent; Release must
// not be called then.
func (p *Peer) Hold() bool { return p.holds.Add(1) > 0 }

// Release ends a hold.
func (p *Peer) Release() { p.holds.Add(-1) }

// Run runs a call at the peer and returns its outcome and the incarnation of the
// peer, which is 0 for the local node. It returns the errors of link.Call. The memory for the
// body of an outcome of the local node stays reserved until ReleaseBody.
func (p *Peer) Run(ctx context.Context, run *linkrpc.Run) (*linkrpc.Outcome, uint64, error) {
	p.pendingCalls.Add(1)
	defer p.pendingCalls.Add(-1)
	if p.gate != nil {
		return p.runLocally(ctx, run)
	}
	outcome, incarnation, err := p.call(ctx, link.KindRun, run)
	if err == nil {
		p.learn(run, outcome)
	}
	return outcome, incarnation, err
}

// runLocally runs a call at the local gate. The call is cancelled when ctx ends.
func (p *Peer) runLocally(ctx context.Context, run *linkrpc.Run) (*linkrpc.Outcome, uint64, error) {
	outcome := p.gate.Run(ctx, context.Background(), run)
	p.noteLeaving(outcome.Load)
	if ctx.Err() == nil {
		return outcome, 0, nil
	}
	p.gate.ReleaseBody(outcome)
	if outcome.Fate == linkrpc.Fate_FATE_NOT_RUN {
		return nil, 0, &link.NotSentError{Cause: ctx.Err()}
	}
	return nil, 0, ctx.Err()
}

// ReleaseBody ends the reservation for the body of an outcome that Run has returned.
func (p *Peer) ReleaseBody(outcome *linkrpc.Outcome) {
	if p.gate != nil {
		p.gate.ReleaseBody(outcome)
	}
}

// QueryOutcome queries the outcome of an attempt. It returns the incarnation of
// the peer that answered and the errors of link.Call. The peer must not be the
// local node.
func (p *Peer) QueryOutcome(ctx context.Context, query *linkrpc.Ask) (*linkrpc.Outcome, uint64, error) {
	return p.call(ctx, link.KindAsk, query)
}

func (p *Peer) call(ctx context.Context, kind link.Kind, message proto.Message) (*linkrpc.Outcome, uint64, error) {
	reply, err := p.link.Call(ctx, kind, message)
	if err != nil {
		return nil, reply.Incarnation, err
	}
	defer reply.Release()
	outcome, err := decodeOutcome(reply.Payload)
	if err != nil {
		return nil, reply.Incarnation, &link.ConnectionLostError{Incarnation: reply.Incarnation, Cause: err}
	}
	if outcome.Load != nil {
		pending := p.pendingCalls.Load()
		if kind == link.KindRun {
			pending-- // this call still counts
		}
		p.noteLoad(p.link.Clock.Now(), outcome.Load, pending)
		p.noteLeaving(outcome.Load)
	}
	return outcome, reply.Incarnation, nil
}

// Borrow asks the peer for tokens of an organisation and returns the number
// granted. It returns the errors of link.Call, or the error of a grant that cannot
// be decoded; the tokens of such a grant are lost.
func (p *Peer) Borrow(ctx context.Context, organisation fleet.OrganisationID, wanted float64) (float64, error) {
	reply, err := p.link.Call(ctx, link.KindTokenRequest, &linkrpc.TokenRequest{Organisation: string(organisation), Wanted: wanted})
	if err != nil {
		return 0, err
	}
	defer reply.Release()
	grant := &linkrpc.TokenGrant{}
	if err := proto.Unmarshal(reply.Payload, grant); err != nil {
		return 0, err
	}
	return grant.Granted, nil
}

// ReadTopic asks the peer for records of a topic that it follows. It returns the errors of
// link.Call, or the error of an answer that cannot be decoded.
func (p *Peer) ReadTopic(ctx context.Context, question *linkrpc.TopicRead) (*linkrpc.TopicRecords, error) {
	reply, err := p.link.Call(ctx, link.KindTopicRead, question)
	if err != nil {
		return nil, err
	}
	defer reply.Release()
	answer := &linkrpc.TopicRecords{}
	if err := proto.Unmarshal(reply.Payload, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// PoolsTokens reports whether the peer is connected and takes gifts of tokens.
func (p *Peer) PoolsTokens() bool { return p.link != nil && p.link.Peer().GetPoolsTokens() }

// PassesReports reports whether the peer is connected and takes reports.
func (p *Peer) PassesReports() bool { return p.link != nil && p.link.Peer().GetPassesReports() }

// GiveTokens sends gifts to the peer. It returns false if nothing was sent.
func (p *Peer) GiveTokens(gifts *linkrpc.TokenGifts) bool {
	return p.link != nil && p.link.Notify(link.KindTokenGifts, gifts)
}

// SendStatus sends the status of this node to the peer. It drops the status if no
// connection is open.
func (p *Peer) SendStatus(status *linkrpc.Status) {
	if p.link != nil {
		_ = p.link.Notify(link.KindStatus, status)
	}
}

// TellDeparture tells the peer that the instance beside this node leaves, and waits until
// the peer has noted it. It returns the errors of link.Call.
func (p *Peer) TellDeparture(ctx context.Context, status *linkrpc.Status) error {
	reply, err := p.link.Call(ctx, link.KindDeparture, status)
	if err == nil {
		reply.Release()
	}
	return err
}

// SendReports sends statuses of several nodes to the peer. It drops them if no connection
// is open.
func (p *Peer) SendReports(reports *linkrpc.Reports) {
	if p.link != nil {
		_ = p.link.Notify(link.KindReports, reports)
	}
}

// Connect opens a connection to the peer unless there is one. It does not wait, and reports
// no failure.
func (p *Peer) Connect(ctx context.Context) {
	if p.link != nil && !p.link.Connected() {
		go func() { _ = p.link.Connect(ctx) }()
	}
}

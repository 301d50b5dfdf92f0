package node

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/plantainramp/plantainramp/pkg/action"
	"github.com/plantainramp/plantainramp/pkg/admission"
	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/member"
	"github.com/plantainramp/plantainramp/pkg/outcome"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/rate"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// fetchWait is how long a Fetch waits for a call that still runs.
const fetchWait = 500 * time.Millisecond

// Peers answers other nodes. It implements the Twirp service.
type Peers struct {
	Self     fleet.MemberID
	Clock    clock.Clock
	Start    time.Time
	Follower *config.Follower
	Spread   *member.Gossiper
	Outcomes *outcome.Store
	Admitted call.Handler
	Load     func() admission.Load
	Lender   *rate.Allocator
	Recorder *action.Recorder
	Writer   *action.Writer
	// Leaving tells whether the instance takes no new work.
	Leaving func() bool
}

// Run implements peerrpc.Peer.
func (p *Peers) Run(ctx context.Context, req *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	id := fleet.CallID(req.GetCallId())
	// The work outlives the connection that asked for it: it ends at its
	// deadline, or when it is cancelled by its id.
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	entry, fresh := p.Outcomes.Begin(id, cancel)
	if !fresh {
		cancel()
		if reply := entry.Wait(ctx); reply != nil {
			return reply, nil
		}
		return nil, twirp.NewError(twirp.Canceled, "the caller left")
	}
	defer cancel()
	c := peer.DecodeCall(req, p.Start)
	answer, err := p.run(work, fleet.MemberID(req.GetTarget()), c)
	reply := p.reply(id, c, answer, err)
	reply.AllowanceUsed = req.GetAllowance() - int32(c.Retries.Remaining())
	p.Outcomes.Finish(id, reply)
	return reply, nil
}

func (p *Peers) run(ctx context.Context, target fleet.MemberID, c *call.Call) (*call.Response, error) {
	if target != p.Self || p.Leaving() {
		return nil, problem.New(problem.KindLeaving, "the instance takes no new work")
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return p.Admitted(ctx, c)
}

// RunLocal runs a call that entered at this node on its own upstream.
func (p *Peers) RunLocal(ctx context.Context, id fleet.CallID, c *call.Call) *peerrpc.RunReply {
	allowance := c.Retries.Remaining()
	answer, err := p.run(ctx, p.Self, c)
	reply := p.reply(id, c, answer, err)
	reply.AllowanceUsed = int32(allowance - c.Retries.Remaining())
	return reply
}

func (p *Peers) reply(id fleet.CallID, c *call.Call, answer *call.Response, err error) *peerrpc.RunReply {
	reply := peer.EncodeResult(id, answer, err)
	reply.Found = true
	reply.Shed = reply.Shed || c.Children.Shed()
	p.stamp(reply)
	return reply
}

func (p *Peers) stamp(reply *peerrpc.RunReply) {
	load := p.Load()
	reply.Clock = int64(p.Clock.Now().Sub(p.Start))
	reply.Load = &peerrpc.Load{
		InFlight: int32(load.InFlight), Limit: int32(load.Limit), Queued: int32(load.Queued),
		QueueDelayUs: load.QueueDelay.Microseconds(),
	}
}

// Fetch implements peerrpc.Peer.
func (p *Peers) Fetch(ctx context.Context, req *peerrpc.FetchRequest) (*peerrpc.RunReply, error) {
	id := fleet.CallID(req.GetCallId())
	if req.GetCancel() {
		p.Outcomes.Cancel(id)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchWait)
	defer cancel()
	sealed := peer.EncodeResult(id, nil, problem.New(problem.KindUnreachable, "the call never arrived and was sealed"))
	p.stamp(sealed)
	reply := p.Outcomes.Fetch(ctx, id, sealed)
	if reply == nil {
		reply = &peerrpc.RunReply{CallId: string(id), Found: true, Running: true, Clock: int64(p.Clock.Now().Sub(p.Start))}
	}
	return reply, nil
}

// Exchange implements peerrpc.Peer.
func (p *Peers) Exchange(ctx context.Context, req *peerrpc.ExchangeRequest) (*peerrpc.ExchangeReply, error) {
	return p.Spread.HandleExchange(ctx, req), nil
}

// Snapshot implements peerrpc.Peer.
func (p *Peers) Snapshot(context.Context, *peerrpc.SnapshotRequest) (*peerrpc.SnapshotReply, error) {
	s := p.Follower.View().State
	packed, digest, err := s.Pack()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerrpc.SnapshotReply{NextOffset: int64(s.NextOffset), State: packed, Digest: digest}, nil
}

// Borrow implements peerrpc.Peer.
func (p *Peers) Borrow(_ context.Context, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
	return p.Lender.Borrow(req), nil
}

// Intend implements peerrpc.Peer.
func (p *Peers) Intend(ctx context.Context, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error) {
	return p.Recorder.HandleIntend(ctx, req), nil
}

// Recall implements peerrpc.Peer.
func (p *Peers) Recall(ctx context.Context, req *peerrpc.RecallRequest) (*peerrpc.RecallReply, error) {
	wait := min(time.Duration(req.GetWaitMs())*time.Millisecond, 2*time.Second)
	return p.Writer.HandleRecall(ctx, action.IntentID(req.GetIntentId()), wait), nil
}

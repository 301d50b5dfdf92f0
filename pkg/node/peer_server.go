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

// maxFetchWait is the maximum time that Fetch waits for the reply of a running call.
const maxFetchWait = 500 * time.Millisecond

// PeerServer serves the requests of other nodes. It implements the Twirp service
// peerrpc.Peer. All fields must be set. It is safe for concurrent use.
type PeerServer struct {
	// Self is the id of the local member.
	Self  fleet.MemberID
	Clock clock.Clock
	// Start is the zero point of the clock readings sent to peers.
	Start    time.Time
	Follower *config.Follower
	Gossiper *member.Gossiper
	Outcomes *outcome.Store
	// CallHandler runs a call on the local upstream.
	CallHandler call.Handler
	// Load returns the load of the local upstream.
	Load      func() admission.Load
	Allocator *rate.Allocator
	Recorder  *action.Recorder
	Writer    *action.Writer
	// Leaving reports whether the instance accepts no new calls.
	Leaving func() bool
}

// Run implements peerrpc.Peer.
func (p *PeerServer) Run(ctx context.Context, req *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	id := fleet.CallID(req.GetCallId())
	// The execution does not end with the connection of the request. It ends at its
	// deadline or when Fetch cancels it by its id.
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	entry, begun := p.Outcomes.Begin(id, cancel)
	if !begun {
		cancel()
		if reply := entry.Wait(ctx); reply != nil {
			return reply, nil
		}
		return nil, twirp.NewError(twirp.Canceled, "the caller left")
	}
	defer cancel()
	c := peer.DecodeCall(req, p.Start)
	response, err := p.execute(runCtx, fleet.MemberID(req.GetTarget()), c)
	reply := p.newReply(id, c, response, err)
	reply.AllowanceUsed = req.GetAllowance() - int32(c.Retries.Remaining())
	p.Outcomes.Finish(id, reply)
	return reply, nil
}

// execute runs a call on the local upstream. It fails with problem.KindLeaving if the
// call is for another member or the instance accepts no new calls.
func (p *PeerServer) execute(ctx context.Context, target fleet.MemberID, c *call.Call) (*call.Response, error) {
	if target != p.Self || p.Leaving() {
		return nil, problem.New(problem.KindLeaving, "the instance takes no new work")
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return p.CallHandler(ctx, c)
}

// RunLocal runs a call that entered at this node on the local upstream.
func (p *PeerServer) RunLocal(ctx context.Context, id fleet.CallID, c *call.Call) *peerrpc.RunReply {
	allowance := c.Retries.Remaining()
	response, err := p.execute(ctx, p.Self, c)
	reply := p.newReply(id, c, response, err)
	reply.AllowanceUsed = int32(allowance - c.Retries.Remaining())
	return reply
}

func (p *PeerServer) newReply(id fleet.CallID, c *call.Call, response *call.Response, err error) *peerrpc.RunReply {
	reply := peer.EncodeResult(id, response, err)
	reply.Found = true
	reply.Shed = reply.Shed || c.Children.Shed()
	p.addLoad(reply)
	return reply
}

// addLoad sets the load of the local upstream in a reply, and the clock reading at which
// it was taken.
func (p *PeerServer) addLoad(reply *peerrpc.RunReply) {
	load := p.Load()
	reply.Clock = int64(p.Clock.Now().Sub(p.Start))
	reply.Load = &peerrpc.Load{
		InFlight: int32(load.InFlight), Limit: int32(load.Limit), Queued: int32(load.Queued),
		QueueDelayUs: load.QueueDelay.Microseconds(),
	}
}

// Fetch implements peerrpc.Peer.
func (p *PeerServer) Fetch(ctx context.Context, req *peerrpc.FetchRequest) (*peerrpc.RunReply, error) {
	id := fleet.CallID(req.GetCallId())
	if req.GetCancel() {
		p.Outcomes.Cancel(id)
	}
	ctx, cancel := context.WithTimeout(ctx, maxFetchWait)
	defer cancel()
	fenceReply := peer.EncodeResult(id, nil, problem.New(problem.KindUnreachable, "the call never arrived and was sealed"))
	p.addLoad(fenceReply)
	reply := p.Outcomes.Fetch(ctx, id, fenceReply)
	if reply == nil {
		reply = &peerrpc.RunReply{CallId: string(id), Found: true, Running: true, Clock: int64(p.Clock.Now().Sub(p.Start))}
	}
	return reply, nil
}

// Exchange implements peerrpc.Peer.
func (p *PeerServer) Exchange(ctx context.Context, req *peerrpc.ExchangeRequest) (*peerrpc.ExchangeReply, error) {
	return p.Gossiper.HandleExchange(ctx, req), nil
}

// Snapshot implements peerrpc.Peer.
func (p *PeerServer) Snapshot(context.Context, *peerrpc.SnapshotRequest) (*peerrpc.SnapshotReply, error) {
	current := p.Follower.View().State
	packed, digest, err := current.Pack()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peerrpc.SnapshotReply{NextOffset: int64(current.NextOffset), State: packed, Digest: digest}, nil
}

// Borrow implements peerrpc.Peer.
func (p *PeerServer) Borrow(_ context.Context, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
	return p.Allocator.Borrow(req), nil
}

// Intend implements peerrpc.Peer.
func (p *PeerServer) Intend(ctx context.Context, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error) {
	return p.Recorder.HandleIntend(ctx, req), nil
}

// Recall implements peerrpc.Peer.
func (p *PeerServer) Recall(ctx context.Context, req *peerrpc.RecallRequest) (*peerrpc.RecallReply, error) {
	maxWait := min(time.Duration(req.GetWaitMs())*time.Millisecond, 2*time.Second)
	return p.Writer.HandleRecall(ctx, action.IntentID(req.GetIntentId()), maxWait), nil
}

package route

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/retry"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// maxReroutes bounds the instances tried after refusals that cost nothing.
	maxReroutes = 2
	// maxPlainRetries bounds retries while the policy is off.
	maxPlainRetries = 3
	// cancelTimeout bounds the message that cancels a call.
	cancelTimeout = time.Second
)

// Router sends calls to instances of their service. All fields must be set.
type Router struct {
	Self       fleet.MemberID
	DataCentre fleet.DataCentre
	Follower   *config.Follower
	Pool       *peer.Pool
	Clock      clock.Clock
	Links      *Links
	Throttle   *Throttle
	Logger     *logs.Logger
	// Local runs a call on the node's own upstream.
	Local func(ctx context.Context, id fleet.CallID, c *call.Call) *peerrpc.RunReply
	// Off switches retry budgets and throttling off.
	Off bool

	budgets sync.Map
}

// attempts is the state of one call's tries.
type attempts struct {
	tried    []fleet.MemberID
	reroutes int
	retries  int
	last     error
}

// Handle implements call.Handler.
func (r *Router) Handle(ctx context.Context, c *call.Call) (*call.Response, error) {
	if !r.Off && r.Throttle.Holds(c) {
		return nil, throttled(c)
	}
	answer, err := r.try(ctx, c)
	r.Throttle.Ended(c, !shedAnywhere(answer, err))
	return answer, err
}

func throttled(c *call.Call) error {
	e := problem.New(problem.KindShed, fmt.Sprintf("service %s sheds calls of this class and organisation", c.Service))
	e.RetryAfter = time.Second + time.Duration(c.Bucket())*3*time.Second/call.BucketCount
	e.Full = true
	return e
}

// shedAnywhere tells whether the call or one below it was shed.
func shedAnywhere(answer *call.Response, err error) bool {
	if answer != nil {
		return answer.Shed && answer.Status >= http.StatusInternalServerError
	}
	var p *problem.Error
	return eris.As(err, &p) && p.Kind == problem.KindShed
}

func (r *Router) try(ctx context.Context, c *call.Call) (*call.Response, error) {
	var a attempts
	for {
		target := r.Links.Pick(r.Follower.View(), c.Service, r.DataCentre, a.tried)
		if target == nil {
			return nil, r.noneLeft(&a)
		}
		a.tried = append(a.tried, target.Member.ID)
		answer, err := r.send(ctx, c, target)
		if err == nil && !retryable(c, answer) {
			r.budget(c.Service).RecordSuccess()
			return answer, nil
		}
		if !r.again(ctx, c, &a, answer, err) {
			return answer, err
		}
		a.last = err
	}
}

// retryable tells whether an answer says that another try may do better.
func retryable(c *call.Call, answer *call.Response) bool {
	if !c.Route.Idempotent || answer.Shed {
		return false
	}
	switch answer.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (r *Router) noneLeft(a *attempts) error {
	if a.last != nil {
		return a.last
	}
	e := problem.New(problem.KindUnreachable, "no instance of the service is on the list of members")
	e.RetryAfter = time.Second
	return e
}

// again decides whether to try another instance after an outcome that did not
// satisfy, and waits before a retry.
func (r *Router) again(ctx context.Context, c *call.Call, a *attempts, answer *call.Response, err error) bool {
	if ctx.Err() != nil || c.Remaining(r.Clock.Now()) <= 0 {
		return false
	}
	var p *problem.Error
	if answer == nil && eris.As(err, &p) && p.Execution == problem.NotExecuted {
		return r.reroute(a, p)
	}
	if !c.Route.Idempotent {
		return false
	}
	return r.spendRetry(ctx, c, a)
}

// reroute decides after a refusal that certainly ran nothing. It costs no
// retry, since no upstream has seen the call.
func (r *Router) reroute(a *attempts, p *problem.Error) bool {
	if p.Full || a.reroutes >= maxReroutes {
		return false
	}
	a.reroutes++
	switch p.Kind {
	case problem.KindLeaving, problem.KindUnreachable, problem.KindNotReady:
		return true
	case problem.KindShed:
		return a.reroutes == 1
	}
	return false
}

func (r *Router) spendRetry(ctx context.Context, c *call.Call, a *attempts) bool {
	if r.Off {
		a.retries++
		a.tried = nil
		return a.retries <= maxPlainRetries
	}
	if !r.budget(c.Service).Take() || !c.Retries.Take() {
		return false
	}
	pause := retry.Backoff(a.retries)
	a.retries++
	if c.Remaining(r.Clock.Now()) <= pause {
		return false
	}
	return clock.Sleep(ctx, r.Clock, pause) == nil
}

func (r *Router) budget(service fleet.ServiceName) *retry.Budget {
	if found, ok := r.budgets.Load(service); ok {
		return found.(*retry.Budget)
	}
	found, _ := r.budgets.LoadOrStore(service, new(retry.Budget))
	return found.(*retry.Budget)
}

// send makes one try at one instance.
func (r *Router) send(ctx context.Context, c *call.Call, target *Candidate) (*call.Response, error) {
	target.Link.outstanding.Add(1)
	defer target.Link.outstanding.Add(-1)
	id := fleet.CallID(fleet.NewID())
	lent := c.Retries.Grant()
	reply, err := r.deliver(ctx, id, c, target, lent)
	if err != nil {
		return nil, r.failure(ctx, c, id, target, err)
	}
	c.Retries.Return(lent - int(reply.GetAllowanceUsed()))
	target.Link.Answered(r.Clock.Now(), reply.GetLoad())
	if refusal := reply.GetRefusal(); refusal != nil {
		p := peer.DecodeError(refusal)
		if p.Kind == problem.KindLeaving {
			target.Link.Leaves(r.Clock.Now())
		}
		if p.Kind == problem.KindUnreachable {
			target.Link.Failed(r.Clock.Now())
		}
		return nil, p
	}
	return peer.DecodeResponse(reply), nil
}

func (r *Router) deliver(ctx context.Context, id fleet.CallID, c *call.Call, target *Candidate, lent int) (*peerrpc.RunReply, error) {
	if target.Member.ID == r.Self {
		return r.Local(ctx, id, c.WithRetries(lent)), nil
	}
	p := r.Pool.Get(target.Member.PeerAddress)
	if err := p.EnsureClock(ctx, r.Clock); err != nil {
		return nil, &peer.NotSentError{Cause: err}
	}
	req := peer.EncodeCall(p, id, target.Member.ID, c, lent)
	sendCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return p.Run(sendCtx, r.Clock, req)
}

// failure turns a transport error into what is known of the call's fate.
func (r *Router) failure(ctx context.Context, c *call.Call, id fleet.CallID, target *Candidate, err error) error {
	r.Logger.WithError(err).WithField("requestId", c.Request).WithField("target", target.Member.ID).Warn("call failed on its way")
	now := r.Clock.Now()
	var unsent *peer.NotSentError
	if eris.As(err, &unsent) {
		target.Link.Failed(now)
		return problem.New(problem.KindUnreachable, "the instance could not be reached")
	}
	if ctx.Err() != nil || c.Remaining(now) <= 0 {
		r.cancel(target, id, c)
		return problem.NewUncertain(problem.KindDeadline, "the deadline passed, or the caller left, before the answer came")
	}
	target.Link.Failed(now)
	return problem.NewUncertain(problem.KindUncertain, "the instance fell silent after the call was sent")
}

// cancel tells the instance that nobody waits any more. Actions go on, so that
// their answer can be had by repeating them.
func (r *Router) cancel(target *Candidate, id fleet.CallID, c *call.Call) {
	if c.IsAction() {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		_, _ = r.Pool.Get(target.Member.PeerAddress).Client().Fetch(ctx, &peerrpc.FetchRequest{CallId: string(id), Seal: true, Cancel: true})
	}()
}

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
	// maxReroutes bounds the further instances tried after refusals without execution,
	// which use no retries.
	maxReroutes = 2
	// maxUnbudgetedRetries bounds the retries of a call while Router.Disabled is set.
	maxUnbudgetedRetries = 3
	// cancelTimeout bounds the request that cancels a call at its instance.
	cancelTimeout = time.Second
)

// Router sends calls to instances of their service. All exported fields must be set. It
// is safe for concurrent use.
type Router struct {
	// Self and DataCentre identify the local member.
	Self       fleet.MemberID
	DataCentre fleet.DataCentre
	Follower   *config.Follower
	Pool       *peer.Pool
	Clock      clock.Clock
	Endpoints  *Endpoints
	Throttle   *Throttle
	Logger     *logs.Logger
	// Local runs a call on the local upstream.
	Local func(ctx context.Context, id fleet.CallID, c *call.Call) *peerrpc.RunReply
	// Disabled turns off retry budgets and throttling.
	Disabled bool

	// budgets maps fleet.ServiceName to *retry.Budget.
	budgets sync.Map
}

// attempts tracks the attempts to execute one call.
type attempts struct {
	tried []fleet.MemberID
	// reroutes counts the further attempts after refusals without execution.
	reroutes int
	retries  int
	// lastError is the error of the last attempt, or nil.
	lastError error
}

// Handle implements call.Handler.
func (r *Router) Handle(ctx context.Context, c *call.Call) (*call.Response, error) {
	if !r.Disabled && r.Throttle.Rejects(c) {
		return nil, throttledError(c)
	}
	response, err := r.tryInstances(ctx, c)
	r.Throttle.RecordResult(c, !wasShed(response, err))
	return response, err
}

// throttledError returns the refusal of a call that the throttle rejects. The retry delay
// depends on the request's bucket, so that retries are spread over 3 seconds.
func throttledError(c *call.Call) error {
	refusal := problem.New(problem.KindShed, fmt.Sprintf("service %s sheds calls of this class and organisation", c.Service))
	refusal.RetryAfter = time.Second + time.Duration(c.Bucket())*3*time.Second/call.BucketCount
	refusal.Full = true
	return refusal
}

// wasShed reports whether the call failed because it, or one of its child calls, was
// shed.
func wasShed(response *call.Response, err error) bool {
	if response != nil {
		return response.Shed && response.Status >= http.StatusInternalServerError
	}
	var p *problem.Error
	return eris.As(err, &p) && p.Kind == problem.KindShed
}

// tryInstances sends the call to one instance after the other, until one attempt succeeds
// or no further attempt is allowed.
func (r *Router) tryInstances(ctx context.Context, c *call.Call) (*call.Response, error) {
	var progress attempts
	for {
		candidate := r.Endpoints.Pick(r.Follower.View(), c.Service, r.DataCentre, progress.tried)
		if candidate == nil {
			return nil, r.noCandidateError(&progress)
		}
		progress.tried = append(progress.tried, candidate.Member.ID)
		response, err := r.attempt(ctx, c, candidate)
		if err == nil && !retryable(c, response) {
			r.budget(c.Service).RecordSuccess()
			return response, nil
		}
		if !r.prepareRetry(ctx, c, &progress, response, err) {
			return response, err
		}
		progress.lastError = err
	}
}

// retryable reports whether a response is an error that another instance may not have,
// and the call may be executed again. A response that failed because a child call was
// shed is not retryable.
func retryable(c *call.Call, response *call.Response) bool {
	if !c.Route.Idempotent || response.Shed {
		return false
	}
	switch response.Status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// noCandidateError returns the error of a call for which no instance remains: that of the
// last attempt, if there was one.
func (r *Router) noCandidateError(a *attempts) error {
	if a.lastError != nil {
		return a.lastError
	}
	refusal := problem.New(problem.KindUnreachable, "no instance of the service is on the list of members")
	refusal.RetryAfter = time.Second
	return refusal
}

// prepareRetry reports whether a failed call may be sent to another instance. Before a
// retry, it waits for the backoff delay.
func (r *Router) prepareRetry(ctx context.Context, c *call.Call, a *attempts, response *call.Response, err error) bool {
	if ctx.Err() != nil || c.Remaining(r.Clock.Now()) <= 0 {
		return false
	}
	var p *problem.Error
	if response == nil && eris.As(err, &p) && p.Execution == problem.NotExecuted {
		return r.allowReroute(a, p)
	}
	if !c.Route.Idempotent {
		return false
	}
	return r.takeRetry(ctx, c, a)
}

// allowReroute reports whether a call that was refused without execution may be sent to
// another instance. This uses no retry, since no upstream has received the call.
func (r *Router) allowReroute(a *attempts, p *problem.Error) bool {
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

// takeRetry takes one retry from the budget of the service and from the allowance of the
// call, and waits for the backoff delay. It reports false if there is no retry or not
// enough time. If Disabled is set, it takes nothing and allows instances that were
// already tried.
func (r *Router) takeRetry(ctx context.Context, c *call.Call, a *attempts) bool {
	if r.Disabled {
		a.retries++
		a.tried = nil
		return a.retries <= maxUnbudgetedRetries
	}
	if !r.budget(c.Service).Take() || !c.Retries.Take() {
		return false
	}
	delay := retry.Backoff(a.retries)
	a.retries++
	if c.Remaining(r.Clock.Now()) <= delay {
		return false
	}
	return clock.Sleep(ctx, r.Clock, delay) == nil
}

// budget returns the retry budget of a service.
func (r *Router) budget(service fleet.ServiceName) *retry.Budget {
	if found, ok := r.budgets.Load(service); ok {
		return found.(*retry.Budget)
	}
	found, _ := r.budgets.LoadOrStore(service, new(retry.Budget))
	return found.(*retry.Budget)
}

// attempt sends the call to one instance, and records the result at its endpoint.
func (r *Router) attempt(ctx context.Context, c *call.Call, candidate *Candidate) (*call.Response, error) {
	candidate.Endpoint.outstanding.Add(1)
	defer candidate.Endpoint.outstanding.Add(-1)
	id := fleet.CallID(fleet.NewID())
	granted := c.Retries.Grant()
	reply, err := r.deliver(ctx, id, c, candidate, granted)
	if err != nil {
		return nil, r.transportError(ctx, c, id, candidate, err)
	}
	c.Retries.Return(granted - int(reply.GetAllowanceUsed()))
	candidate.Endpoint.RecordResponse(r.Clock.Now(), reply.GetLoad())
	if refusal := reply.GetRefusal(); refusal != nil {
		p := peer.DecodeError(refusal)
		if p.Kind == problem.KindLeaving {
			candidate.Endpoint.RecordLeaving(r.Clock.Now())
		}
		if p.Kind == problem.KindUnreachable {
			candidate.Endpoint.RecordFailure(r.Clock.Now())
		}
		return nil, p
	}
	return peer.DecodeResponse(reply), nil
}

// deliver runs the call at the candidate, in this process if that is the local member. It
// passes on an allowance of granted retries.
func (r *Router) deliver(ctx context.Context, id fleet.CallID, c *call.Call, candidate *Candidate, granted int) (*peerrpc.RunReply, error) {
	if candidate.Member.ID == r.Self {
		return r.Local(ctx, id, c.WithRetries(granted)), nil
	}
	p := r.Pool.Get(candidate.Member.PeerAddress)
	if err := p.EnsureClock(ctx, r.Clock); err != nil {
		return nil, &peer.NotSentError{Cause: err}
	}
	req := peer.EncodeCall(p, id, candidate.Member.ID, c, granted)
	sendCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	return p.Run(sendCtx, r.Clock, req)
}

// transportError converts a transport error to a refusal with the execution status of the
// call. If nobody waits for the call any more, it cancels the call at the instance.
func (r *Router) transportError(ctx context.Context, c *call.Call, id fleet.CallID, candidate *Candidate, err error) error {
	r.Logger.WithError(err).WithField("requestId", c.Request).WithField("target", candidate.Member.ID).Warn("call to instance failed")
	now := r.Clock.Now()
	var notSent *peer.NotSentError
	if eris.As(err, &notSent) {
		candidate.Endpoint.RecordFailure(now)
		return problem.New(problem.KindUnreachable, "the instance could not be reached")
	}
	if ctx.Err() != nil || c.Remaining(now) <= 0 {
		r.cancelRemote(candidate, id, c)
		return problem.NewUncertain(problem.KindDeadline, "the deadline passed, or the caller left, before the answer came")
	}
	candidate.Endpoint.RecordFailure(now)
	return problem.NewUncertain(problem.KindUncertain, "the instance fell silent after the call was sent")
}

// cancelRemote asks the instance to cancel a call, without waiting for the reply. Actions
// are not cancelled, so that a repeated request can get their response.
func (r *Router) cancelRemote(candidate *Candidate, id fleet.CallID, c *call.Call) {
	if c.IsAction() {
		return
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		_, _ = r.Pool.Get(candidate.Member.PeerAddress).Client().Fetch(ctx, &peerrpc.FetchRequest{CallId: string(id), Seal: true, Cancel: true})
	}()
}

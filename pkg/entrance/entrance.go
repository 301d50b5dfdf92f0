// Package entrance handles requests at the node where they enter the system, and
// the calls that the local instance makes. For each one it finds the route, checks
// the API key, applies admission control and rate limits, and sends it to an
// instance of its service.
package entrance

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Headers holds the names of the request headers that the entrance evaluates.
type Headers struct {
	RequestID, Deadline string
	// Reserved lists the headers that only the node may set. They are not
	// forwarded.
	Reserved []string
}

// StoppedError is the cause of the context of a request that the node gives up because
// it stops.
type StoppedError struct{}

// Error implements error.
func (e *StoppedError) Error() string { return "the node has stopped" }

// Entrance is the HTTP handler for the requests that enter at this node. Set the
// exported fields before calling Init. Its other methods are safe for concurrent
// use.
type Entrance struct {
	Clock   clock.Clock
	Headers Headers
	// Service is the service of the local instance.
	Service     fleet.ServiceName
	Peers       *peering.Peers
	RateLimiter *quota.Limiter
	// Bodies bounds the memory for large request bodies; nil means no bound.
	Bodies *memory.Budget
	// SmallBodies bounds the memory for smaller bodies until their requests end; nil means no
	// bound.
	SmallBodies *memory.HeldBudget
	// SmallResponses and Responses bound the memory for small and large responses that callers
	// have not read, as memory.Tiers does; nil means no bound.
	SmallResponses, Responses *memory.HeldBudget
	// WriteMargin is how long after the time at which its caller stops waiting a response is
	// still written; 0 means the default of connection.Responses.
	WriteMargin time.Duration
	// View returns the active configuration, or nil.
	View func() *routing.View
	// ConfigFresh reports whether the configuration was confirmed recently enough
	// to accept its API keys.
	ConfigFresh func() bool
	// Stopping reports whether connections should be closed after their response.
	Stopping func() bool
	// Takes reports whether a request that was read whole is taken; nil means that all
	// are.
	Takes func(r *Request) bool
	// OnArrival is called for each request with a route and, where needed, a valid
	// API key. It sets Request.Caller. Nil is allowed.
	OnArrival func(r *Request)
	// Admit reports whether a root request is admitted, and the fraction of its
	// class that is admitted. If it is nil, all requests are admitted.
	Admit func(r *Request) (bool, float64)
	// Unavailable reports whether no instance may run a root request, so that it is refused
	// before Admit is asked; nil means that one may.
	Unavailable func(r *Request) bool
	// Region returns the region of a data centre, or an empty one; nil means that none is
	// known.
	Region func(dataCentre fleet.DataCentre) fleet.Region
	// RetryFraction returns the fraction of the executions at the local instance
	// that are retries. The calls that these make count as retries too. It is used for
	// calls whose execution is not known.
	RetryFraction func() float64
	// OnRetry is called for each rejected or lost call that may be sent to a further
	// instance as far as its route and its deadline are concerned; nil is allowed.
	OnRetry func(r *Request, decision RetryDecision)
	// TokenHome returns the peer that pools the tokens of an organisation, or nil if the
	// local node does. If the function is nil, other peers are asked.
	TokenHome func(id fleet.OrganisationID) *peering.Peer
	// OnBorrowError is called with a peer that could not be asked for tokens; nil
	// is allowed.
	OnBorrowError func(r *Request, peer *peering.Peer, err error)
	// OnForeignAnswer is called with a request for which a gate returned the answer to another
	// one, and with the request id in that answer; nil is allowed.
	OnForeignAnswer func(r *Request, got string)
	// OnFinish is called at the end of each request; nil is allowed.
	OnFinish func(r *Request, status int, outcome *linkrpc.Outcome, refusal *problem.Error)

	// Incarnation is a random number for each start of the node. It makes attempt
	// numbers unique.
	Incarnation  uint64
	attemptCount atomic.Uint64
	retryBudget  retryBudget
	// lateLoans holds the organisations that have a loan which no request waits for.
	lateLoans      sync.Map
	inFlight       atomic.Int64
	droppedHeaders map[string]bool
}

// Init prepares the entrance. It must be called once, before any other method.
func (e *Entrance) Init() {
	e.droppedHeaders = map[string]bool{}
	for _, name := range append([]string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Authorization", "Content-Length", "Expect", "Host",
	}, e.Headers.Reserved...) {
		e.droppedHeaders[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
}

// SetRetryLimits sets the limits of retries and the number of nodes that share
// them.
func (e *Entrance) SetRetryLimits(limits RetryLimits, nodes int) {
	e.retryBudget.setLimits(limits, nodes)
}

// InFlight returns the number of requests in flight.
func (e *Entrance) InFlight() int64 { return e.inFlight.Load() }

// ServeHTTP implements http.Handler.
func (e *Entrance) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	r, refusal := e.newRequest(hr)
	defer e.releaseBody(r)
	defer releaseOutcome(r)
	e.limitWrite(w, r)
	var outcome *linkrpc.Outcome
	if refusal == nil {
		outcome, refusal = e.handle(hr.Context(), w, hr, r)
	}
	if refusal == nil {
		refusal = e.holdResponse(w, r, outcome)
		defer e.releaseResponse(r)
	}
	releaseOutcome(r)
	status := 0
	if refusal != nil {
		status = refusal.Status()
	} else {
		status = int(outcome.Status)
	}
	r.CallerLeft = r.CloseUnread || refusal != nil && callerLeft(hr.Context(), refusal)
	if e.OnFinish != nil {
		e.OnFinish(r, status, outcome, refusal)
	}
	if r.CallerLeft {
		// Returning would send an empty success.
		panic(http.ErrAbortHandler)
	}
	if e.Stopping() {
		w.Header().Set("Connection", "close")
	}
	if refusal != nil {
		if hr.ContentLength != 0 && !r.bodyRead {
			e.leaveBody(w, hr)
		}
		w.Header().Set(e.Headers.RequestID, r.ID)
		refusal.WriteExact(w)
		return
	}
	e.writeResponse(w, hr.Method, r, outcome)
}

// callerLeft reports whether the caller of a refused request has disconnected. The context
// of a request also ends when its body does not arrive in time, and when the node stops.
func callerLeft(ctx context.Context, refusal *problem.Error) bool {
	outOfTime := refusal.Kind == problem.KindDeadline || refusal.Kind == problem.KindBodyTimeout
	return ctx.Err() != nil && !outOfTime && !isStopped(ctx)
}

// handle admits a request and runs it.
func (e *Entrance) handle(ctx context.Context, w http.ResponseWriter, hr *http.Request, r *Request) (*linkrpc.Outcome, *problem.Error) {
	body, refusal := e.readBody(w, hr, r)
	if refusal != nil {
		return nil, refusal
	}
	r.bodyRead = true
	if e.Takes != nil && !e.Takes(r) {
		return nil, retryLaterError(problem.KindLeaving, "the node stops", shedding.MinRetryAfter)
	}
	if e.OnArrival != nil {
		e.OnArrival(r)
	}
	if refusal := e.admit(r); refusal != nil {
		return nil, refusal
	}
	if !e.takeRateToken(ctx, r) {
		return nil, e.rateRefusal(r)
	}
	e.fillMessage(hr, r, body)
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(e.Clock.Now()))
	defer cancel()
	outcome, refusal := e.dispatch(ctx, r)
	if refusal != nil && refusal.Execution == problem.NotExecuted && r.Organisation != nil {
		e.RateLimiter.Return(r.Organisation.ID)
	}
	return outcome, refusal
}

// rateRefusal returns the refusal of a request for which there was no rate limit token.
func (e *Entrance) rateRefusal(r *Request) *problem.Error {
	retryAfter := e.RateLimiter.RetryAfter(r.Organisation.ID) + rand.N(retryAfterJitter)
	if !e.RateLimiter.SharesKnown() {
		return retryLaterError(problem.KindNoRateHolder, "the node does not know its share of the rate yet", retryAfter)
	}
	return retryLaterError(problem.KindRateExceeded, "the organisation is over its rate", retryAfter)
}

// admit refuses a root request if no instance may run it, or a service that it needs is
// overloaded.
func (e *Entrance) admit(r *Request) *problem.Error {
	if !r.Inner && e.Unavailable != nil && e.Unavailable(r) {
		return unreachableError()
	}
	if r.Inner || e.Admit == nil {
		return nil
	}
	admitted, admittedFraction := e.Admit(r)
	r.AdmittedFraction = admittedFraction
	if admitted {
		return nil
	}
	refusal := problem.New(problem.KindShed, "the services that the request needs are full")
	refusal.RetryAfter = shedding.RetryAfter(admittedFraction, r.Deadline.Sub(r.Arrived), rand.Float64())
	return refusal
}

func retryLaterError(kind problem.Kind, detail string, retryAfter time.Duration) *problem.Error {
	refusal := problem.New(kind, detail)
	refusal.RetryAfter = retryAfter
	return refusal
}

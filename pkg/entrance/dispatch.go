package entrance

import (
	"context"
	"errors"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// maxDispatches is the maximum number of gates that one request is sent to.
	maxDispatches = 6
	// maxWaitDivisor divides a route's target latency to give the max wait for a
	// slot.
	maxWaitDivisor = 8
	// innerMaxWait is the max wait of a call that belongs to an admitted request.
	innerMaxWait = 400 * time.Millisecond
	// shortestMaxWait is the lower bound of a max wait, unless less time remains.
	shortestMaxWait = 20 * time.Millisecond
	// queryInterval is the time between two queries for the outcome of a lost
	// call.
	queryInterval = 100 * time.Millisecond
	// idempotentQueryTimeout is how long an unreachable gate is queried for the
	// outcome of an idempotent call before the call is retried elsewhere.
	idempotentQueryTimeout = 700 * time.Millisecond
	// withdrawTimeout is how long an unreachable gate is tried. It then ends the attempt
	// by itself.
	withdrawTimeout = gate.OrphanTimeout
	// retryAfterJitter spreads the retries of callers that were rejected at the
	// same time.
	retryAfterJitter = 800 * time.Millisecond
)

// dispatch runs the request on an instance of its service. If a response was lost,
// the request may have run, and a refusal never says that it did not.
func (e *Entrance) dispatch(ctx context.Context, r *Request) (*linkrpc.Outcome, *problem.Error) {
	outcome, refusal := e.tryTargets(ctx, r)
	if refusal != nil && refusal.Execution == problem.NotExecuted && r.ResponseLost {
		return nil, problem.NewUncertain(problem.KindUncertain, "an answer was lost, and then: "+refusal.Detail)
	}
	return outcome, refusal
}

// tryTargets sends the request to one gate after another until it gets a response
// or no target is left.
func (e *Entrance) tryTargets(ctx context.Context, r *Request) (*linkrpc.Outcome, *problem.Error) {
	service := r.Route.PickService()
	r.message.Service = string(service)
	added := e.earnRetries(r)
	reached := false
	defer func() {
		if !reached {
			e.retryBudget.takeBack(service, added)
		}
	}()
	tried, allowed := map[directory.NodeAddress]bool{}, e.allowedDataCentres(r)
	anyFull := false
	for r.Dispatches < maxDispatches {
		if isAbandoned(ctx, r) {
			return nil, unsentError(ctx)
		}
		target := e.Peers.Choose(service, tried, allowed)
		if target == nil {
			break
		}
		tried[target.Entry.Node] = true
		r.Dispatches++
		outcome, refusal := e.sendCall(ctx, r, target)
		if refusal != nil {
			reached = reached || refusal.Execution != problem.NotExecuted
			return nil, refusal
		}
		outcome = e.withOwnAnswer(r, withDecodedHeaders(outcome))
		reached = reached || outcome.Fate != linkrpc.Fate_FATE_NOT_RUN || outcome.Reason == linkrpc.Reason_REASON_REJECTED
		switch outcome.Fate {
		case linkrpc.Fate_FATE_ANSWERED:
			return outcome, nil
		case linkrpc.Fate_FATE_NOT_RUN:
			if refusal := e.handleNotRun(r, target, outcome); refusal != nil {
				return nil, refusal
			}
			anyFull = anyFull || outcome.Reason == linkrpc.Reason_REASON_FULL
		default:
			r.ResponseLost = true
			if !r.Route.Idempotent || !e.takeRetry(r) {
				return nil, lostResponseError(outcome)
			}
		}
	}
	if anyFull {
		return nil, shedError("every instance of the service is full")
	}
	return nil, unreachableError()
}

// isAbandoned reports whether the context of a request has ended, or its caller has closed
// the connection, which the server may not have read yet.
func isAbandoned(ctx context.Context, r *Request) bool {
	if ctx.Err() != nil {
		return true
	}
	r.CloseUnread = connection.PeerClosed(ctx)
	return r.CloseUnread
}

// sendCall sends the request to one gate and returns the outcome.
func (e *Entrance) sendCall(ctx context.Context, r *Request, target *peering.Target) (*linkrpc.Outcome, *problem.Error) {
	if !target.Peer.Hold() {
		return gate.NotRunOutcome(linkrpc.Reason_REASON_BROKEN), nil
	}
	defer target.Peer.Release()
	message := &r.message
	message.Entrance, message.Attempt = e.Incarnation, e.Incarnation^e.attemptCount.Add(1)
	message.Instance = string(target.Entry.Instance)
	r.SentTo, r.Queried = target.Entry.Instance, false
	message.KnownRateLimit = target.Peer.KnownRateLimit(target.Entry.Instance)
	now := e.Clock.Now()
	if r.FirstSent.IsZero() {
		r.FirstSent = now
	}
	remaining := r.Deadline.Sub(now)
	message.RemainingUs, message.PatienceUs = remaining.Microseconds(), maxWaitOf(r, remaining).Microseconds()
	releaseOutcome(r)
	outcome, incarnation, err := target.Peer.Run(ctx, message)
	r.outcome, r.runBy = outcome, target.Peer
	var notSent *link.NotSentError
	var connectionLost *link.ConnectionLostError
	switch {
	case err == nil:
		return outcome, nil
	case isDiscarded(err):
		return nil, noMemoryError()
	case errors.As(err, &notSent) && ctx.Err() != nil:
		return nil, unsentError(ctx)
	case errors.As(err, &notSent):
		return gate.NotRunOutcome(linkrpc.Reason_REASON_BROKEN), nil
	case ctx.Err() != nil:
		return nil, abandonedError(ctx)
	case errors.As(err, &connectionLost):
		r.Queried = true
		return e.resolveOutcome(ctx, r, target.Peer, incarnation)
	}
	return gate.LostOutcome(linkrpc.Reason_REASON_BROKEN), nil
}

// resolveOutcome queries the gate for the outcome of an attempt over a new
// connection, and waits while the attempt runs. A gate that has restarted has no
// record of it, so the outcome counts as lost. An idempotent request that may
// still be retried counts as lost once the gate was unreachable for
// idempotentQueryTimeout.
func (e *Entrance) resolveOutcome(ctx context.Context, r *Request, peer *peering.Peer, incarnation uint64) (*linkrpc.Outcome, *problem.Error) {
	query := &linkrpc.Ask{Attempt: r.message.Attempt, Entrance: r.message.Entrance}
	started := e.Clock.Now()
	for {
		outcome, currentIncarnation, err := peer.QueryOutcome(ctx, query)
		switch {
		case ctx.Err() != nil:
			go e.withdraw(peer, query)
			return nil, abandonedError(ctx)
		case currentIncarnation != 0 && currentIncarnation != incarnation:
			return gate.LostOutcome(linkrpc.Reason_REASON_BROKEN), nil
		case err == nil:
			return outcome, nil
		case isDiscarded(err):
			return nil, noMemoryError()
		case r.Route.Idempotent && e.Clock.Now().Sub(started) > idempotentQueryTimeout && e.mayRetry(r):
			return gate.LostOutcome(linkrpc.Reason_REASON_BROKEN), nil
		}
		if clock.Sleep(ctx, e.Clock, queryInterval) != nil {
			go e.withdraw(peer, query)
			return nil, abandonedError(ctx)
		}
	}
}

// withdraw tells a gate that was unreachable that nobody waits for the outcome of an
// attempt, as soon as it can be reached again: a query that is cancelled ends the attempt.
// It stops after withdrawTimeout.
func (e *Entrance) withdraw(peer *peering.Peer, query *linkrpc.Ask) {
	if !peer.Hold() {
		return
	}
	defer peer.Release()
	for began := e.Clock.Now(); e.Clock.Now().Sub(began) < withdrawTimeout; {
		ctx, cancel := context.WithTimeout(context.Background(), queryInterval)
		_, _, err := peer.QueryOutcome(ctx, query)
		cancel()
		if err == nil || errors.Is(err, context.DeadlineExceeded) && !wasNotSent(err) {
			return
		}
		_ = clock.Sleep(context.Background(), e.Clock, queryInterval)
	}
}

func wasNotSent(err error) bool {
	var notSent *link.NotSentError
	return errors.As(err, &notSent)
}

// handleNotRun returns the refusal that ends the request, or nil if the request
// may be sent to another instance.
func (e *Entrance) handleNotRun(r *Request, target *peering.Target, outcome *linkrpc.Outcome) *problem.Error {
	switch outcome.Reason {
	case linkrpc.Reason_REASON_CLOSED, linkrpc.Reason_REASON_NOT_HERE:
		target.Peer.MarkClosed(e.Clock.Now())
	case linkrpc.Reason_REASON_STALE:
		return retryLaterError(problem.KindNotReady, "the configuration changed while the request was under way", shedding.MinRetryAfter)
	case linkrpc.Reason_REASON_EXPIRED:
		return problem.New(problem.KindDeadline, "the time for the request passed before it ran")
	case linkrpc.Reason_REASON_REJECTED:
		if !e.takeRetry(r) {
			return shedError("the instance rejected the request")
		}
	}
	return nil
}

func maxWaitOf(r *Request, remaining time.Duration) time.Duration {
	if r.Inner {
		return min(innerMaxWait, remaining)
	}
	return min(max(r.Route.TargetLatency/maxWaitDivisor, shortestMaxWait), remaining)
}

package entrance

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// maxPlacements bounds the gates that one request is handed to.
	maxPlacements = 6
	// patiencePart is the part of its target latency that a request waits for a slot.
	patiencePart = 8
	// innerPatience is how long a call of an admitted request waits for a slot.
	innerPatience = 400 * time.Millisecond
	// leastPatience is the shortest wait for a slot.
	leastPatience = 20 * time.Millisecond
	// askPause is the wait between two questions after a lost call.
	askPause = 100 * time.Millisecond
	// askIdempotent is how long a gate that has a lost call which may run again is
	// tried to be reached.
	askIdempotent = 700 * time.Millisecond
	// retryAfterSpread is over what time calls come back that found all instances full.
	retryAfterSpread = 800 * time.Millisecond
)

// place has the request run by an instance of its service. A request of which a
// run was lost is never refused as not run.
func (e *Entrance) place(ctx context.Context, r *Request) (*linkrpc.Outcome, *problem.Error) {
	outcome, refused := e.tryPlaces(ctx, r)
	if refused != nil && refused.Execution == problem.NotExecuted && r.lost {
		return nil, problem.NewUncertain(problem.KindUncertain, "an answer was lost, and then: "+refused.Detail)
	}
	return outcome, refused
}

// tryPlaces hands the request to one gate after another until it is answered or
// nothing is left to try.
func (e *Entrance) tryPlaces(ctx context.Context, r *Request) (*linkrpc.Outcome, *problem.Error) {
	service := r.Route.PickService()
	r.run.Service = string(service)
	e.budget.requested(service)
	if r.Inner && e.Repeating != nil {
		e.budget.spent(service, e.Repeating())
	}
	tried := map[*peering.Peer]bool{}
	full := false
	for r.Placements < maxPlacements {
		place := e.Peers.Choose(service, tried)
		if place == nil {
			break
		}
		tried[place.Peer] = true
		r.Placements++
		outcome, refused := e.send(ctx, r, place)
		if refused != nil {
			return nil, refused
		}
		switch outcome.Fate {
		case linkrpc.Fate_FATE_ANSWERED:
			return outcome, nil
		case linkrpc.Fate_FATE_NOT_RUN:
			if p := e.notRun(r, place, outcome); p != nil {
				return nil, p
			}
			full = full || outcome.Reason == linkrpc.Reason_REASON_FULL
		default:
			r.lost = true
			if !r.Route.Idempotent || !e.again(r) {
				return nil, lost(outcome)
			}
		}
	}
	if full {
		return nil, shed("every instance of the service is full")
	}
	return nil, refuseLater(problem.KindUnreachable, "no instance of the service takes the request", time.Second)
}

// send hands the request to one gate and finds out what became of it.
func (e *Entrance) send(ctx context.Context, r *Request, place *peering.Place) (*linkrpc.Outcome, *problem.Error) {
	m := &r.run
	m.Attempt = e.Incarnation ^ e.attempts.Add(1)
	m.Instance = string(place.Entry.Instance)
	left := r.Deadline.Sub(e.Clock.Now())
	m.RemainingUs, m.PatienceUs = left.Microseconds(), patience(r, left).Microseconds()
	outcome, incarnation, err := place.Peer.Run(ctx, m)
	var unsent *link.NotSentError
	var broken *link.ConnectionLostError
	switch {
	case err == nil:
		return outcome, nil
	case ctx.Err() != nil:
		return nil, gaveUp(ctx)
	case errors.As(err, &unsent):
		return gate.NotRunOutcome(linkrpc.Reason_REASON_BROKEN), nil
	case errors.As(err, &broken):
		return e.resolve(ctx, r, place.Peer, incarnation)
	}
	return gate.LostOutcome(linkrpc.Reason_REASON_BROKEN), nil
}

// resolve asks the gate over a new connection what became of an attempt, and
// waits while it runs. A gate that was restarted cannot tell. A request that may
// run again is given up where the gate cannot be reached for a while and a
// further instance may get it.
func (e *Entrance) resolve(ctx context.Context, r *Request, peer *peering.Peer, incarnation uint64) (*linkrpc.Outcome, *problem.Error) {
	ask := &linkrpc.Ask{Attempt: r.run.Attempt}
	began := e.Clock.Now()
	for {
		outcome, now, err := peer.Ask(ctx, ask)
		switch {
		case ctx.Err() != nil:
			return nil, gaveUp(ctx)
		case now != 0 && now != incarnation:
			return gate.LostOutcome(linkrpc.Reason_REASON_BROKEN), nil
		case err == nil:
			return outcome, nil
		case r.Route.Idempotent && e.Clock.Now().Sub(began) > askIdempotent && e.mayRepeat(r):
			return gate.LostOutcome(linkrpc.Reason_REASON_BROKEN), nil
		}
		if clock.Sleep(ctx, e.Clock, askPause) != nil {
			return nil, gaveUp(ctx)
		}
	}
}

// notRun returns the refusal that ends the request, or nil where it may be
// placed elsewhere.
func (e *Entrance) notRun(r *Request, place *peering.Place, outcome *linkrpc.Outcome) *problem.Error {
	switch outcome.Reason {
	case linkrpc.Reason_REASON_CLOSED, linkrpc.Reason_REASON_NOT_HERE:
		place.Peer.Closed(e.Clock.Now())
	case linkrpc.Reason_REASON_STALE:
		return refuseLater(problem.KindNotReady, "the configuration changed while the request was under way", shedding.MinRetryAfter)
	case linkrpc.Reason_REASON_EXPIRED:
		return problem.New(problem.KindDeadline, "the time for the request passed before it ran")
	case linkrpc.Reason_REASON_REJECTED:
		r.Arrivals++
		if !e.again(r) {
			return shed("the instance rejected the request")
		}
	}
	return nil
}

// again tells whether a request may be sent to a further instance.
func (e *Entrance) again(r *Request) bool {
	r.Arrivals = max(r.Arrivals, 1)
	if !e.mayRepeat(r) || !e.budget.take(r.service()) {
		return false
	}
	r.Arrivals++
	r.run.Repeat = true
	return true
}

// mayRepeat tells whether the route and the time leave room for a further instance.
func (e *Entrance) mayRepeat(r *Request) bool {
	return max(r.Arrivals, 1) < r.Route.MaxAttempts && e.Clock.Now().Before(r.Deadline)
}

func patience(r *Request, left time.Duration) time.Duration {
	if r.Inner {
		return min(innerPatience, left)
	}
	return min(max(r.Route.TargetLatency/patiencePart, leastPatience), left)
}

// gaveUp is the end of a request whose caller left or whose time passed.
func gaveUp(ctx context.Context) *problem.Error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return problem.NewUncertain(problem.KindDeadline, "no answer came in time; the request may have run")
	}
	return problem.NewUncertain(problem.KindUncertain, "the caller left")
}

func lost(o *linkrpc.Outcome) *problem.Error {
	if o.Reason == linkrpc.Reason_REASON_EXPIRED {
		return problem.NewUncertain(problem.KindDeadline, "no answer came in time; the request may have run")
	}
	return problem.NewUncertain(problem.KindUncertain, "the answer was lost; the request may have run")
}

func shed(detail string) *problem.Error {
	return refuseLater(problem.KindShed, detail, shedding.MinRetryAfter+rand.N(retryAfterSpread))
}

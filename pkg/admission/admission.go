// Package admission decides which calls run on a node's own upstream: an
// adaptive limit of calls in flight, a short queue ordered by class and fair
// share, and deadlines.
package admission

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

const (
	// minQueue is the shortest bound of the queue in calls.
	minQueue = 16
	// maxWait bounds the wait of a call that is not critical.
	maxWait = 200 * time.Millisecond
	// newestAfter is the delay of the queue from which the newest call is next.
	newestAfter = 20 * time.Millisecond
	// rampTime is how long a cold upstream takes to reach its limit.
	rampTime = 5 * time.Second
	// rampStart is the part of the limit that a cold upstream starts with.
	rampStart = 0.2
	// retryAfterLeast and retryAfterSpread make the hint in a refusal.
	retryAfterLeast  = time.Second
	retryAfterSpread = 3 * time.Second
	// defaultLimit is used where the upstream names no slots.
	defaultLimit = 32
)

// Load is what a node tells others of its upstream.
type Load struct {
	InFlight, Limit, Queued int
	QueueDelay              time.Duration
}

// Controller admits calls to one upstream. It needs Clock.
type Controller struct {
	Clock clock.Clock
	// Off switches the policy off: every call runs at once.
	Off bool

	limit limit
	// slots is how many calls the upstream says it runs at once. Critical calls may
	// use them all, however far the limit has shrunk.
	slots    atomic.Int64
	inFlight atomic.Int64
	queued   atomic.Int64
	shed     atomic.Int64
	coldAt   atomic.Int64
	delay    atomic.Int64

	// mu guards queue, which only calls that must wait touch.
	mu    sync.Mutex
	queue queue
}

// Announce sets the starting limit to the slots that the upstream names.
func (a *Controller) Announce(slots int) {
	if slots <= 0 {
		slots = defaultLimit
	}
	a.slots.Store(int64(slots))
	a.limit.value.Store(int64(slots))
}

// Cold starts the ramp of an upstream that has just started.
func (a *Controller) Cold() { a.coldAt.Store(a.Clock.Now().UnixNano()) }

// Load returns the present load.
func (a *Controller) Load() Load {
	return Load{
		InFlight: int(a.inFlight.Load()), Limit: int(a.allowed(a.Clock.Now())),
		Queued: int(a.queued.Load()), QueueDelay: time.Duration(a.delay.Load()),
	}
}

// Shed returns the number of calls shed so far.
func (a *Controller) Shed() int64 { return a.shed.Load() }

// allowed returns the limit, ramped while the upstream is cold.
func (a *Controller) allowed(now time.Time) int64 {
	return a.ramped(max(a.limit.value.Load(), minLimit), now)
}

// allowedCritical returns the limit for critical calls. A slow upstream is no
// reason to run fewer of them than it has slots.
func (a *Controller) allowedCritical(now time.Time) int64 {
	return a.ramped(max(a.limit.value.Load(), a.slots.Load(), minLimit), now)
}

func (a *Controller) allowedFor(c *call.Call, now time.Time) int64 {
	if c.Route.Class == fleet.ClassCritical {
		return a.allowedCritical(now)
	}
	return a.allowed(now)
}

// ramped cuts a limit while the upstream is cold.
func (a *Controller) ramped(value int64, now time.Time) int64 {
	age := now.UnixNano() - a.coldAt.Load()
	if age >= int64(rampTime) {
		return value
	}
	part := rampStart + (1-rampStart)*float64(age)/float64(rampTime)
	return max(int64(float64(value)*part), 1)
}

// Filter returns the filter that admits calls.
func (a *Controller) Filter() call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Answer, error) {
			if a.Off {
				a.inFlight.Add(1)
				defer a.inFlight.Add(-1)
				return next(ctx, c)
			}
			route := a.limit.route(c.Method + " " + c.Route.Pattern)
			if err := a.enter(ctx, c, route); err != nil {
				return nil, err
			}
			start := a.Clock.Now()
			answer, err := next(ctx, c)
			a.leave(c, route, start, answer, err)
			return answer, err
		}
	}
}

func (a *Controller) enter(ctx context.Context, c *call.Call, route *routeStats) error {
	now := a.Clock.Now()
	if now.After(c.StartLimit()) {
		return problem.New(problem.KindDeadline, "the time to start the call had passed when it arrived")
	}
	if a.queued.Load() == 0 && a.take(a.allowedFor(c, now), route) {
		return nil
	}
	return a.wait(ctx, c, now, route)
}

// take takes a place for a route if there is one within a limit.
func (a *Controller) take(allowed int64, route *routeStats) bool {
	if !route.mayTake(allowed) || !a.reserve(allowed) {
		return false
	}
	route.inFlight.Add(1)
	return true
}

// reserve counts one more call in flight if the limit allows it.
func (a *Controller) reserve(allowed int64) bool {
	for {
		n := a.inFlight.Load()
		if n >= allowed {
			return false
		}
		if a.inFlight.CompareAndSwap(n, n+1) {
			a.notePeak(n + 1)
			return true
		}
	}
}

func (a *Controller) notePeak(n int64) {
	if n > a.limit.peak.Load() {
		a.limit.peak.Store(n)
	}
}

func (a *Controller) wait(ctx context.Context, c *call.Call, now time.Time, route *routeStats) error {
	w := &waiter{call: c, bucket: c.Bucket(), since: now, route: route, verdict: make(chan bool, 1)}
	a.mu.Lock()
	a.queue.push(w)
	a.shedExcess(a.allowed(now))
	a.dispatch(now)
	a.mu.Unlock()
	select {
	case admitted := <-w.verdict:
		return a.conclude(admitted)
	case <-a.Clock.After(a.patience(c, now)):
	case <-ctx.Done():
	}
	a.mu.Lock()
	waiting := a.queue.remove(w)
	a.queued.Store(int64(a.queue.length))
	a.mu.Unlock()
	if waiting {
		a.shed.Add(1)
		return refuse("the call waited too long for a place")
	}
	return a.conclude(<-w.verdict)
}

func (a *Controller) conclude(admitted bool) error {
	if admitted {
		return nil
	}
	return refuse("the queue of the instance is full")
}

func refuse(detail string) error {
	e := problem.New(problem.KindShed, detail)
	e.RetryAfter = retryAfterLeast + rand.N(retryAfterSpread)
	return e
}

func (a *Controller) patience(c *call.Call, now time.Time) time.Duration {
	left := c.StartLimit().Sub(now)
	if c.Action() || c.Route.Class == fleet.ClassCritical {
		return left
	}
	return min(left, maxWait)
}

// shedExcess refuses the worst calls while the queue is over its bound.
func (a *Controller) shedExcess(allowed int64) {
	for a.queue.length > max(int(allowed), minQueue) {
		worst := a.queue.worst()
		a.queue.remove(worst)
		a.shed.Add(1)
		worst.verdict <- false
	}
	a.queued.Store(int64(a.queue.length))
}

// dispatch gives free places to waiting calls, and what the upstream's slots have
// beyond the limit to critical ones.
func (a *Controller) dispatch(now time.Time) {
	a.admit(now, a.allowed(now), 0)
	if a.queue.waits(fleet.ClassCritical) {
		a.admit(now, a.allowedCritical(now), fleet.ClassCritical)
	}
	a.queued.Store(int64(a.queue.length))
	if a.queue.length == 0 {
		a.noteDelay(0)
	}
}

// admit gives the places within a limit to calls of the lowest class named and
// those above.
func (a *Controller) admit(now time.Time, allowed int64, lowest fleet.Class) {
	newest := time.Duration(a.delay.Load()) > newestAfter
	for a.queue.length > 0 && a.reserve(allowed) {
		w := a.queue.pop(newest, allowed, lowest)
		if w == nil {
			a.inFlight.Add(-1)
			break
		}
		w.route.inFlight.Add(1)
		a.noteDelay(now.Sub(w.since))
		w.verdict <- true
	}
}

// noteDelay keeps a moving average of the wait in the queue.
func (a *Controller) noteDelay(d time.Duration) {
	old := a.delay.Load()
	a.delay.Store(old + (int64(d)-old)/8)
}

func (a *Controller) leave(c *call.Call, route *routeStats, start time.Time, answer *call.Answer, err error) {
	now := a.Clock.Now()
	whole := now.Sub(start)
	if tells(answer, err) {
		a.limit.add(route, whole-min(c.Below.Waited(), whole), whole)
	}
	if answer != nil && answer.Status == http.StatusServiceUnavailable && !answer.Shed {
		a.limit.refused.Add(1)
	}
	a.inFlight.Add(-1)
	route.inFlight.Add(-1)
	if a.limit.due(now) {
		a.limit.adapt()
	}
	if a.queued.Load() > 0 {
		a.mu.Lock()
		a.dispatch(now)
		a.mu.Unlock()
	}
}

// tells tells whether the time of a call says something about the upstream's load.
// Failures are often quick and would pass for a fast upstream; a call that ran out
// of time is the slowest of all.
func tells(answer *call.Answer, err error) bool {
	if answer != nil {
		return answer.Status < http.StatusInternalServerError
	}
	var p *problem.Error
	return errors.As(err, &p) && p.Run == problem.RunUnknown
}

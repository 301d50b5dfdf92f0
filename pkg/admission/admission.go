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
	// minQueueCalls is the shortest bound of the queue in calls.
	minQueueCalls = 16
	// maxWait bounds the wait of a call that is not critical.
	maxWait = 200 * time.Millisecond
	// newestFirstDelay is the delay of the queue from which the newest call is next.
	newestFirstDelay = 20 * time.Millisecond
	// rampTime is how long a cold upstream takes to reach its limit.
	rampTime = 5 * time.Second
	// rampStartFraction is the part of the limit that a cold upstream starts with.
	rampStartFraction = 0.2
	// minRetryAfter and retryAfterSpread make the hint in a refusal.
	minRetryAfter    = time.Second
	retryAfterJitter = 3 * time.Second
	// defaultLimitCalls is used where the upstream names no slots.
	defaultLimitCalls = 32
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

	limit adaptiveLimit
	// slots is how many calls the upstream says it runs at once. Critical calls may
	// use them all, however far the limit has shrunk.
	slots           atomic.Int64
	inFlight        atomic.Int64
	queued          atomic.Int64
	shed            atomic.Int64
	rampStartNanos  atomic.Int64
	queueDelayNanos atomic.Int64

	// mu guards queue, which only calls that must wait touch.
	mu    sync.Mutex
	queue queue
}

// SetSlots sets the starting limit to the slots that the upstream names.
func (a *Controller) SetSlots(slots int) {
	if slots <= 0 {
		slots = defaultLimitCalls
	}
	a.slots.Store(int64(slots))
	a.limit.value.Store(int64(slots))
}

// StartRamp starts the ramp of an upstream that has just started.
func (a *Controller) StartRamp() { a.rampStartNanos.Store(a.Clock.Now().UnixNano()) }

// Load returns the present load.
func (a *Controller) Load() Load {
	return Load{
		InFlight: int(a.inFlight.Load()), Limit: int(a.normalLimit(a.Clock.Now())),
		Queued: int(a.queued.Load()), QueueDelay: time.Duration(a.queueDelayNanos.Load()),
	}
}

// Shed returns the number of calls shed so far.
func (a *Controller) Shed() int64 { return a.shed.Load() }

// normalLimit returns the limit, ramped while the upstream is cold.
func (a *Controller) normalLimit(now time.Time) int64 {
	return a.applyRamp(max(a.limit.value.Load(), minLimitCalls), now)
}

// criticalLimit returns the limit for critical calls. A slow upstream is no
// reason to run fewer of them than it has slots.
func (a *Controller) criticalLimit(now time.Time) int64 {
	return a.applyRamp(max(a.limit.value.Load(), a.slots.Load(), minLimitCalls), now)
}

func (a *Controller) limitFor(c *call.Call, now time.Time) int64 {
	if c.Route.Class == fleet.ClassCritical {
		return a.criticalLimit(now)
	}
	return a.normalLimit(now)
}

// applyRamp cuts a limit while the upstream is cold.
func (a *Controller) applyRamp(limit int64, now time.Time) int64 {
	age := now.UnixNano() - a.rampStartNanos.Load()
	if age >= int64(rampTime) {
		return limit
	}
	fraction := rampStartFraction + (1-rampStartFraction)*float64(age)/float64(rampTime)
	return max(int64(float64(limit)*fraction), 1)
}

// Middleware returns the filter that admits calls.
func (a *Controller) Middleware() call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Answer, error) {
			if a.Off {
				a.inFlight.Add(1)
				defer a.inFlight.Add(-1)
				return next(ctx, c)
			}
			route := a.limit.statsFor(c.Method + " " + c.Route.Pattern)
			if err := a.acquire(ctx, c, route); err != nil {
				return nil, err
			}
			start := a.Clock.Now()
			answer, err := next(ctx, c)
			a.release(c, route, start, answer, err)
			return answer, err
		}
	}
}

func (a *Controller) acquire(ctx context.Context, c *call.Call, route *routeStats) error {
	now := a.Clock.Now()
	if now.After(c.StartLimit()) {
		return problem.New(problem.KindDeadline, "the time to start the call had passed when it arrived")
	}
	if a.queued.Load() == 0 && a.tryAcquire(a.limitFor(c, now), route) {
		return nil
	}
	return a.waitForSlot(ctx, c, now, route)
}

// tryAcquire takes a place for a route if there is one within a limit.
func (a *Controller) tryAcquire(limit int64, route *routeStats) bool {
	if !route.mayAcquire(limit) || !a.tryReserve(limit) {
		return false
	}
	route.inFlight.Add(1)
	return true
}

// tryReserve counts one more call in flight if the limit allows it.
func (a *Controller) tryReserve(limit int64) bool {
	for {
		n := a.inFlight.Load()
		if n >= limit {
			return false
		}
		if a.inFlight.CompareAndSwap(n, n+1) {
			a.recordPeak(n + 1)
			return true
		}
	}
}

func (a *Controller) recordPeak(n int64) {
	if n > a.limit.peakInFlight.Load() {
		a.limit.peakInFlight.Store(n)
	}
}

func (a *Controller) waitForSlot(ctx context.Context, c *call.Call, now time.Time, route *routeStats) error {
	w := &waiter{call: c, bucket: c.Bucket(), queuedAt: now, route: route, verdict: make(chan bool, 1)}
	a.mu.Lock()
	a.queue.push(w)
	a.shedExcess(a.normalLimit(now))
	a.dispatch(now)
	a.mu.Unlock()
	select {
	case admitted := <-w.verdict:
		return a.verdictError(admitted)
	case <-a.Clock.After(a.maxWaitFor(c, now)):
	case <-ctx.Done():
	}
	a.mu.Lock()
	stillQueued := a.queue.remove(w)
	a.queued.Store(int64(a.queue.length))
	a.mu.Unlock()
	if stillQueued {
		a.shed.Add(1)
		return newShedError("the call waited too long for a place")
	}
	return a.verdictError(<-w.verdict)
}

func (a *Controller) verdictError(admitted bool) error {
	if admitted {
		return nil
	}
	return newShedError("the queue of the instance is full")
}

func newShedError(detail string) error {
	e := problem.New(problem.KindShed, detail)
	e.RetryAfter = minRetryAfter + rand.N(retryAfterJitter)
	return e
}

func (a *Controller) maxWaitFor(c *call.Call, now time.Time) time.Duration {
	untilDeadline := c.StartLimit().Sub(now)
	if c.Action() || c.Route.Class == fleet.ClassCritical {
		return untilDeadline
	}
	return min(untilDeadline, maxWait)
}

// shedExcess refuses the worst calls while the queue is over its bound.
func (a *Controller) shedExcess(limit int64) {
	for a.queue.length > max(int(limit), minQueueCalls) {
		w := a.queue.lowestPriority()
		a.queue.remove(w)
		a.shed.Add(1)
		w.verdict <- false
	}
	a.queued.Store(int64(a.queue.length))
}

// dispatch gives free places to waiting calls, and what the upstream's slots have
// beyond the limit to critical ones.
func (a *Controller) dispatch(now time.Time) {
	a.admitQueued(now, a.normalLimit(now), 0)
	if a.queue.hasWaiting(fleet.ClassCritical) {
		a.admitQueued(now, a.criticalLimit(now), fleet.ClassCritical)
	}
	a.queued.Store(int64(a.queue.length))
	if a.queue.length == 0 {
		a.observeQueueDelay(0)
	}
}

// admitQueued gives the places within a limit to calls of the lowest class named and
// those above.
func (a *Controller) admitQueued(now time.Time, limit int64, minClass fleet.Class) {
	newestFirst := time.Duration(a.queueDelayNanos.Load()) > newestFirstDelay
	for a.queue.length > 0 && a.tryReserve(limit) {
		w := a.queue.pop(newestFirst, limit, minClass)
		if w == nil {
			a.inFlight.Add(-1)
			break
		}
		w.route.inFlight.Add(1)
		a.observeQueueDelay(now.Sub(w.queuedAt))
		w.verdict <- true
	}
}

// observeQueueDelay keeps a moving average of the wait in the queue.
func (a *Controller) observeQueueDelay(d time.Duration) {
	average := a.queueDelayNanos.Load()
	a.queueDelayNanos.Store(average + (int64(d)-average)/8)
}

func (a *Controller) release(c *call.Call, route *routeStats, start time.Time, answer *call.Answer, err error) {
	now := a.Clock.Now()
	total := now.Sub(start)
	if isLatencySample(answer, err) {
		a.limit.record(route, total-min(c.Below.Waited(), total), total)
	}
	if answer != nil && answer.Status == http.StatusServiceUnavailable && !answer.Shed {
		a.limit.overloadRefusals.Add(1)
	}
	a.inFlight.Add(-1)
	route.inFlight.Add(-1)
	if a.limit.tryCloseWindow(now) {
		a.limit.adapt()
	}
	if a.queued.Load() > 0 {
		a.mu.Lock()
		a.dispatch(now)
		a.mu.Unlock()
	}
}

// isLatencySample reports whether the time of a call says something about the upstream's load.
// Failures are often quick and would pass for a fast upstream; a call that ran out
// of time is the slowest of all.
func isLatencySample(answer *call.Answer, err error) bool {
	if answer != nil {
		return answer.Status < http.StatusInternalServerError
	}
	var p *problem.Error
	return errors.As(err, &p) && p.Run == problem.RunUnknown
}

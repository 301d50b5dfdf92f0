// Package admission decides which calls run on a node's local upstream. It
// enforces an adaptive concurrency limit, a short queue ordered by class and
// weighted fair share between organisations, and deadlines.
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
	// minQueueCalls is the lower bound of the queue capacity, which otherwise
	// equals the concurrency limit.
	minQueueCalls = 16
	// maxWait bounds the time that an idempotent, non-critical call spends in the
	// queue.
	maxWait = 200 * time.Millisecond
	// newestFirstDelay is the average queue delay above which the queue serves the
	// newest call first instead of the oldest.
	newestFirstDelay = 20 * time.Millisecond
	// rampTime is the time over which the limit of a cold upstream rises to its
	// full value.
	rampTime = 5 * time.Second
	// rampStartFraction is the fraction of the limit that a cold upstream starts
	// with.
	rampStartFraction = 0.2
	// minRetryAfter and retryAfterJitter make up the RetryAfter of a rejection: a
	// fixed part and the bound of a random part.
	minRetryAfter    = time.Second
	retryAfterJitter = 3 * time.Second
	// defaultLimitCalls is the initial limit for an upstream that announces no slots.
	defaultLimitCalls = 32
)

// Load is the load of an upstream that its node reports to other nodes. InFlight,
// Limit and Queued are numbers of calls.
type Load struct {
	InFlight, Limit, Queued int
	// QueueDelay is a moving average of the time spent in the queue.
	QueueDelay time.Duration
}

// Controller admits calls to one upstream. Clock must be set before use. Its
// methods are safe for concurrent use.
type Controller struct {
	Clock clock.Clock
	// Disabled turns off admission control: every call runs immediately.
	Disabled bool

	limit adaptiveLimit
	// slots is the number of concurrent calls that the upstream announced.
	// Critical calls may use all of them, however far the limit has shrunk.
	slots    atomic.Int64
	inFlight atomic.Int64
	// queued mirrors queue.length, for reads without mu.
	queued atomic.Int64
	// shed counts the calls rejected since the start.
	shed atomic.Int64
	// rampStartNanos is the start of the last ramp-up, in Unix nanoseconds.
	rampStartNanos atomic.Int64
	// queueDelayNanos is a moving average of the queue delay.
	queueDelayNanos atomic.Int64

	// mu guards queue. Calls that are admitted immediately do not lock it.
	mu    sync.Mutex
	queue queue
}

// SetSlots resets the limit to the number of slots that the upstream announced,
// or to a default if slots is not positive.
func (a *Controller) SetSlots(slots int) {
	if slots <= 0 {
		slots = defaultLimitCalls
	}
	a.slots.Store(int64(slots))
	a.limit.value.Store(int64(slots))
}

// StartRamp restarts the ramp-up of the limit for an upstream that has just
// started or stopped accepting connections.
func (a *Controller) StartRamp() { a.rampStartNanos.Store(a.Clock.Now().UnixNano()) }

// Load returns the current load.
func (a *Controller) Load() Load {
	return Load{
		InFlight: int(a.inFlight.Load()), Limit: int(a.normalLimit(a.Clock.Now())),
		Queued: int(a.queued.Load()), QueueDelay: time.Duration(a.queueDelayNanos.Load()),
	}
}

// Shed returns the number of calls shed since the controller was created.
func (a *Controller) Shed() int64 { return a.shed.Load() }

// normalLimit returns the limit for calls that are not critical.
func (a *Controller) normalLimit(now time.Time) int64 {
	return a.applyRamp(max(a.limit.value.Load(), minLimitCalls), now)
}

// criticalLimit returns the limit for critical calls. It is never below the slots
// of a warm upstream, even if slow calls have lowered the adaptive limit.
func (a *Controller) criticalLimit(now time.Time) int64 {
	return a.applyRamp(max(a.limit.value.Load(), a.slots.Load(), minLimitCalls), now)
}

func (a *Controller) limitFor(c *call.Call, now time.Time) int64 {
	if c.Route.Class == fleet.ClassCritical {
		return a.criticalLimit(now)
	}
	return a.normalLimit(now)
}

// applyRamp lowers a limit while the upstream is cold.
func (a *Controller) applyRamp(limit int64, now time.Time) int64 {
	age := now.UnixNano() - a.rampStartNanos.Load()
	if age >= int64(rampTime) {
		return limit
	}
	fraction := rampStartFraction + (1-rampStartFraction)*float64(age)/float64(rampTime)
	return max(int64(float64(limit)*fraction), 1)
}

// Middleware returns the middleware that admits calls. A rejected call fails with
// *problem.Error and has not been executed.
func (a *Controller) Middleware() call.Middleware {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Response, error) {
			if a.Disabled {
				a.inFlight.Add(1)
				defer a.inFlight.Add(-1)
				return next(ctx, c)
			}
			route := a.limit.statsFor(c.Method + " " + c.Route.Pattern)
			if err := a.acquire(ctx, c, route); err != nil {
				return nil, err
			}
			start := a.Clock.Now()
			response, err := next(ctx, c)
			a.release(c, route, start, response, err)
			return response, err
		}
	}
}

// acquire acquires a slot for a call and waits in the queue if none is free. It
// returns *problem.Error if the call is rejected.
func (a *Controller) acquire(ctx context.Context, c *call.Call, route *routeStats) error {
	now := a.Clock.Now()
	if now.After(c.StartDeadline()) {
		return problem.New(problem.KindDeadline, "the time to start the call had passed when it arrived")
	}
	if a.queued.Load() == 0 && a.tryAcquire(a.limitFor(c, now), route) {
		return nil
	}
	return a.waitForSlot(ctx, c, now, route)
}

// tryAcquire acquires a slot for a call of a route, and reports whether both the
// limit and the route's share of it allowed that.
func (a *Controller) tryAcquire(limit int64, route *routeStats) bool {
	if !route.mayAcquire(limit) || !a.tryReserve(limit) {
		return false
	}
	route.inFlight.Add(1)
	return true
}

// tryReserve counts one more call in flight, and reports whether the limit
// allowed it.
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

// waitForSlot queues a call until it is admitted or shed, its wait exceeds the
// maximum, or ctx ends.
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

// newShedError returns a rejection with a random RetryAfter.
func newShedError(detail string) error {
	e := problem.New(problem.KindShed, detail)
	e.RetryAfter = minRetryAfter + rand.N(retryAfterJitter)
	return e
}

// maxWaitFor returns the time that a call may spend in the queue: until its start
// deadline, and at most maxWait if it is neither an action nor critical.
func (a *Controller) maxWaitFor(c *call.Call, now time.Time) time.Duration {
	untilDeadline := c.StartDeadline().Sub(now)
	if c.IsAction() || c.Route.Class == fleet.ClassCritical {
		return untilDeadline
	}
	return min(untilDeadline, maxWait)
}

// shedExcess rejects the queued calls of lowest priority while the queue is over
// its capacity. The caller must hold mu.
func (a *Controller) shedExcess(limit int64) {
	for a.queue.length > max(int(limit), minQueueCalls) {
		w := a.queue.lowestPriority()
		a.queue.remove(w)
		a.shed.Add(1)
		w.verdict <- false
	}
	a.queued.Store(int64(a.queue.length))
}

// dispatch gives free slots to queued calls. Critical calls also get the upstream's
// slots beyond the adaptive limit. The caller must hold mu.
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

// admitQueued admits queued calls of minClass and above until the limit is reached.
// The caller must hold mu.
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

// observeQueueDelay adds a sample to the exponential moving average of the queue
// delay. The caller must hold mu.
func (a *Controller) observeQueueDelay(d time.Duration) {
	average := a.queueDelayNanos.Load()
	a.queueDelayNanos.Store(average + (int64(d)-average)/8)
}

// release frees the slot of a finished call, records its latency, adapts the limit
// at the end of a window, and admits queued calls.
func (a *Controller) release(c *call.Call, route *routeStats, start time.Time, response *call.Response, err error) {
	now := a.Clock.Now()
	total := now.Sub(start)
	if isLatencySample(response, err) {
		a.limit.record(route, total-min(c.Children.Waited(), total), total)
	}
	if response != nil && response.Status == http.StatusServiceUnavailable && !response.Shed {
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

// isLatencySample reports whether the latency of a call reflects the load of the
// upstream. Failures are excluded, as they are often fast and would make the
// upstream look fast. Calls with an unknown execution status are included, as those
// that timed out are the slowest of all.
func isLatencySample(response *call.Response, err error) bool {
	if response != nil {
		return response.Status < http.StatusInternalServerError
	}
	var p *problem.Error
	return errors.As(err, &p) && p.Execution == problem.ExecutionUnknown
}

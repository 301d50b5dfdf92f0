package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// window is the period after which the limit is adapted.
	window = 100 * time.Millisecond
	// minSamples is the number of calls that a window waits for, up to
	// longestWindow.
	minSamples = 8
	maxWindow  = time.Second
	// maxSlowdownRatio is the slow-down of calls that is taken for queueing in the
	// upstream.
	maxSlowdownRatio = 1.6
	// decreaseFactor and increase move the limit.
	decreaseFactor = 0.85
	increaseFactor = 1.05
	// minUsageToDecrease and usedToGrow are the parts of the limit that must have been
	// in use: calls that are slow while few are in flight do not queue.
	minUsageToDecrease = 0.5
	minUsageToIncrease = 0.8
	// minLimitCalls and maxLimit bound the limit in calls.
	minLimitCalls = 2
	maxLimitCalls = 4096
	// baselineDriftFactor lets a baseline rise slowly when an upstream changes for good.
	baselineDriftFactor = 1.002
	// blockedSlowdownRatio is the slow-down from which a route is taken for blocked
	// on something deeper, and loses its claim to more than half of the limit.
	blockedSlowdownRatio = 4
)

// routeStats follows the latency of one route.
type routeStats struct {
	inFlight atomic.Int64

	mu sync.Mutex
	// ownBaseline is the latency without queueing; 0 until the first call.
	ownBaseline, totalBaseline time.Duration
	// ownSum is the sum of own latencies in the current window.
	ownSum   time.Duration
	totalSum time.Duration
	samples  int

	// blocked is read without the lock.
	blocked atomic.Bool
}

// mayAcquire tells whether the route has a claim to one more place.
func (r *routeStats) mayAcquire(limit int64) bool {
	return !r.blocked.Load() || r.inFlight.Load() < max(limit/2, 1)
}

func (r *routeStats) record(own, total time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ownSum += own
	r.totalSum += total
	r.samples++
}

// closeWindow ends the window. It returns the slow-down against the baseline and the
// number of samples.
func (r *routeStats) closeWindow() (float64, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.samples
	if n == 0 {
		return 1, 0
	}
	own, total := r.ownSum/time.Duration(n), r.totalSum/time.Duration(n)
	r.ownSum, r.totalSum, r.samples = 0, 0, 0
	r.ownBaseline = updateBaseline(r.ownBaseline, own)
	r.totalBaseline = updateBaseline(r.totalBaseline, total)
	r.blocked.Store(slowdownRatio(total, r.totalBaseline) > blockedSlowdownRatio)
	return slowdownRatio(own, r.ownBaseline), n
}

func updateBaseline(baseline, sample time.Duration) time.Duration {
	if baseline == 0 || sample < baseline {
		return sample
	}
	return time.Duration(float64(baseline) * baselineDriftFactor)
}

func slowdownRatio(sample, baseline time.Duration) float64 {
	return float64(sample) / math.Max(float64(baseline), float64(time.Millisecond))
}

// adaptiveLimit adapts the number of calls in flight at one upstream.
type adaptiveLimit struct {
	value atomic.Int64
	// windowEndNanos is the time, in nanoseconds of the clock, when the window closes.
	windowEndNanos atomic.Int64
	// overloadRefusals counts refusals for load by the upstream itself.
	overloadRefusals atomic.Int64
	// samples counts the calls of the window.
	samples atomic.Int64
	// peakInFlight is the highest number in flight in the window.
	peakInFlight atomic.Int64
	routes       sync.Map
}

func (l *adaptiveLimit) statsFor(name string) *routeStats {
	if found, ok := l.routes.Load(name); ok {
		return found.(*routeStats)
	}
	found, _ := l.routes.LoadOrStore(name, new(routeStats))
	return found.(*routeStats)
}

// record notes a call that has ended.
func (l *adaptiveLimit) record(r *routeStats, own, total time.Duration) {
	r.record(own, total)
	l.samples.Add(1)
}

// tryCloseWindow tells, to one caller only, that the window has ended.
func (l *adaptiveLimit) tryCloseWindow(now time.Time) bool {
	end := l.windowEndNanos.Load()
	nowNanos := now.UnixNano()
	if nowNanos < end || l.samples.Load() < minSamples && nowNanos < end+int64(maxWindow-window) {
		return false
	}
	return l.windowEndNanos.CompareAndSwap(end, nowNanos+int64(window))
}

// adapt moves the limit by what the window showed.
func (l *adaptiveLimit) adapt() {
	l.samples.Store(0)
	slowdownSum, samples := 0.0, 0
	l.routes.Range(func(_, value any) bool {
		ratio, n := value.(*routeStats).closeWindow()
		slowdownSum += ratio * float64(n)
		samples += n
		return true
	})
	refusals := l.overloadRefusals.Swap(0)
	peak := l.peakInFlight.Swap(0)
	if refusals == 0 && samples == 0 {
		return
	}
	old := float64(l.value.Load())
	usage := float64(peak) / old
	switch {
	case refusals > 0, usage >= minUsageToDecrease && slowdownSum > maxSlowdownRatio*float64(samples):
		l.value.Store(int64(max(old*decreaseFactor, minLimitCalls)))
	case usage >= minUsageToIncrease:
		l.value.Store(int64(min(math.Ceil(old*increaseFactor), maxLimitCalls)))
	}
}

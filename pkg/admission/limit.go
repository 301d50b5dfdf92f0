package admission

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// window is the shortest time between two adaptations of the limit.
	window = 100 * time.Millisecond
	// minSamples is the number of latency samples that a window waits for before it
	// closes. maxWindow bounds that wait.
	minSamples = 8
	maxWindow  = time.Second
	// maxSlowdownRatio is the mean latency, relative to the baseline, above which
	// calls are considered to queue inside the upstream.
	maxSlowdownRatio = 1.6
	// decreaseFactor and increaseFactor scale the limit in one adaptation.
	decreaseFactor = 0.85
	increaseFactor = 1.05
	// minUsageToDecrease and minUsageToIncrease are the fractions of the limit that
	// must have been in use for a change by latency: calls that are slow while few
	// are in flight do not queue.
	minUsageToDecrease = 0.5
	minUsageToIncrease = 0.8
	// minLimitCalls and maxLimitCalls bound the adaptive limit.
	minLimitCalls = 2
	maxLimitCalls = 4096
	// baselineDriftFactor raises a baseline in each window whose mean latency is not
	// below it, so that it follows an upstream that has become slower permanently.
	baselineDriftFactor = 1.002
	// blockedSlowdownRatio is the total latency, relative to its baseline, above which
	// a route counts as blocked on child calls and may use at most half of the limit.
	blockedSlowdownRatio = 4
)

// routeStats tracks the latency of one route. Its own latency is the total latency
// of a call minus the time spent waiting for child calls.
type routeStats struct {
	inFlight atomic.Int64

	// mu guards the fields up to samples.
	mu sync.Mutex
	// ownBaseline and totalBaseline are the latencies without queueing. They are 0
	// until the first window with a sample closes.
	ownBaseline, totalBaseline time.Duration
	// ownSum and totalSum are the sums of the samples in the current window.
	ownSum   time.Duration
	totalSum time.Duration
	samples  int

	// blocked is written under mu and read without it.
	blocked atomic.Bool
}

// mayAcquire reports whether the route may run one more call. A blocked route may
// use half of the limit, and at least one slot.
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

// closeWindow starts a new window. It returns the mean own latency of the closed
// window relative to the baseline, and the number of samples.
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

// updateBaseline returns the sample if it is below the baseline, and otherwise the
// baseline raised by baselineDriftFactor.
func updateBaseline(baseline, sample time.Duration) time.Duration {
	if baseline == 0 || sample < baseline {
		return sample
	}
	return time.Duration(float64(baseline) * baselineDriftFactor)
}

// slowdownRatio returns the sample relative to the baseline. A baseline below 1 ms
// counts as 1 ms.
func slowdownRatio(sample, baseline time.Duration) float64 {
	return float64(sample) / math.Max(float64(baseline), float64(time.Millisecond))
}

// adaptiveLimit bounds the number of calls in flight at one upstream. It adapts the
// bound to the latency of the calls and to refusals by the upstream. It is safe for
// concurrent use.
type adaptiveLimit struct {
	// value is the limit in calls; 0 until the upstream has announced itself.
	value atomic.Int64
	// windowEndNanos is the earliest end of the window, in Unix nanoseconds.
	windowEndNanos atomic.Int64
	// overloadRefusals counts the 503 responses of the upstream itself in the window.
	overloadRefusals atomic.Int64
	// samples counts the latency samples in the window.
	samples atomic.Int64
	// peakInFlight is the highest number of calls in flight in the window.
	peakInFlight atomic.Int64
	// routes maps the method and pattern of a route to its *routeStats.
	routes sync.Map
}

// statsFor returns the statistics of a route, named by its method and pattern. It
// creates them if needed.
func (l *adaptiveLimit) statsFor(name string) *routeStats {
	if found, ok := l.routes.Load(name); ok {
		return found.(*routeStats)
	}
	found, _ := l.routes.LoadOrStore(name, new(routeStats))
	return found.(*routeStats)
}

// record adds the latency of a finished call to the window.
func (l *adaptiveLimit) record(r *routeStats, own, total time.Duration) {
	r.record(own, total)
	l.samples.Add(1)
}

// tryCloseWindow reports whether the window has ended, and starts the next one. Of
// concurrent callers, only one gets true.
func (l *adaptiveLimit) tryCloseWindow(now time.Time) bool {
	end := l.windowEndNanos.Load()
	nowNanos := now.UnixNano()
	if nowNanos < end || l.samples.Load() < minSamples && nowNanos < end+int64(maxWindow-window) {
		return false
	}
	return l.windowEndNanos.CompareAndSwap(end, nowNanos+int64(window))
}

// adapt changes the limit according to the samples of the closed window.
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

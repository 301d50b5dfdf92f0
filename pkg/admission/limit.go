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
	minSamples    = 8
	longestWindow = time.Second
	// tolerance is the slow-down of calls that is taken for queueing in the
	// upstream.
	tolerance = 1.6
	// decrease and increase move the limit.
	decrease = 0.85
	increase = 1.05
	// usedToShrink and usedToGrow are the parts of the limit that must have been
	// in use: calls that are slow while few are in flight do not queue.
	usedToShrink = 0.5
	usedToGrow   = 0.8
	// minLimit and maxLimit bound the limit in calls.
	minLimit = 2
	maxLimit = 4096
	// baselineDrift lets a baseline rise slowly when an upstream changes for good.
	baselineDrift = 1.002
	// blockedRatio is the slow-down from which a route is taken for blocked
	// on something deeper, and loses its claim to more than half of the limit.
	blockedRatio = 4
)

// routeStats follows the latency of one route.
type routeStats struct {
	inFlight atomic.Int64

	mu sync.Mutex
	// baseline is the latency without queueing; 0 until the first call.
	baseline, total time.Duration
	// recent is the sum of own latencies in the current window.
	recent  time.Duration
	whole   time.Duration
	samples int

	// blocked is read without the lock.
	blocked atomic.Bool
}

// mayTake tells whether the route has a claim to one more place.
func (r *routeStats) mayTake(allowed int64) bool {
	return !r.blocked.Load() || r.inFlight.Load() < max(allowed/2, 1)
}

func (r *routeStats) add(own, whole time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent += own
	r.whole += whole
	r.samples++
}

// close ends the window. It returns the slow-down against the baseline and the
// number of samples.
func (r *routeStats) close() (float64, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.samples
	if n == 0 {
		return 1, 0
	}
	own, whole := r.recent/time.Duration(n), r.whole/time.Duration(n)
	r.recent, r.whole, r.samples = 0, 0, 0
	r.baseline = drift(r.baseline, own)
	r.total = drift(r.total, whole)
	r.blocked.Store(ratio(whole, r.total) > blockedRatio)
	return ratio(own, r.baseline), n
}

func drift(baseline, sample time.Duration) time.Duration {
	if baseline == 0 || sample < baseline {
		return sample
	}
	return time.Duration(float64(baseline) * baselineDrift)
}

func ratio(sample, baseline time.Duration) float64 {
	return float64(sample) / math.Max(float64(baseline), float64(time.Millisecond))
}

// limit adapts the number of calls in flight at one upstream.
type limit struct {
	value atomic.Int64
	// windowEnd is the time, in nanoseconds of the clock, when the window closes.
	windowEnd atomic.Int64
	// refused counts refusals for load by the upstream itself.
	refused atomic.Int64
	// samples counts the calls of the window.
	samples atomic.Int64
	// peak is the highest number in flight in the window.
	peak   atomic.Int64
	routes sync.Map
}

func (l *limit) route(name string) *routeStats {
	if found, ok := l.routes.Load(name); ok {
		return found.(*routeStats)
	}
	found, _ := l.routes.LoadOrStore(name, new(routeStats))
	return found.(*routeStats)
}

// add notes a call that has ended.
func (l *limit) add(r *routeStats, own, whole time.Duration) {
	r.add(own, whole)
	l.samples.Add(1)
}

// due tells, to one caller only, that the window has ended.
func (l *limit) due(now time.Time) bool {
	end := l.windowEnd.Load()
	at := now.UnixNano()
	if at < end || l.samples.Load() < minSamples && at < end+int64(longestWindow-window) {
		return false
	}
	return l.windowEnd.CompareAndSwap(end, at+int64(window))
}

// adapt moves the limit by what the window showed.
func (l *limit) adapt() {
	l.samples.Store(0)
	slow, samples := 0.0, 0
	l.routes.Range(func(_, value any) bool {
		r, n := value.(*routeStats).close()
		slow += r * float64(n)
		samples += n
		return true
	})
	refused := l.refused.Swap(0)
	peak := l.peak.Swap(0)
	if refused == 0 && samples == 0 {
		return
	}
	old := float64(l.value.Load())
	used := float64(peak) / old
	switch {
	case refused > 0, used >= usedToShrink && slow > tolerance*float64(samples):
		l.value.Store(int64(max(old*decrease, minLimit)))
	case used >= usedToGrow:
		l.value.Store(int64(min(math.Ceil(old*increase), maxLimit)))
	}
}

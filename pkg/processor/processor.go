// Package processor measures how long the process waits for processor time.
package processor

import (
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

// waitsMetric is the runtime's histogram of the times that goroutines were ready to run
// before they ran, in seconds.
const waitsMetric = "/sched/latencies:seconds"

// Monitor measures how long goroutines wait until they run. The zero value is ready to
// use. Delay may be called concurrently; Update belongs to one goroutine.
type Monitor struct {
	// read returns the cumulative histogram of waits; nil means that of the runtime.
	read     func() *metrics.Float64Histogram
	previous []uint64
	// delay is the result of the last Update, in nanoseconds.
	delay atomic.Int64
}

// Delay returns the mean wait of the goroutines that became ready to run between the last
// two calls of Update; 0 before these.
func (m *Monitor) Delay() time.Duration { return time.Duration(m.delay.Load()) }

// Update measures the delay since the previous call and returns it.
func (m *Monitor) Update() time.Duration {
	read := m.read
	if read == nil {
		read = readWaits
	}
	histogram := read()
	delay := m.meanSince(histogram)
	m.previous = append(m.previous[:0], histogram.Counts...)
	m.delay.Store(int64(delay))
	return delay
}

// meanSince returns the mean of the waits that the histogram counts beyond previous.
func (m *Monitor) meanSince(histogram *metrics.Float64Histogram) time.Duration {
	if len(m.previous) != len(histogram.Counts) {
		return 0
	}
	sum, count := 0.0, 0.0
	for i, total := range histogram.Counts {
		added := float64(total - m.previous[i])
		sum += added * bucketCentre(histogram.Buckets[i], histogram.Buckets[i+1])
		count += added
	}
	if count == 0 {
		return 0
	}
	return time.Duration(sum / count * float64(time.Second))
}

// bucketCentre returns the middle of a bucket. The outermost bounds may be infinite.
func bucketCentre(low, high float64) float64 {
	switch {
	case math.IsInf(low, -1):
		return high
	case math.IsInf(high, 1):
		return low
	}
	return (low + high) / 2
}

func readWaits() *metrics.Float64Histogram {
	samples := []metrics.Sample{{Name: waitsMetric}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return &metrics.Float64Histogram{}
	}
	return samples[0].Value.Float64Histogram()
}

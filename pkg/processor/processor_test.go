package processor

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestDelayIsTheMeanWaitSinceTheLastUpdate(t *testing.T) {
	is := is.New(t)
	counts := []uint64{0, 0, 0}
	m := &Monitor{read: func() *metrics.Float64Histogram {
		return &metrics.Float64Histogram{Counts: counts, Buckets: []float64{math.Inf(-1), 0.1, 0.3, math.Inf(1)}}
	}}
	counts = []uint64{1000, 0, 0}
	is.Equal(m.Update(), time.Duration(0)) // nothing to compare with
	counts = []uint64{1000, 10, 0}
	is.Equal(m.Update().Round(time.Millisecond), 200*time.Millisecond)
	counts = []uint64{1010, 10, 10}
	is.Equal(m.Update().Round(time.Millisecond), 200*time.Millisecond)
	is.Equal(m.Update(), time.Duration(0)) // nothing ran
	is.Equal(m.Delay(), time.Duration(0))
}

// The runtime reports its histogram under the name that the monitor reads.
func TestRuntimeReportsWaits(t *testing.T) {
	is := is.New(t)
	is.True(len(readWaits().Counts) > 0)
}

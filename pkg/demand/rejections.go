package demand

import (
	"sync"

	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// rejectionDecay is the factor applied to the counts of calls after each interval. The
	// fraction follows a change within two intervals.
	rejectionDecay = 0.5
	// minRejectionCalls is the number of recent calls that a fraction needs.
	minRejectionCalls = 8.0
	// minRejectedFraction is the fraction below which an instance counts as rejecting
	// nothing: it rejects single calls when it starts or leaves.
	minRejectedFraction = 0.05
)

// rejectionMeter measures the fraction of the calls that the local instance rejects without
// executing them. The zero value is ready to use. It is safe for concurrent use.
type rejectionMeter struct {
	// mu guards the counts, which decay.
	mu              sync.Mutex
	calls, rejected float64
}

func (r *rejectionMeter) observe(rejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls++
	if rejected {
		r.rejected++
	}
}

func (r *rejectionMeter) endInterval() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls *= rejectionDecay
	r.rejected *= rejectionDecay
}

// fraction returns the fraction, or 0 while it is too low or too uncertain to act on.
func (r *rejectionMeter) fraction() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls < minRejectionCalls || r.rejected < minRejectedFraction*r.calls {
		return 0
	}
	return r.rejected / r.calls
}

// ObserveOutcome records whether the local instance rejected a call that was sent to it
// without executing it.
func (m *Monitor) ObserveOutcome(rejected bool) { m.rejections.observe(rejected) }

// rejectedFraction returns the fraction of the calls that an instance rejects as its node
// reports it, or 0 if that is no fraction.
func rejectedFraction(load *linkrpc.Load) float64 {
	if f := load.RejectedFraction; f >= 0 && f <= 1 {
		return float64(f)
	}
	return 0
}

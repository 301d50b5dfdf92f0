package demand

import (
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// The local instance rejects half of its calls for some intervals. Guards against a report
// that lacks the fraction, comes late, or lasts after the end; and against one for single
// rejections.
func TestRejectedFractionIsReported(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	m := newMonitor(fake)
	tick := func(calls, rejected int) float64 {
		for i := range calls {
			m.ObserveOutcome(i < rejected)
		}
		fake.Advance(PlanInterval)
		status := m.Tick()
		if status == nil {
			return 0
		}
		return float64(status.Load.RejectedFraction)
	}
	is.Equal(tick(100, 1), 0.0)
	for range 4 {
		is.True(tick(100, 50) > 0.24)
	}
	is.True(tick(100, 50) > 0.45)
	for range 4 {
		tick(100, 0)
	}
	is.Equal(tick(100, 0), 0.0)
	is.Equal(tick(0, 0), 0.0)
}

// A deep service rejects most calls of a class, though it is not full. Guards against an
// entrance that starts all requests of the class, and against a peer whose report is no
// fraction.
func TestRejectionsHoldRequestsBack(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	m := newMonitor(fake)
	admitted := func(fraction float32) float64 {
		for range 8 {
			for range 10 {
				m.ObserveArrival("browse")
			}
			report := deepReport()
			report.Load.InFlight, report.Load.RunUs, report.Load.RejectedFraction = 2, 125_000, fraction
			report.Costs[0].SlotUs = 100_000
			m.HandleStatus(report)
			fake.Advance(PlanInterval)
			m.Tick()
		}
		_, part := m.Admit("browse")
		return part
	}
	is.Equal(admitted(0), 1.0)
	is.True(admitted(0.9) < 0.6)
	is.Equal(admitted(7), 1.0)
	is.Equal(admitted(0), 1.0)
}

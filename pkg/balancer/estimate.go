package balancer

import (
	"math"
	"time"
)

const (
	// meanWindow is the time over which reported loads are averaged. It is longer than the
	// interval of the reports of a busy node, so that the mean rests on several.
	meanWindow = 500 * time.Millisecond
	// estimateLifetime is the age from which a report says nothing. It is longer than the
	// interval of the reports of an idle node.
	estimateLifetime = 2200 * time.Millisecond
)

// Estimate is what an entrance concludes from the reports of the load of an instance. Many
// entrances read the same report, and the calls that they then send are not in it. A
// report therefore counts for about the run time of a call; after that, the mean of the
// reports does. The zero value has seen no report. It is immutable.
type Estimate struct {
	// Reported is the number of calls that ran or waited at the instance by the last report.
	Reported float64
	// Mean is the mean of the reports.
	Mean float64
	// RunTime is the mean run time of a call.
	RunTime time.Duration
	// At is when the last report was received.
	At time.Time
	// Pending is the number of calls of the entrance itself that had not ended then.
	Pending int64
}

// Updated returns the estimate after another report.
func (e Estimate) Updated(now time.Time, reported int, runTime time.Duration, pending int64) Estimate {
	mean := float64(reported)
	if age := now.Sub(e.At); !e.At.IsZero() && age < estimateLifetime {
		// Without a lower bound, reports that arrive together would not count at all.
		weight := max(0.05, 1-math.Exp(-age.Seconds()/meanWindow.Seconds()))
		mean = e.Mean + weight*(mean-e.Mean)
	}
	return Estimate{Reported: float64(reported), Mean: mean, RunTime: runTime, At: now, Pending: pending}
}

// InFlight returns the expected number of calls that run or wait at the instance, of which
// the entrance has sent pending.
func (e Estimate) InFlight(now time.Time, pending int64) float64 {
	age := now.Sub(e.At)
	if e.At.IsZero() || age > estimateLifetime {
		return float64(pending)
	}
	expected := e.Mean
	if e.RunTime > 0 {
		expected += (e.Reported - e.Mean) * math.Exp(-max(age, 0).Seconds()/e.RunTime.Seconds())
	} else {
		expected = e.Reported
	}
	return max(float64(pending), expected+max(0, float64(pending-e.Pending)))
}

package balancer

import (
	"math"
	"time"
)

const (
	// meanWindow is the time over which reported loads are averaged. With less than the
	// interval of reports, their delay makes the load swing between the instances.
	meanWindow = time.Second
	// estimateLifetime is the age from which a report says nothing. It is longer than the
	// interval of the reports of an idle node.
	estimateLifetime = 2200 * time.Millisecond
	// minReportWeight is the least weight of a report in the mean. Without it, reports that
	// arrive together would hardly count.
	minReportWeight = 0.05
	// staleRunTimes is the number of run times after which practically all calls that ran
	// at a report have ended.
	staleRunTimes = 5
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
	// RunTime is the mean of the reported run times of a call.
	RunTime time.Duration
	// At is when the last report was received.
	At time.Time
	// Pending is the number of calls of the entrance itself that had not ended then.
	Pending int64
}

// Updated returns the estimate after another report.
func (e Estimate) Updated(now time.Time, reported int, runTime time.Duration, pending int64) Estimate {
	mean, meanRunTime := float64(reported), runTime
	if age := now.Sub(e.At); !e.At.IsZero() && age < estimateLifetime {
		weight := max(minReportWeight, 1-math.Exp(-age.Seconds()/meanWindow.Seconds()))
		mean = e.Mean + weight*(mean-e.Mean)
		if e.RunTime > 0 && runTime > 0 {
			meanRunTime = e.RunTime + time.Duration(weight*float64(runTime-e.RunTime))
		}
	}
	return Estimate{Reported: float64(reported), Mean: mean, RunTime: meanRunTime, At: now, Pending: pending}
}

// InFlight returns the expected number of calls that run or wait at the instance, of which
// the entrance has sent pending. Staleness tells how far the calls that ran at the last
// report have ended since: 0 if the report is new, and 1 if it says nothing of the calls
// that run now.
func (e *Estimate) InFlight(now time.Time, pending int64) (inFlight, staleness float64) {
	age := now.Sub(e.At)
	if e.At.IsZero() || age > estimateLifetime {
		return float64(pending), 1
	}
	switch {
	case e.RunTime <= 0 || age <= 0:
	case age > staleRunTimes*e.RunTime:
		staleness = 1
	default:
		staleness = 1 - math.Exp(-float64(age)/float64(e.RunTime))
	}
	expected := e.Reported + (e.Mean-e.Reported)*staleness
	return max(float64(pending), expected+max(0, float64(pending-e.Pending))), staleness
}

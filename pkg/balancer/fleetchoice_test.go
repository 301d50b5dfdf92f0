package balancer

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

// Costs of the earlier choice.
const (
	previousOverloadFullness = 0.8
	previousOverloadSlope    = 4.0
	previousSlowdownPenalty  = 0.1
	previousZonePenalty      = 0.3
	previousJitter           = 0.02
)

// fleetKnowledge is what an entrance knows of one instance.
type fleetKnowledge struct {
	estimate         Estimate
	rejected, failed float64
	pending          int64
}

func (k *fleetKnowledge) learn(now time.Time, load waitqueue.Load, rejected, failed float64) {
	k.estimate = k.estimate.Updated(now, load.InFlight+load.Queued, load.MeanSlotTime, k.pending)
	k.rejected, k.failed = rejected, failed
}

// hear applies a report that may be older than the load that came with a response.
func (k *fleetKnowledge) hear(now time.Time, load waitqueue.Load, rejected, failed float64) {
	if now.Sub(k.estimate.At) < reportDelay {
		return
	}
	k.learn(now, load, rejected, failed)
}

// chooseNow is the choice of the product.
func chooseNow(f *testFleet, e *fleetEntrance, tried []bool) int {
	return chooseWith(f, e, tried, true, func(c []Candidate) int { return Choose(c, f.random.Float64) })
}

func chooseWith(f *testFleet, e *fleetEntrance, tried []bool, estimated bool, choose func([]Candidate) int) int {
	var candidates []Candidate
	var indices []int
	for i, n := range f.instances {
		if tried[i] {
			continue
		}
		k := &e.known[i]
		c := Candidate{Limit: n.limit(), OtherDataCentre: n.zone != e.zone, Rejected: k.rejected, Failed: k.failed}
		if estimated {
			c.InFlight, c.Staleness = k.estimate.InFlight(f.clock(), k.pending)
		} else {
			c.InFlight = max(float64(k.pending), k.estimate.Reported)
		}
		c.RunTime = k.estimate.RunTime
		candidates, indices = append(candidates, c), append(indices, i)
	}
	CompareSpeeds(candidates)
	best := choose(candidates)
	if best < 0 {
		return -1
	}
	return indices[best]
}

// choosePreviously is the earlier choice, kept for comparison: the instance with the lowest
// cost by the last report, without regard to rejections and failures.
func choosePreviously(f *testFleet, e *fleetEntrance, tried []bool) int {
	return chooseWith(f, e, tried, false, func(candidates []Candidate) int {
		best, lowest := -1, 0.0
		for i, c := range candidates {
			fullness := (c.InFlight + 1) / float64(c.Limit)
			cost := fullness + max(0, fullness-previousOverloadFullness)*previousOverloadSlope + f.random.Float64()*previousJitter
			if c.Slowdown > 1 {
				cost += (c.Slowdown - 1) * previousSlowdownPenalty
			}
			if c.OtherDataCentre {
				cost += previousZonePenalty
			}
			if best < 0 || cost < lowest {
				best, lowest = i, cost
			}
		}
		return best
	})
}

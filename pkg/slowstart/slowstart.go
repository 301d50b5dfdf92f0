// Package slowstart decides how many calls per second an instance gets that has just started
// or recovered. It addresses the load pattern of an instance that gets its full share of the
// load at once, while it can take only a part of it: it slows down, rejects calls or fails.
// The rate starts low, rises in steps while the instance responds as at a low rate, and drops
// at once otherwise. An instance is compared with itself only, so that one that is slow at any
// rate is not held back.
package slowstart

import (
	"math"
	"slices"
	"time"
)

const (
	// startFraction is the first rate, as a fraction of the rate that the slots allow.
	startFraction = 0.1
	// growth is the factor of a step up, and slowGrowth that of one from carefulFraction of the
	// rate at which the instance was last overloaded.
	growth, slowGrowth = 1.8, 1.2
	carefulFraction    = 0.7
	// drop is the factor of a step down.
	drop = 0.6
	// probeFraction is the lowest rate, as a fraction of the first one, and probeRate the least
	// that it is, in calls per second: without calls nothing would be learned.
	probeFraction = 0.4
	probeRate     = 1.0
	// stepTime is the shortest time of a step with at least stepSamples calls, and
	// idleStepTime the time after which one with fewer ends, if none of them was bad.
	stepTime     = 500 * time.Millisecond
	idleStepTime = 3 * time.Second
	stepSamples  = 4
	// slowSamples is the least number of run times from which a median is compared.
	slowSamples = 8
	// maxStepSamples bounds the run times that are kept for a step.
	maxStepSamples = 256
	// slowFactor is the multiple of the lowest median run time from which an instance counts
	// as slowed down. Medians of few calls of several kinds differ by less.
	slowFactor = 1.7
	// badTolerance is by how much the fraction of rejected and failed calls may exceed that at
	// the lowest rate, and minBad the least number of them that counts.
	badTolerance = 0.1
	minBad       = 2
	// maxBaseBad is the highest fraction of bad calls that counts as independent of the rate. An
	// instance that rejects or fails more stays at the lowest rate.
	maxBaseBad = 0.5
	// maxDeviations is the number of standard deviations of the expected number of bad calls
	// that counts as chance.
	maxDeviations = 3
	// lowRateWeight and highRateWeight are the weights of a step in the smoothed fraction of
	// bad calls, at rates up to lowRateFactor times the lowest one and above. Above, each step
	// has more calls, and the fraction only falls.
	lowRateWeight, highRateWeight = 0.3, 0.1
	lowRateFactor                 = 3
	// maxSlowTime is the time after which the limit ends though the instance slows down at
	// higher rates, if it has not rejected or failed calls meanwhile.
	maxSlowTime = 30 * time.Second
	// defaultRunTime is the run time that is expected of an instance without measured calls.
	defaultRunTime = 50 * time.Millisecond
)

// Outcome is how a call ended.
type Outcome int

const (
	// OutcomeServed means that the instance responded.
	OutcomeServed Outcome = iota
	// OutcomeRejected means that the instance did not execute the call.
	OutcomeRejected
	// OutcomeFailed means that the instance did not respond, or not validly.
	OutcomeFailed
	// OutcomeError means that the instance responded with an error, which may be that of a
	// call that it made. Its run time says little.
	OutcomeError
)

// Sample is a call that has ended.
type Sample struct {
	RunTime time.Duration
	Outcome Outcome
}

// Controller limits the rate of one instance. The zero value has no limit. It is not safe for
// concurrent use.
type Controller struct {
	// rate is the limit in calls per second; 0 means none.
	rate  float64
	slots int
	// lowest is the lowest rate, in calls per second.
	lowest float64
	// startedAt is when the limit began, and badAt when calls were last rejected or failed
	// so that the rate dropped.
	startedAt, badAt time.Time
	// overloadRate is the rate at which the instance was last overloaded; 0 if there is none.
	overloadRate float64
	// base is the lowest median run time of a step, and 0 before the first one. baseBad is
	// the fraction of bad calls at the lowest rate.
	base    time.Duration
	baseBad float64

	// stepStart is when the present rate began. Calls that were sent before are not counted.
	stepStart time.Time
	runTimes  []time.Duration
	good, bad int
}

// Begin starts the limit anew. slots is the number of calls that the instance runs at once, and
// runTime the expected time of one; 0 if it is not known.
func (c *Controller) Begin(now time.Time, slots int, runTime time.Duration) {
	if runTime <= 0 {
		runTime = defaultRunTime
	}
	first := startFraction * float64(max(1, slots)) / runTime.Seconds()
	*c = Controller{slots: max(1, slots), startedAt: now, lowest: max(probeRate, probeFraction*first)}
	c.setRate(now, first)
}

// Rate returns the limit in calls per second, or 0 if there is none.
func (c *Controller) Rate(now time.Time) float64 {
	if c.rate > 0 && c.bad == 0 && now.Sub(c.stepStart) >= idleStepTime {
		c.endStep(now)
	}
	return c.rate
}

// Observe applies a call that has ended.
func (c *Controller) Observe(now time.Time, s Sample) {
	if c.rate == 0 || now.Add(-s.RunTime).Before(c.stepStart) {
		return
	}
	switch s.Outcome {
	case OutcomeServed:
		c.good++
		if len(c.runTimes) < maxStepSamples {
			c.runTimes = append(c.runTimes, s.RunTime)
		}
	case OutcomeError:
		c.good++
	default:
		c.bad++
	}
	switch {
	case c.tooManyBad():
		c.fall(now, true)
	case c.good+c.bad >= stepSamples && now.Sub(c.stepStart) >= stepTime:
		c.endStep(now)
	}
}

// tooManyBad reports whether more calls were rejected or failed than at the lowest rate.
func (c *Controller) tooManyBad() bool {
	calls := float64(c.good + c.bad)
	deviation := math.Sqrt(calls * c.baseBad * (1 - c.baseBad))
	return c.bad >= minBad && float64(c.bad) > calls*(c.baseBad+badTolerance)+maxDeviations*deviation
}

func (c *Controller) badFraction() float64 { return float64(c.bad) / float64(max(1, c.good+c.bad)) }

// endStep raises the rate if the instance has responded in this step as at a low rate, and
// lowers it if not.
func (c *Controller) endStep(now time.Time) {
	median := c.median()
	if len(c.runTimes) >= stepSamples && (c.base == 0 || median < c.base) {
		c.base = median
	}
	if len(c.runTimes) >= slowSamples && float64(median) > slowFactor*float64(c.base) {
		c.fall(now, false)
		return
	}
	if c.badFraction() > c.baseBad+badTolerance {
		c.setRate(now, c.rate)
		return
	}
	c.learnBad()
	if c.takesAll() || now.Sub(c.startedAt) >= maxSlowTime && now.Sub(c.badAt) >= maxSlowTime {
		*c = Controller{}
		return
	}
	c.setRate(now, c.rate*c.stepUp())
}

// stepUp returns the factor of the next step up. Once the instance was not overloaded at a
// rate at which it was before, that rate does not matter any more.
func (c *Controller) stepUp() float64 {
	if c.rate > c.overloadRate {
		c.overloadRate = 0
	}
	if c.rate >= carefulFraction*c.overloadRate && c.overloadRate > 0 {
		return slowGrowth
	}
	return growth
}

// learnBad smooths the fraction of bad calls at the lowest rates. At higher ones it only falls.
func (c *Controller) learnBad() {
	bad := c.badFraction()
	switch {
	case c.good+c.bad < stepSamples:
	case c.baseBad > 0 && c.rate <= lowRateFactor*c.lowest:
		c.baseBad = min(c.baseBad+(bad-c.baseBad)*lowRateWeight, maxBaseBad)
	case bad < c.baseBad:
		c.baseBad += (bad - c.baseBad) * highRateWeight
	}
}

// takesAll reports whether the present rate uses all slots.
func (c *Controller) takesAll() bool {
	runTime := c.base
	if runTime == 0 {
		runTime = defaultRunTime
	}
	return c.rate*runTime.Seconds() >= float64(c.slots)
}

// fall lowers the rate. At the lowest rate, calls that are rejected or fail do so at any rate,
// and are expected from then on.
func (c *Controller) fall(now time.Time, bad bool) {
	if bad && c.rate <= c.lowest {
		if c.good+c.bad < stepSamples {
			return
		}
		c.baseBad = min(c.badFraction(), maxBaseBad)
	}
	if bad {
		c.badAt = now
	}
	c.overloadRate = c.rate
	// The calls that still run hold the instance up. The next step begins after them.
	settled := now.Add(max(c.base, c.median()))
	c.setRate(settled, c.rate*drop)
}

func (c *Controller) setRate(now time.Time, rate float64) {
	c.rate, c.stepStart = max(c.lowest, rate), now
	c.runTimes, c.good, c.bad = c.runTimes[:0], 0, 0
}

// median returns the median run time of the calls in this step, or 0 without any.
func (c *Controller) median() time.Duration {
	if len(c.runTimes) == 0 {
		return 0
	}
	slices.Sort(c.runTimes)
	return c.runTimes[len(c.runTimes)/2]
}

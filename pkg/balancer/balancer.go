// Package balancer chooses the instance that runs a call. It answers the load
// pattern of services whose instances differ in speed, fullness and in the share of
// calls that they reject or fail, while many entrances choose at once from reports that
// are old, and traffic between data centres is costly. Instances in the local data centre
// are preferred until they fill. Among the instances of a data centre, each call goes to
// the emptier one of two that are drawn at random: if all entrances sent their calls to the
// one that was emptiest in the last report, it would get all calls until the next.
package balancer

import "time"

const (
	// otherDataCentrePenalty is how much fuller, as a fraction of its slots, a
	// local instance may be than one in another data centre and still be
	// chosen.
	otherDataCentrePenalty = 0.3
	// spillRange is the further difference over which the share of the calls that are sent
	// to the other data centre rises to all of them, where the fullness of the local instances
	// is known only as a mean of past reports.
	spillRange = 0.3
	// overloadFullness is the fullness above which the cost of an instance
	// rises more steeply, by overloadSlope for each unit of fullness.
	overloadFullness = 0.8
	overloadSlope    = 4.0
	// slowdownPenalty is the cost of each multiple by which an instance is
	// slower than the fastest one.
	slowdownPenalty = 0.05
	// lastResortPenalty outweighs all other costs.
	lastResortPenalty = 1e6
	// defaultLimit is assumed for an instance that has not reported its slots.
	defaultLimit = 8
	// freshJitter is the range of a random part of the cost by which equal instances are
	// told apart, and staleJitter the further range if the fullness is known only as a mean of
	// past reports: what differs in the reports that all entrances read must not decide
	// on all calls until the next.
	freshJitter = 0.02
	staleJitter = 0.4
	// eligibleRange is how much more than the best instance of its data centre an instance
	// may cost and still be drawn, and staleEligibleRange what is added to that where the
	// fullness is known only as a mean of past reports.
	eligibleRange      = 0.5
	staleEligibleRange = 2.0
	// maxStaleFullness bounds the fullness from staleness staleFrom on. A queue that was
	// long in the last report is short soon after, as all entrances have avoided it.
	maxStaleFullness = 1.25
	staleFrom        = 0.5
	// minSpeed bounds the speed, relative to the fastest instance, by which instances are
	// drawn: measured run times also depend on the mix of calls.
	minSpeed = 0.25
	// minUse bounds the useful fraction in the same way, so that instances that all fail are
	// drawn alike.
	minUse = 0.05
)

// Candidate is an instance that a call may be sent to.
type Candidate struct {
	// InFlight is the expected number of calls that run or wait at the instance.
	InFlight float64
	// Limit is the number of calls that the instance can run at once; 0 where
	// it is unknown.
	Limit int
	// RateFullness is the fraction of the calls that the instance takes by its rate limit
	// that is used up; 0 without a limit. The instance is as full as that, or as its slots.
	RateFullness float64
	// OtherDataCentre reports whether the instance is in another data centre.
	OtherDataCentre bool
	// Slowdown is the run time of calls as a multiple of that at the service's
	// fastest instance; 0 where it is unknown.
	Slowdown float64
	// RunTime is the mean run time of calls, from which CompareSpeeds sets Slowdown; 0 where it
	// is unknown.
	RunTime time.Duration
	// Rejected and Failed are the fractions of its recent calls that the instance rejected
	// without being full, and that failed through its fault.
	Rejected, Failed float64
	// Staleness is 0 if InFlight is exact, and 1 if it is only a mean of the past.
	Staleness float64
	// LastResort excludes the instance while any other is left.
	LastResort bool

	// cost is the cost of sending the call to the instance, in fractions of its slots,
	// outlier reports whether the instance gets probe traffic only, and weight is its
	// measured rate of useful work, by which it is drawn. Choose sets them.
	cost, weight float64
	outlier      bool
}

// group is the instances of the local or of all other data centres.
type group struct {
	candidates []Candidate
	other      bool
	// lowest is the lowest cost, staleness that of the instance with it, and count the number of
	// instances.
	lowest, staleness float64
	count             int
}

// limit returns the number of calls that the instance can run at once.
func (c *Candidate) limit() float64 {
	if c.Limit <= 0 {
		return defaultLimit
	}
	return float64(c.Limit)
}

// staleness returns Staleness within its range.
func (c *Candidate) staleness() float64 { return max(0, min(c.Staleness, 1)) }

// jitter returns the range of the random part of the cost.
func (c *Candidate) jitter() float64 { return freshJitter + staleJitter*c.staleness() }

// useful returns the fraction of the calls that the instance neither rejects nor fails. It
// is 1 if a malformed report holds no number.
func (c *Candidate) useful() float64 {
	if bad := c.Rejected + c.Failed; bad > 0 {
		return max(0, 1-bad)
	}
	return 1
}

// rate sets the cost and the weight of the instance.
func (c *Candidate) rate() {
	limit := c.limit()
	fullness := (c.InFlight + 1) / limit
	// The comparison fails for NaN, which a malformed report may hold.
	if c.RateFullness > fullness {
		fullness = c.RateFullness
	}
	if c.Staleness > staleFrom {
		fullness = min(fullness, maxStaleFullness)
	}
	c.cost = fullness + max(0, fullness-overloadFullness)*overloadSlope
	c.weight = limit * max(minUse, c.useful())
	if c.Slowdown > 1 {
		c.cost += (c.Slowdown - 1) * slowdownPenalty
		c.weight *= max(minSpeed, 1/c.Slowdown)
	}
	if c.outlier {
		c.cost += c.outlierPenalty()
	}
	if c.LastResort {
		c.cost += lastResortPenalty
	}
}

// CompareSpeeds sets the slowdown of each candidate from the run times.
func CompareSpeeds(candidates []Candidate) {
	fastest := time.Duration(0)
	for i := range candidates {
		if run := candidates[i].RunTime; run > 0 && (fastest == 0 || run < fastest) {
			fastest = run
		}
	}
	if fastest == 0 {
		return
	}
	for i := range candidates {
		candidates[i].Slowdown = float64(candidates[i].RunTime) / float64(fastest)
	}
}

// Choose returns the index of the candidate that gets the call, or -1 if there are no
// candidates. random returns numbers between 0 and 1. It overwrites the unexported
// fields of the candidates.
func Choose(candidates []Candidate, random func() float64) int {
	outliers := markOutliers(candidates)
	local, other := group{candidates: candidates}, group{candidates: candidates, other: true}
	for i := range candidates {
		c := &candidates[i]
		c.rate()
		if c.OtherDataCentre {
			other.add(c)
		} else {
			local.add(c)
		}
	}
	g := &local
	if local.count == 0 || other.count > 0 && local.spills(&other, random) {
		g = &other
	}
	if g.count == 0 {
		return -1
	}
	if outliers > 0 {
		if i := g.probe(random); i >= 0 {
			return i
		}
	}
	return g.draw(random)
}

// spills reports whether a call goes to another data centre, as the local instances are that
// much fuller. Entrances that read the same report do not all send their calls there at once.
func (g *group) spills(other *group, random func() float64) bool {
	excess := g.lowest - other.lowest - otherDataCentrePenalty
	return excess > 0 && excess > random()*spillRange*g.staleness
}

func (g *group) add(c *Candidate) {
	if g.count == 0 || c.cost < g.lowest {
		g.lowest, g.staleness = c.cost, c.staleness()
	}
	g.count++
}

func (g *group) has(c *Candidate) bool {
	return c.OtherDataCentre == g.other && c.cost <= g.lowest+eligibleRange+staleEligibleRange*c.staleness()
}

// draw returns the cheaper one of two instances that are drawn at random by their weights.
func (g *group) draw(random func() float64) int {
	total := 0.0
	for i := range g.candidates {
		if c := &g.candidates[i]; g.has(c) {
			total += c.weight
		}
	}
	first := g.pick(random()*total, -1)
	second := g.pick(random()*(total-g.candidates[first].weight), first)
	if second < 0 {
		return first
	}
	a, b := &g.candidates[first], &g.candidates[second]
	if b.cost+random()*b.jitter() < a.cost+random()*a.jitter() {
		return second
	}
	return first
}

// pick returns the instance at a position of the sum of the weights, leaving out one of
// them, or the last instance if the position lies beyond. It returns -1 if there is none.
func (g *group) pick(position float64, except int) int {
	last := -1
	for i := range g.candidates {
		c := &g.candidates[i]
		if i == except || !g.has(c) {
			continue
		}
		last = i
		if position -= c.weight; position < 0 {
			break
		}
	}
	return last
}

// Package balancer chooses the instance that runs a call. It answers the load
// pattern of services whose instances differ in speed and fullness while
// traffic between data centres is costly: instances in the local data centre
// are preferred until they fill, then the emptiest instance anywhere.
package balancer

const (
	// otherDataCentrePenalty is how much fuller, as a fraction of its slots, a
	// local instance may be than one in another data centre and still be
	// chosen.
	otherDataCentrePenalty = 0.3
	// overloadFullness is the fullness above which the cost of an instance
	// rises more steeply, by overloadSlope for each unit of fullness.
	overloadFullness = 0.8
	overloadSlope    = 4.0
	// slowdownPenalty is the cost of each multiple by which an instance is
	// slower than the fastest one.
	slowdownPenalty = 0.1
	// lastResortPenalty outweighs all other costs.
	lastResortPenalty = 1e6
	// defaultLimit is assumed for an instance that has not reported its slots.
	defaultLimit = 8
	// jitter keeps entrances from all choosing the same one of several equal
	// instances.
	jitter = 0.02
)

// Candidate is an instance that a call may be sent to.
type Candidate struct {
	// InFlight is the known number of calls that run or wait at the instance.
	InFlight int
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
	// LastResort excludes the instance while any other is left.
	LastResort bool
}

// cost returns the cost of sending the call to the candidate, in fractions of
// its slots. The candidate with the lowest cost is chosen. randomUnit is a
// random number between 0 and 1.
func (c Candidate) cost(randomUnit float64) float64 {
	limit := c.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	fullness := float64(c.InFlight+1) / float64(limit)
	// The comparison fails for NaN, which a malformed report may hold.
	if c.RateFullness > fullness {
		fullness = c.RateFullness
	}
	cost := fullness + max(0, fullness-overloadFullness)*overloadSlope + randomUnit*jitter
	if c.Slowdown > 1 {
		cost += (c.Slowdown - 1) * slowdownPenalty
	}
	if c.OtherDataCentre {
		cost += otherDataCentrePenalty
	}
	if c.LastResort {
		cost += lastResortPenalty
	}
	return cost
}

// Choose returns the index of the candidate with the lowest cost, or -1 if there
// are no candidates. random returns numbers between 0 and 1.
func Choose(candidates []Candidate, random func() float64) int {
	best, lowest := -1, 0.0
	for i, c := range candidates {
		if cost := c.cost(random()); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

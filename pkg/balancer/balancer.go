// Package placing chooses the instance that a call goes to. It answers the load
// pattern of services whose instances differ in speed and fullness while
// traffic between data centres costs: the nearest instance serves until it
// fills, then the emptiest.
package balancer

const (
	// otherDataCentrePenalty is how much fuller, as a part of its slots, a near instance may
	// be than a far one and still be chosen.
	otherDataCentrePenalty = 0.3
	// overloadFullness is the fullness from which a place grows costly.
	overloadFullness = 0.8
	overloadSlope    = 4.0
	// slowdownPenalty is what each further multiple of the fastest instance's time counts.
	slowdownPenalty = 0.1
	// lastResortPenalty outweighs everything else.
	lastResortPenalty = 1e6
	// defaultLimit stands in for the slots of an instance that has not told them.
	defaultLimit = 8
	// jitter keeps entrances from choosing the same of equal instances.
	jitter = 0.02
)

// Candidate is an instance that may run the call.
type Candidate struct {
	// InFlight counts calls that run or wait there, as far as is known.
	InFlight int
	Limit    int
	// OtherDataCentre tells that the instance stands in another data centre.
	OtherDataCentre bool
	// Slowdown is how many times longer than the fastest instance of the service it
	// runs a call; 0 where that is not known.
	Slowdown float64
	// LastResort tells that the instance is used only where no other is left.
	LastResort bool
}

// cost is the lower the better. The chance is between 0 and 1.
func (c Candidate) cost(randomUnit float64) float64 {
	limit := c.Limit
	if limit <= 0 {
		limit = defaultLimit
	}
	fullness := float64(c.InFlight+1) / float64(limit)
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

// Choose returns the index of the best candidate, or -1 where there is none.
// Each call of random returns a number between 0 and 1.
func Choose(candidates []Candidate, random func() float64) int {
	best, lowest := -1, 0.0
	for i, c := range candidates {
		if cost := c.cost(random()); best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

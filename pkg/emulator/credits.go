package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/shedding"
)

const (
	// overloadWait is the mean wait above which an instance is overloaded.
	overloadWait = 20 * time.Millisecond
	// poolIncrease is the fraction of a service's slots added to its pool in a
	// tick without an overloaded instance. poolDecrease is the fraction of the pool
	// removed in a tick with one.
	poolIncrease, poolDecrease = 0.02, 0.1
	// minPoolFraction is the smallest pool, as a fraction of the service's slots.
	minPoolFraction = 0.2
	// urgentReserveFraction is the fraction of a node's credits that is reserved
	// for requests of priority 0.
	urgentReserveFraction = 0.3
	// maxSavedTicks is the number of ticks for which a node can save credits.
	maxSavedTicks = 2
)

// creditStrategy is the strategy in which each service grants credits of slot time
// to the nodes that request them, more or fewer depending on the wait at its
// instances. The costs of classes are taken from the call graph, not learned.
type creditStrategy struct {
	fleet *Fleet
	costs map[*Class]map[fleet.ServiceName]float64
	// poolFractions holds the fraction of its slots that each service grants.
	poolFractions map[fleet.ServiceName]float64
	// balances and requested hold the credits of each node at each service, in
	// slot seconds.
	balances, requested []map[fleet.ServiceName]float64
}

func newCreditStrategy(f *Fleet) Hooks {
	c := &creditStrategy{fleet: f, costs: map[*Class]map[fleet.ServiceName]float64{}}
	for _, class := range f.CallGraph.Classes {
		c.costs[class] = f.CallGraph.Cost(class)
	}
	c.reset()
	return Hooks{Admit: c.admit, OnTick: c.tick, OnRestart: c.reset}
}

func (c *creditStrategy) reset() {
	c.poolFractions, c.balances, c.requested = map[fleet.ServiceName]float64{}, nil, nil
	for range c.fleet.Nodes {
		c.balances = append(c.balances, map[fleet.ServiceName]float64{})
		c.requested = append(c.requested, map[fleet.ServiceName]float64{})
	}
	for _, v := range c.fleet.CallGraph.Services {
		c.poolFractions[v.Name] = shedding.TargetUtilisation
	}
	c.tick()
}

func (c *creditStrategy) admit(n *Node, class *Class, _ uint64, remaining time.Duration) (bool, time.Duration) {
	balance, requested := c.balances[n.Number], c.requested[n.Number]
	enough := true
	for name, cost := range c.costs[class] {
		requested[name] += cost
		reserved := 0.0
		if class.Priority > 0 {
			reserved = urgentReserveFraction * balance[name]
		}
		enough = enough && balance[name]-reserved >= min(cost, balance[name])/2 && balance[name] > 0
	}
	if !enough {
		return false, remaining
	}
	for name, cost := range c.costs[class] {
		balance[name] -= cost
	}
	return true, 0
}

// tick grants credits to the nodes in proportion to their requests. A small share
// is granted evenly, so also to nodes without requests.
func (c *creditStrategy) tick() {
	for _, v := range c.fleet.CallGraph.Services {
		c.resizePool(v)
		totalRequested := 0.0
		for i := range c.requested {
			totalRequested += c.requested[i][v.Name]
		}
		granted := c.poolFractions[v.Name] * float64(v.Instances*v.Slots) * tickInterval.Seconds()
		for i := range c.balances {
			share := 1 / float64(len(c.balances))
			if totalRequested > 0 {
				share = (c.requested[i][v.Name] + totalRequested*0.05*share) / (totalRequested * 1.05)
			}
			c.balances[i][v.Name] = min(c.balances[i][v.Name]+share*granted, maxSavedTicks*share*granted)
			c.requested[i][v.Name] *= 0.5
		}
	}
}

// resizePool adjusts the pool of a service to the mean waits at its instances.
func (c *creditStrategy) resizePool(v *Service) {
	overloaded := slices.ContainsFunc(c.fleet.nodesByService[v.Name], func(n *Node) bool {
		return n.takeMeanWait() > overloadWait
	})
	if overloaded {
		c.poolFractions[v.Name] = max(minPoolFraction, c.poolFractions[v.Name]*(1-poolDecrease))
	} else {
		c.poolFractions[v.Name] = min(1.3, c.poolFractions[v.Name]+poolIncrease)
	}
}

// servicesOf returns the services in the cost of a class, sorted by name.
func servicesOf(costs map[fleet.ServiceName]float64) []fleet.ServiceName {
	return slices.Sorted(maps.Keys(costs))
}

package emulator

import (
	"maps"
	"slices"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/shedding"
)

const (
	// waitTarget is the mean wait from which a service counts as overloaded.
	waitTarget = 20 * time.Millisecond
	// poolGrows and poolShrinks change a service's pool of credits each tick.
	poolGrows, poolShrinks = 0.02, 0.1
	// leastPool bounds a pool, as a part of the service's slots.
	leastPool = 0.2
	// urgentOnly is the part of a node's credits that is kept for requests of priority 0.
	urgentOnly = 0.3
	// creditMemory is how many ticks of credits a node may save.
	creditMemory = 2
)

// credits is the way in which every service gives out slot time, as much as
// its waiting times allow, to the nodes that asked for it. The cost of each
// class is given, not learned.
type credits struct {
	fleet *Fleet
	costs map[*Class]map[fleet.ServiceName]float64
	// pool is the part of its slots that a service gives out.
	pool map[fleet.ServiceName]float64
	// balance and asked are slot seconds, of each node at each service.
	balance, asked []map[fleet.ServiceName]float64
}

func newCredits(f *Fleet) Decisions {
	c := &credits{fleet: f, costs: map[*Class]map[fleet.ServiceName]float64{}}
	for _, class := range f.Shape.Classes {
		c.costs[class] = f.Shape.Cost(class)
	}
	c.start()
	return Decisions{Admit: c.admit, Tick: c.tick, Restart: c.start}
}

func (c *credits) start() {
	c.pool, c.balance, c.asked = map[fleet.ServiceName]float64{}, nil, nil
	for range c.fleet.Nodes {
		c.balance = append(c.balance, map[fleet.ServiceName]float64{})
		c.asked = append(c.asked, map[fleet.ServiceName]float64{})
	}
	for _, v := range c.fleet.Shape.Services {
		c.pool[v.Name] = shedding.TargetUtilisation
	}
	c.tick()
}

func (c *credits) admit(n *Node, class *Class, _ uint64, left time.Duration) (bool, time.Duration) {
	balance, asked := c.balance[n.Number], c.asked[n.Number]
	enough := true
	for name, cost := range c.costs[class] {
		asked[name] += cost
		kept := 0.0
		if class.Priority > 0 {
			kept = urgentOnly * balance[name]
		}
		enough = enough && balance[name]-kept >= min(cost, balance[name])/2 && balance[name] > 0
	}
	if !enough {
		return false, left
	}
	for name, cost := range c.costs[class] {
		balance[name] -= cost
	}
	return true, 0
}

func (c *credits) tick() {
	for _, v := range c.fleet.Shape.Services {
		c.resize(v)
		all := 0.0
		for i := range c.asked {
			all += c.asked[i][v.Name]
		}
		given := c.pool[v.Name] * float64(v.Instances*v.Slots) * tick.Seconds()
		for i := range c.balance {
			part := 1 / float64(len(c.balance))
			if all > 0 {
				part = (c.asked[i][v.Name] + all*0.05*part) / (all * 1.05)
			}
			c.balance[i][v.Name] = min(c.balance[i][v.Name]+part*given, creditMemory*part*given)
			c.asked[i][v.Name] *= 0.5
		}
	}
}

// resize changes a service's pool by what its calls waited.
func (c *credits) resize(v *Service) {
	overloaded := slices.ContainsFunc(c.fleet.places[v.Name], func(n *Node) bool {
		return n.meanWait() > waitTarget
	})
	if overloaded {
		c.pool[v.Name] = max(leastPool, c.pool[v.Name]*(1-poolShrinks))
	} else {
		c.pool[v.Name] = min(1.3, c.pool[v.Name]+poolGrows)
	}
}

// needed returns the services that a class needs.
func needed(costs map[fleet.ServiceName]float64) []fleet.ServiceName {
	return slices.Sorted(maps.Keys(costs))
}

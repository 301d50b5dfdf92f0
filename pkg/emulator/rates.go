package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/shedding"
)

const (
	// rateGrows and rateShrinks change the part of a class that is admitted each tick.
	rateGrows, rateShrinks = 0.05, 0.1
	// leastRate is the part of every class that is admitted always.
	leastRate = 0.2
	// lowest is the least urgent priority.
	lowest = 2
)

// rates is the way in which the part of each class that is admitted is steered
// by the waiting times at the services that it needs, the least urgent first.
// Which services a class needs is given, not learned.
type rates struct {
	fleet *Fleet
	needs map[*Class][]fleet.ServiceName
	parts map[*Class]float64
}

func newRates(f *Fleet) Decisions {
	r := &rates{fleet: f, needs: map[*Class][]fleet.ServiceName{}}
	for _, c := range f.Shape.Classes {
		r.needs[c] = needed(f.Shape.Cost(c))
	}
	r.start()
	return Decisions{Admit: r.admit, Tick: r.tick, Restart: r.start}
}

func (r *rates) start() {
	r.parts = map[*Class]float64{}
	for c := range r.needs {
		r.parts[c] = 1
	}
}

func (r *rates) admit(_ *Node, c *Class, _ uint64, left time.Duration) (bool, time.Duration) {
	return r.fleet.random.Float64() < r.parts[c], shedding.RetryAfter(r.parts[c], left, r.fleet.random.Float64())
}

func (r *rates) tick() {
	slow := map[fleet.ServiceName]bool{}
	for _, n := range r.fleet.Nodes {
		if n.meanWait() > waitTarget {
			slow[n.Service.Name] = true
		}
	}
	for priority := lowest; priority >= 0; priority-- {
		if r.shrink(priority, slow) {
			return
		}
	}
}

// shrink changes the parts of the classes of one priority. It reports whether
// a class was held back further.
func (r *rates) shrink(priority int, slow map[fleet.ServiceName]bool) bool {
	shrunk := false
	for _, c := range r.fleet.Shape.Classes {
		if c.Rate == 0 || c.Priority != priority {
			continue
		}
		needed := false
		for _, name := range r.needs[c] {
			needed = needed || slow[name]
		}
		switch {
		case !needed:
			r.parts[c] = min(1, r.parts[c]+rateGrows)
		case r.parts[c] > leastRate:
			r.parts[c] = max(leastRate, r.parts[c]*(1-rateShrinks))
			shrunk = true
		}
	}
	return shrunk
}

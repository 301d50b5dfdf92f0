package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/shedding"
)

const (
	// rateIncrease is added to the admitted fraction of a class in a tick in which
	// none of its services is overloaded. rateDecrease is the share of that
	// fraction removed in a tick in which one is.
	rateIncrease, rateDecrease = 0.05, 0.1
	// minAdmittedFraction is the fraction of each class that is always admitted.
	minAdmittedFraction = 0.2
	// lowestPriority is the number of the least urgent priority.
	lowestPriority = 2
)

// rateStrategy is the strategy in which the admitted fraction of each class depends
// on the waits at the services that the class uses. The least urgent classes are
// reduced first. The services of a class are taken from the call graph, not
// learned.
type rateStrategy struct {
	fleet           *Fleet
	servicesByClass map[*Class][]fleet.ServiceName
	fractions       map[*Class]float64
}

func newRateStrategy(f *Fleet) Hooks {
	r := &rateStrategy{fleet: f, servicesByClass: map[*Class][]fleet.ServiceName{}}
	for _, c := range f.CallGraph.Classes {
		r.servicesByClass[c] = servicesOf(f.CallGraph.Cost(c))
	}
	r.reset()
	return Hooks{Admit: r.admit, OnTick: r.tick, OnRestart: r.reset}
}

func (r *rateStrategy) reset() {
	r.fractions = map[*Class]float64{}
	for c := range r.servicesByClass {
		r.fractions[c] = 1
	}
}

func (r *rateStrategy) admit(_ *Node, c *Class, _ uint64, remaining time.Duration) (bool, time.Duration) {
	return r.fleet.random.Float64() < r.fractions[c], shedding.RetryAfter(r.fractions[c], remaining, r.fleet.random.Float64())
}

func (r *rateStrategy) tick() {
	overloadedServices := map[fleet.ServiceName]bool{}
	for _, n := range r.fleet.Nodes {
		if n.takeMeanWait() > overloadWait {
			overloadedServices[n.Service.Name] = true
		}
	}
	for priority := lowestPriority; priority >= 0; priority-- {
		if r.adjust(priority, overloadedServices) {
			return
		}
	}
}

// adjust updates the admitted fractions of the classes of one priority. It reports
// whether it reduced any of them.
func (r *rateStrategy) adjust(priority int, overloadedServices map[fleet.ServiceName]bool) bool {
	reduced := false
	for _, c := range r.fleet.CallGraph.Classes {
		if c.Rate == 0 || c.Priority != priority {
			continue
		}
		usesOverloaded := false
		for _, name := range r.servicesByClass[c] {
			usesOverloaded = usesOverloaded || overloadedServices[name]
		}
		switch {
		case !usesOverloaded:
			r.fractions[c] = min(1, r.fractions[c]+rateIncrease)
		case r.fractions[c] > minAdmittedFraction:
			r.fractions[c] = max(minAdmittedFraction, r.fractions[c]*(1-rateDecrease))
			reduced = true
		}
	}
	return reduced
}

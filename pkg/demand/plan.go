package demand

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

// Plan holds the fraction of each class to admit. It is immutable except for
// the credit of each class.
type Plan struct {
	credits map[routing.RouteName]*credit
}

// credit admits a fraction of a class at even intervals. Each request adds the
// fraction to the balance, and each admitted request subtracts 1.
type credit struct {
	fraction float64

	mu sync.Mutex
	// balance is below 1 between requests. It is guarded by mu.
	balance float64
}

// Admit reports whether a request of the given route is admitted, and the
// fraction of its class that is admitted. It is safe for concurrent use.
func (m *Monitor) Admit(route routing.RouteName) (bool, float64) {
	p := m.plan.Load()
	if p == nil {
		return true, 1
	}
	c := p.credits[route]
	if c == nil || c.fraction >= fullFraction {
		return true, 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balance += c.fraction
	if c.balance < 1 {
		return false, c.fraction
	}
	c.balance--
	return true, c.fraction
}

// randomUnit returns a random number between 0 and 1.
func (m *Monitor) randomUnit() float64 {
	if m.RandomUnit == nil {
		return rand.Float64()
	}
	return m.RandomUnit()
}

// setPlan activates a plan with the given fractions. Existing classes keep
// their balance; new ones start with a random one.
func (m *Monitor) setPlan(fractions map[routing.RouteName]float64) {
	previous := m.plan.Load()
	next := &Plan{credits: make(map[routing.RouteName]*credit, len(fractions))}
	for _, name := range slices.Sorted(maps.Keys(fractions)) {
		c := &credit{fraction: fractions[name], balance: m.randomUnit()}
		if previous != nil && previous.credits[name] != nil {
			previousCredit := previous.credits[name]
			previousCredit.mu.Lock()
			c.balance = previousCredit.balance
			previousCredit.mu.Unlock()
		}
		next.credits[name] = c
	}
	m.plan.Store(next)
}

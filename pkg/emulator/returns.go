package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/shedding"
)

const (
	// returningFraction is the fraction of its timeout below which the remaining time of a
	// request shows that its client has been refused before.
	returningFraction = 0.9
	// maxReserved is the number of requests of a class that a node admits ahead of new ones.
	maxReserved = 20
)

// returnStrategy is the product's strategy with another treatment of clients that return
// after a refusal.
type returnStrategy struct {
	fleet *Fleet
	plan  Hooks
	// reserved counts the requests by node and class that were admitted beyond the plan
	// and for which no new request has been refused yet.
	reserved map[*Node]map[*Class]int
}

// newReservingStrategy admits returning clients first, within a bound, in place of new
// ones.
func newReservingStrategy(f *Fleet) Hooks {
	s := &returnStrategy{fleet: f, plan: newPlanStrategy(f), reserved: map[*Node]map[*Class]int{}}
	for _, n := range f.Nodes {
		s.reserved[n] = map[*Class]int{}
	}
	h := s.plan
	h.Admit = s.admitReturning
	return h
}

// newSpreadingStrategy spreads the returns over the time within which clients return.
func newSpreadingStrategy(f *Fleet) Hooks {
	s := &returnStrategy{fleet: f, plan: newPlanStrategy(f)}
	h := s.plan
	h.Admit = s.spreadReturns
	return h
}

func (s *returnStrategy) admitReturning(n *Node, c *Class, request uint64, remaining time.Duration) (bool, time.Duration) {
	admitted, retryAfter := s.plan.Admit(n, c, request, remaining)
	returning := float64(remaining) < returningFraction*float64(c.Timeout)
	switch reserved := s.reserved[n]; {
	case !admitted && returning && reserved[c] < maxReserved:
		reserved[c]++
		return true, retryAfter
	case admitted && !returning && reserved[c] > 0:
		reserved[c]--
		return false, retryAfter
	}
	return admitted, retryAfter
}

func (s *returnStrategy) spreadReturns(n *Node, c *Class, request uint64, remaining time.Duration) (bool, time.Duration) {
	admitted, _ := s.plan.Admit(n, c, request, remaining)
	longest := max(remaining/maxRetryDelayDivisor-shedding.MinRetryAfter, 0)
	return admitted, shedding.MinRetryAfter + time.Duration(s.fleet.random.Float64()*float64(longest))
}

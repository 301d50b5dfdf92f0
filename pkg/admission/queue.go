package admission

import (
	"container/list"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// waiter is a call that waits for a place.
type waiter struct {
	call   *call.Call
	bucket int
	since  time.Time
	route  *routeStats
	// verdict receives true for a place and false for a refusal, once.
	verdict chan bool
	place   *list.Element
}

// share is the queue of one organisation in one class.
type share struct {
	waiting list.List
	weight  float64
	// served grows by 1/weight with each place given; the lowest is next.
	served float64
}

// queue holds the calls that wait, by class and organisation. The zero value
// works. It is not safe for concurrent use.
type queue struct {
	classes [fleet.ClassCount]map[fleet.OrganisationID]*share
	length  int
	// floor is the lowest served of the last pick, where new shares start.
	floor [fleet.ClassCount]float64
}

func (q *queue) share(c *call.Call) *share {
	if q.classes[c.Route.Class] == nil {
		q.classes[c.Route.Class] = map[fleet.OrganisationID]*share{}
	}
	s := q.classes[c.Route.Class][c.Organisation]
	if s == nil {
		s = &share{served: q.floor[c.Route.Class]}
		q.classes[c.Route.Class][c.Organisation] = s
	}
	s.weight = max(c.Weight, 0.001)
	return s
}

func (q *queue) push(w *waiter) {
	s := q.share(w.call)
	if s.waiting.Len() == 0 {
		s.served = max(s.served, q.floor[w.call.Route.Class])
	}
	w.place = s.waiting.PushBack(w)
	q.length++
}

// remove takes out a waiter that still waits and tells whether it did.
func (q *queue) remove(w *waiter) bool {
	if w.place == nil {
		return false
	}
	q.share(w.call).waiting.Remove(w.place)
	w.place = nil
	q.length--
	return true
}

// pop takes out the call that is next: highest class, then the organisation
// with the least served for its weight, then newest or oldest first. Classes below
// the lowest named are left.
func (q *queue) pop(newest bool, allowed int64, lowest fleet.Class) *waiter {
	for class := fleet.ClassCount - 1; class >= int(lowest); class-- {
		best := q.least(class, newest, allowed)
		if best == nil {
			continue
		}
		q.floor[class] = best.served
		best.served += 1 / best.weight
		next := best.next(newest)
		q.remove(next)
		return next
	}
	return nil
}

// waits tells whether a call of a class waits.
func (q *queue) waits(class fleet.Class) bool {
	for _, s := range q.classes[class] {
		if s.waiting.Len() > 0 {
			return true
		}
	}
	return false
}

// least returns the share of a class that was served least and whose next call
// may take a place, or nil.
func (q *queue) least(class int, newest bool, allowed int64) *share {
	var best *share
	for _, s := range q.classes[class] {
		if s.waiting.Len() == 0 || best != nil && s.served >= best.served {
			continue
		}
		if s.next(newest).route.mayTake(allowed) {
			best = s
		}
	}
	return best
}

func (s *share) next(newest bool) *waiter {
	if newest {
		return s.waiting.Back().Value.(*waiter)
	}
	return s.waiting.Front().Value.(*waiter)
}

// worst returns the call to shed first: lowest class, then the organisation
// that waits with most for its weight, then the highest bucket.
func (q *queue) worst() *waiter {
	for class := range fleet.ClassCount {
		var most *share
		for _, s := range q.classes[class] {
			if s.waiting.Len() > 0 && (most == nil || s.excess() > most.excess()) {
				most = s
			}
		}
		if most != nil {
			return most.worst()
		}
	}
	return nil
}

func (s *share) excess() float64 { return float64(s.waiting.Len()) / s.weight }

func (s *share) worst() *waiter {
	var worst *waiter
	for e := s.waiting.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiter); worst == nil || w.bucket > worst.bucket {
			worst = w
		}
	}
	return worst
}

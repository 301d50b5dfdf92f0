package admission

import (
	"container/list"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// waiter is a call that waits for a place.
type waiter struct {
	call     *call.Call
	bucket   int
	queuedAt time.Time
	route    *routeStats
	// verdict receives true for a place and false for a refusal, once.
	verdict chan bool
	element *list.Element
}

// flow is the queue of one organisation in one class.
type flow struct {
	waiting list.List
	weight  float64
	// virtualTime grows by 1/weight with each place given; the lowest is next.
	virtualTime float64
}

// queue holds the calls that wait, by class and organisation. The zero value
// works. It is not safe for concurrent use.
type queue struct {
	classes [fleet.ClassCount]map[fleet.OrganisationID]*flow
	length  int
	// virtualTimes is the lowest served of the last pick, where new shares start.
	virtualTimes [fleet.ClassCount]float64
}

func (q *queue) flow(c *call.Call) *flow {
	if q.classes[c.Route.Class] == nil {
		q.classes[c.Route.Class] = map[fleet.OrganisationID]*flow{}
	}
	f := q.classes[c.Route.Class][c.Organisation]
	if f == nil {
		f = &flow{virtualTime: q.virtualTimes[c.Route.Class]}
		q.classes[c.Route.Class][c.Organisation] = f
	}
	f.weight = max(c.Weight, 0.001)
	return f
}

func (q *queue) push(w *waiter) {
	f := q.flow(w.call)
	if f.waiting.Len() == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualTimes[w.call.Route.Class])
	}
	w.element = f.waiting.PushBack(w)
	q.length++
}

// remove takes out a waiter that still waits and tells whether it did.
func (q *queue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	q.flow(w.call).waiting.Remove(w.element)
	w.element = nil
	q.length--
	return true
}

// pop takes out the call that is next: highest class, then the organisation
// with the least served for its weight, then newest or oldest first. Classes below
// the lowest named are left.
func (q *queue) pop(newestFirst bool, limit int64, minClass fleet.Class) *waiter {
	for class := fleet.ClassCount - 1; class >= int(minClass); class-- {
		best := q.leastServed(class, newestFirst, limit)
		if best == nil {
			continue
		}
		q.virtualTimes[class] = best.virtualTime
		best.virtualTime += 1 / best.weight
		next := best.next(newestFirst)
		q.remove(next)
		return next
	}
	return nil
}

// hasWaiting reports whether a call of a class waits.
func (q *queue) hasWaiting(class fleet.Class) bool {
	for _, f := range q.classes[class] {
		if f.waiting.Len() > 0 {
			return true
		}
	}
	return false
}

// leastServed returns the share of a class that was served least and whose next call
// may take a place, or nil.
func (q *queue) leastServed(class int, newestFirst bool, limit int64) *flow {
	var best *flow
	for _, f := range q.classes[class] {
		if f.waiting.Len() == 0 || best != nil && f.virtualTime >= best.virtualTime {
			continue
		}
		if f.next(newestFirst).route.mayAcquire(limit) {
			best = f
		}
	}
	return best
}

func (f *flow) next(newestFirst bool) *waiter {
	if newestFirst {
		return f.waiting.Back().Value.(*waiter)
	}
	return f.waiting.Front().Value.(*waiter)
}

// lowestPriority returns the call to shed first: lowest class, then the organisation
// that waits with most for its weight, then the highest bucket.
func (q *queue) lowestPriority() *waiter {
	for class := range fleet.ClassCount {
		var largest *flow
		for _, f := range q.classes[class] {
			if f.waiting.Len() > 0 && (largest == nil || f.weightedBacklog() > largest.weightedBacklog()) {
				largest = f
			}
		}
		if largest != nil {
			return largest.highestBucket()
		}
	}
	return nil
}

func (f *flow) weightedBacklog() float64 { return float64(f.waiting.Len()) / f.weight }

func (f *flow) highestBucket() *waiter {
	var highest *waiter
	for e := f.waiting.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiter); highest == nil || w.bucket > highest.bucket {
			highest = w
		}
	}
	return highest
}

package admission

import (
	"container/list"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// waiter is a call that waits for a slot.
type waiter struct {
	call     *call.Call
	bucket   int
	queuedAt time.Time
	route    *routeStats
	// verdict receives one value: true if the call is admitted, false if it is shed.
	verdict chan bool
	// element is the waiter's position in its flow, or nil once it is removed.
	element *list.Element
}

// flow is the queue of one organisation in one class.
type flow struct {
	// waiters holds *waiter values, oldest first.
	waiters list.List
	weight  float64
	// virtualTime grows by 1/weight with each admitted call. The flow with the lowest
	// value is served next.
	virtualTime float64
}

// queue holds waiting calls by class and organisation. It is a weighted fair queue
// between the organisations of a class. The zero value is ready to use. It is not
// safe for concurrent use.
type queue struct {
	// flows holds, by class, the flow of each organisation.
	flows [fleet.ClassCount]map[fleet.OrganisationID]*flow
	// length is the number of waiting calls in all flows.
	length int
	// virtualTimes holds, by class, the virtual time of the flow served last. Flows that
	// become active start there, so that they do not catch up for their idle time.
	virtualTimes [fleet.ClassCount]float64
}

// flowOf returns the flow of a call's class and organisation, and sets its weight to
// that of the call. It creates the flow if needed.
func (q *queue) flowOf(c *call.Call) *flow {
	if q.flows[c.Route.Class] == nil {
		q.flows[c.Route.Class] = map[fleet.OrganisationID]*flow{}
	}
	f := q.flows[c.Route.Class][c.Organisation]
	if f == nil {
		f = &flow{virtualTime: q.virtualTimes[c.Route.Class]}
		q.flows[c.Route.Class][c.Organisation] = f
	}
	f.weight = max(c.Weight, 0.001)
	return f
}

func (q *queue) push(w *waiter) {
	f := q.flowOf(w.call)
	if f.waiters.Len() == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualTimes[w.call.Route.Class])
	}
	w.element = f.waiters.PushBack(w)
	q.length++
}

// remove removes a waiter, and reports whether it was still queued.
func (q *queue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	q.flowOf(w.call).waiters.Remove(w.element)
	w.element = nil
	q.length--
	return true
}

// pop removes and returns the next call, or nil if none may run. It takes the highest
// class first, then the flow with the lowest virtual time, then the newest or the
// oldest call. It ignores classes below minClass.
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

// hasWaiting reports whether any call of a class is queued.
func (q *queue) hasWaiting(class fleet.Class) bool {
	for _, f := range q.flows[class] {
		if f.waiters.Len() > 0 {
			return true
		}
	}
	return false
}

// leastServed returns the flow of a class with the lowest virtual time among those
// whose next call may acquire a slot, or nil if there is none.
func (q *queue) leastServed(class int, newestFirst bool, limit int64) *flow {
	var best *flow
	for _, f := range q.flows[class] {
		if f.waiters.Len() == 0 || best != nil && f.virtualTime >= best.virtualTime {
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
		return f.waiters.Back().Value.(*waiter)
	}
	return f.waiters.Front().Value.(*waiter)
}

// lowestPriority returns the call to shed first, or nil if the queue is empty. It takes
// the lowest class, then the flow with the largest backlog for its weight, then the call
// with the highest bucket.
func (q *queue) lowestPriority() *waiter {
	for class := range fleet.ClassCount {
		var largest *flow
		for _, f := range q.flows[class] {
			if f.waiters.Len() > 0 && (largest == nil || f.weightedBacklog() > largest.weightedBacklog()) {
				largest = f
			}
		}
		if largest != nil {
			return largest.highestBucket()
		}
	}
	return nil
}

func (f *flow) weightedBacklog() float64 { return float64(f.waiters.Len()) / f.weight }

// highestBucket returns the waiting call with the highest bucket, or nil.
func (f *flow) highestBucket() *waiter {
	var highest *waiter
	for e := f.waiters.Front(); e != nil; e = e.Next() {
		if w := e.Value.(*waiter); highest == nil || w.bucket > highest.bucket {
			highest = w
		}
	}
	return highest
}

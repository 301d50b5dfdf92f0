package admission

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

func pushWaiter(q *queue, organisation string, class fleet.Class, bucket int) *waiter {
	c := &call.Call{Organisation: fleet.OrganisationID(organisation), Weight: 1, Route: &ticket.Route{Class: class}}
	w := &waiter{call: c, bucket: bucket, route: new(routeStats), verdict: make(chan bool, 1)}
	q.push(w)
	return w
}

func TestQueueServesByClassThenFairShare(t *testing.T) {
	is := is.New(t)
	var q queue
	for i := range 6 {
		pushWaiter(&q, "large", fleet.ClassNormal, i)
	}
	pushWaiter(&q, "small", fleet.ClassNormal, 0)
	pushWaiter(&q, "small", fleet.ClassNormal, 1)
	pushWaiter(&q, "large", fleet.ClassCritical, 0)
	var order []string
	for q.length > 0 {
		w := q.pop(false, 100, 0)
		order = append(order, fmt.Sprintf("%s %s", w.call.Organisation, w.call.Route.Class))
	}
	is.Equal(order[0], "large critical") // class first
	small := 0
	for _, name := range order[1:5] {
		if name == "small normal" {
			small++
		}
	}
	is.Equal(small, 2) // both calls of the small organisation are among the first four
}

func TestQueueShedsLowestClassThenLargestThenHighestBucket(t *testing.T) {
	is := is.New(t)
	var q queue
	pushWaiter(&q, "small", fleet.ClassNormal, 900)
	pushWaiter(&q, "large", fleet.ClassNormal, 10)
	high := pushWaiter(&q, "large", fleet.ClassNormal, 700)
	low := pushWaiter(&q, "small", fleet.ClassLow, 0)
	critical := pushWaiter(&q, "large", fleet.ClassCritical, 1000)
	is.Equal(q.lowestPriority(), low) // lowest class
	q.remove(low)
	is.Equal(q.lowestPriority(), high) // most waiting, then highest bucket
	for q.length > 1 {
		q.remove(q.lowestPriority())
	}
	is.Equal(q.lowestPriority(), critical) // critical calls last
}

package retrybudget

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// rejectedFraction is the fraction of the calls that the deep service rejects.
	rejectedFraction = 0.45
	// callsPerRun is the number of calls that a run makes one after the other.
	callsPerRun = 4
	// callTime is the time between two calls of a run.
	callTime = 50 * time.Millisecond
	// shortage is how long the deep service rejects calls.
	shortage = 8 * time.Second
)

type (
	// run is a run at the calling service. attempted is the number of its calls that were
	// answered or are under way.
	run struct {
		priority  uint32
		node      int
		completed int
	}

	event struct {
		at time.Duration
		run
	}

	events []event

	// replay replays, in virtual time and without a network, the load of a deep service
	// that rejects part of its calls.
	replay struct {
		// nodes is the number of nodes of the calling service, which have a budget each.
		nodes int
		// runsPerSecond is the number of runs that start at each node.
		runsPerSecond float64
		// earned is the number of tokens for each call, capacity that of a node's budget.
		earned, capacity float64
		// priorities holds the priority of each run in turn.
		priorities []uint32
		// knownFraction is the fraction of the calls whose run is known.
		knownFraction float64
		// even spends the budget on whoever comes first.
		even bool
	}

	// result counts runs by priority, and calls.
	result struct {
		started, completed map[uint32]int
		calls, retries     int
	}
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *result) completedFraction(priority uint32) float64 {
	return float64(r.completed[priority]) / float64(r.started[priority])
}

// play plays the load. The budgets are full when the shortage begins.
func (p *replay) play(seed uint64) *result {
	random := rand.New(rand.NewPCG(seed, 1))
	res := &result{started: map[uint32]int{}, completed: map[uint32]int{}}
	allocators, tokens := make([]Allocator, p.nodes), make([]float64, p.nodes)
	queue := &events{}
	for i := range tokens {
		tokens[i] = p.capacity
		for at := time.Duration(0); at < shortage; at += time.Duration(random.ExpFloat64() / p.runsPerSecond * float64(time.Second)) {
			priority := p.priorities[random.IntN(len(p.priorities))]
			res.started[priority]++
			heap.Push(queue, event{at, run{priority: priority, node: i}})
		}
	}
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		a, t := &allocators[e.node], &tokens[e.node]
		res.calls++
		*t = min(*t+p.earned, p.capacity)
		a.Earn(p.earned)
		accepted := random.Float64() >= rejectedFraction
		if !accepted {
			call := Call{Known: random.Float64() < p.knownFraction, Remaining: callsPerRun - 1 - e.completed, Priority: e.priority}
			if allowed := p.even || a.Allows(call, *t, p.capacity); allowed && *t >= 1 {
				*t--
				res.retries++
				accepted = random.Float64() >= rejectedFraction
			}
		}
		if !accepted {
			continue
		}
		if e.completed++; e.completed == callsPerRun {
			res.completed[e.priority]++
			continue
		}
		e.at += callTime
		heap.Push(queue, e)
	}
	return res
}

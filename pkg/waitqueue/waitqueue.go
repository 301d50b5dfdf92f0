// Package waiting decides which calls run, wait or are turned away at one
// instance. It answers the load pattern in which more calls arrive than the
// instance can run: what waits is bounded by what each call can wait, and a
// call whose turn would come too late is turned away at once.
package waitqueue

import (
	"container/heap"
	"time"
)

const (
	// slotTimeDivisor is the runs that make up the mean time that a call holds a slot.
	slotTimeDivisor = 16
	// maxLead is how much earlier than a call that can wait longest another one
	// that arrives with it has its slot.
	maxLead = 200 * time.Millisecond
)

// Rank orders calls that wait for a slot: the next slot goes to the call that
// can wait least.
type Rank struct {
	// Due is when the call is to have its slot.
	Due time.Time
	// Priority is lower for more urgent calls; it decides between calls of one time.
	Priority uint32
}

// RankOf returns the rank of a call that arrives at a time and can wait for its
// patience. Of calls that can wait long, the older ones still go before newer
// ones that can wait less, else they would all lose their wait in the end.
func RankOf(arrived time.Time, maxWait time.Duration, priority uint32) Rank {
	return Rank{Due: arrived.Add(min(maxWait, maxLead)), Priority: priority}
}

// before tells whether r goes ahead of o.
func (r Rank) before(o Rank) bool {
	if !r.Due.Equal(o.Due) {
		return r.Due.Before(o.Due)
	}
	return r.Priority < o.Priority
}

// Waiter is a call that waits for a slot.
type Waiter struct {
	rank      Rank
	sequence  uint64
	heapIndex int
	// Notify is told once whether the call runs. Set it before the line is used again.
	Notify func(admitted bool)
}

type waiters []*Waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool {
	if w[i].rank != w[j].rank {
		return w[i].rank.before(w[j].rank)
	}
	return w[i].sequence < w[j].sequence
}

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	n := x.(*Waiter)
	n.heapIndex = len(*w)
	*w = append(*w, n)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	n := old[len(old)-1]
	*w = old[:len(old)-1]
	n.heapIndex = -1
	return n
}

// Queue gives the slots of an instance to calls, the most urgent first. Its zero
// value has no slots. It is not safe for use by several goroutines.
type Queue struct {
	limit      int
	inFlight   int
	closed     bool
	lastNumber uint64
	waiters    waiters
	// meanSlotTime is the mean time that a call holds a slot.
	meanSlotTime time.Duration
}

// Load is the state of the slots.
type Load struct {
	InFlight, Limit, Queued int
	MeanSlotTime            time.Duration
	Closed                  bool
}

// Verdict tells how a wait for a slot ended.
type Verdict int

// Verdicts.
const (
	// VerdictAdmitted gives a slot, which Release hands back.
	VerdictAdmitted Verdict = iota
	// VerdictFull means that no slot comes free in time.
	VerdictFull
	// VerdictClosed means that the instance takes no new calls.
	VerdictClosed
	// VerdictCancelled means that the caller no longer waits.
	VerdictCancelled
	// VerdictQueued means that the call waits.
	VerdictQueued
)

// SetLimit sets how many calls run at once.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
	q.dispatch()
}

// Close turns away all calls that wait and all later ones; Open ends that.
func (q *Queue) Close() {
	q.closed = true
	for len(q.waiters) > 0 {
		heap.Pop(&q.waiters).(*Waiter).Notify(false)
	}
}

// Open admits calls again.
func (q *Queue) Open() { q.closed = false }

// Load returns the present state.
func (q *Queue) Load() Load {
	return Load{InFlight: q.inFlight, Limit: q.limit, Queued: len(q.waiters), MeanSlotTime: q.meanSlotTime, Closed: q.closed}
}

// Acquire asks for a slot for a call that can wait for its patience. With
// VerdictWait the call waits until its Admit is called or Leave takes it out.
func (q *Queue) Acquire(rank Rank, maxWait time.Duration) (*Waiter, Verdict) {
	if q.closed {
		return nil, VerdictClosed
	}
	if q.inFlight < q.limit && len(q.waiters) == 0 {
		q.inFlight++
		return nil, VerdictAdmitted
	}
	if q.expectedWait(rank) > maxWait {
		return nil, VerdictFull
	}
	q.lastNumber++
	w := &Waiter{rank: rank, sequence: q.lastNumber}
	heap.Push(&q.waiters, w)
	return w, VerdictQueued
}

// Remove takes a call out that waits. It reports false where the call was
// admitted or turned away before.
func (q *Queue) Remove(w *Waiter) bool {
	if w.heapIndex < 0 {
		return false
	}
	heap.Remove(&q.waiters, w.heapIndex)
	return true
}

// expectedWait estimates how long a call of a rank would wait.
func (q *Queue) expectedWait(rank Rank) time.Duration {
	ahead := 0
	for _, w := range q.waiters {
		if !rank.before(w.rank) {
			ahead++
		}
	}
	return time.Duration(ahead) * q.meanSlotTime / time.Duration(max(q.limit, 1))
}

// Release hands a slot back that was held for a time; zero where the time tells nothing.
func (q *Queue) Release(held time.Duration) {
	q.inFlight--
	if held > 0 {
		q.meanSlotTime += (held - q.meanSlotTime) / slotTimeDivisor
	}
	q.dispatch()
}

func (q *Queue) dispatch() {
	for q.inFlight < q.limit && len(q.waiters) > 0 {
		q.inFlight++
		heap.Pop(&q.waiters).(*Waiter).Notify(true)
	}
}

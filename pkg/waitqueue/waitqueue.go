// Package waitqueue decides which calls run, wait or are rejected at one
// instance. It answers the load pattern in which more calls arrive than the
// instance can run: every call has a max wait that bounds its time in the
// queue, and a call whose expected wait exceeds it is rejected at once.
package waitqueue

import (
	"container/heap"
	"time"
)

const (
	// slotTimeDivisor is the number of calls over which the mean slot time is
	// smoothed.
	slotTimeDivisor = 16
	// maxLead is how much later than another call a call with a short max wait
	// may arrive and still get its slot first.
	maxLead = 200 * time.Millisecond
)

// Rank orders the calls that wait for a slot. The next slot goes to the call
// with the earliest due time.
type Rank struct {
	// Due is the time by which the call should get its slot.
	Due time.Time
	// Priority is lower for more urgent calls. It decides between calls with
	// the same due time.
	Priority uint32
}

// RankOf returns the rank of a call that arrived at the given time and can wait
// for maxWait. The max wait counts up to maxLead only: otherwise newer calls
// with a short max wait would overtake older calls with a long one until these
// time out.
func RankOf(arrived time.Time, maxWait time.Duration, priority uint32) Rank {
	return Rank{Due: arrived.Add(min(maxWait, maxLead)), Priority: priority}
}

// before reports whether r gets its slot before o.
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
	// Notify is called once, with true if the call got a slot and false if it
	// was rejected. Set it before the next use of the queue.
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

// Queue assigns the slots of an instance to calls in the order of their ranks.
// The zero value has no slots. It is not safe for concurrent use.
type Queue struct {
	limit      int
	inFlight   int
	closed     bool
	lastNumber uint64
	waiters    waiters
	// meanSlotTime is the smoothed mean time that a call holds its slot.
	meanSlotTime time.Duration
}

// Load is the state of the slots and of the queue.
type Load struct {
	InFlight, Limit, Queued int
	MeanSlotTime            time.Duration
	Closed                  bool
}

// Verdict is the answer to a call that asks for a slot.
type Verdict int

const (
	// VerdictAdmitted means that the call has a slot, to be returned by
	// Release.
	VerdictAdmitted Verdict = iota
	// VerdictFull means that no slot becomes free within the max wait.
	VerdictFull
	// VerdictClosed means that the instance accepts no new calls.
	VerdictClosed
	// VerdictCancelled means that the caller stopped waiting.
	VerdictCancelled
	// VerdictQueued means that the call waits for a slot.
	VerdictQueued
)

// SetLimit sets the number of calls that can run at once.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
	q.dispatch()
}

// Close rejects all waiting calls and all later ones until Open is called.
func (q *Queue) Close() {
	q.closed = true
	for len(q.waiters) > 0 {
		heap.Pop(&q.waiters).(*Waiter).Notify(false)
	}
}

// Open accepts calls again.
func (q *Queue) Open() { q.closed = false }

// Load returns the present state of the slots and of the queue.
func (q *Queue) Load() Load {
	return Load{InFlight: q.inFlight, Limit: q.limit, Queued: len(q.waiters), MeanSlotTime: q.meanSlotTime, Closed: q.closed}
}

// Acquire requests a slot for a call that can wait for maxWait. With
// VerdictQueued, the call waits until the returned waiter's Notify is called or
// Remove takes it out of the queue.
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

// Remove takes a waiting call out of the queue. It returns false if the call
// was admitted or rejected before.
func (q *Queue) Remove(w *Waiter) bool {
	if w.heapIndex < 0 {
		return false
	}
	heap.Remove(&q.waiters, w.heapIndex)
	return true
}

// expectedWait estimates how long a call with the given rank would wait.
func (q *Queue) expectedWait(rank Rank) time.Duration {
	ahead := 0
	for _, w := range q.waiters {
		if !rank.before(w.rank) {
			ahead++
		}
	}
	return time.Duration(ahead) * q.meanSlotTime / time.Duration(max(q.limit, 1))
}

// Release returns a slot that was held for the given time. A time of zero
// leaves the mean slot time unchanged.
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

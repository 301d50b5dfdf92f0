package gate

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// Rank orders calls that wait for a slot.
type Rank struct {
	// Inner calls belong to requests that were admitted earlier and go first:
	// refusing them wastes what has run.
	Inner bool
	// Priority is lower for more urgent calls.
	Priority uint32
}

// before tells whether r goes ahead of o.
func (r Rank) before(o Rank) bool {
	if r.Inner != o.Inner {
		return r.Inner
	}
	return r.Priority < o.Priority
}

// waiter is a call that waits for a slot.
type waiter struct {
	rank   Rank
	number uint64
	index  int
	admit  chan bool
}

type waiters []*waiter

// Len implements heap.Interface.
func (w waiters) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiters) Less(i, j int) bool {
	if w[i].rank != w[j].rank {
		return w[i].rank.before(w[j].rank)
	}
	return w[i].number < w[j].number
}

// Swap implements heap.Interface.
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	n := x.(*waiter)
	n.index = len(*w)
	*w = append(*w, n)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	old := *w
	n := old[len(old)-1]
	*w = old[:len(old)-1]
	n.index = -1
	return n
}

// Slots gives the slots of an instance to calls, the most urgent first. It
// answers the load pattern in which more calls arrive than the instance can
// run: what waits is bounded by what each call can wait, and a call whose turn
// would come too late is turned away at once. Set Clock before use.
type Slots struct {
	Clock clock.Clock

	mu       sync.Mutex
	limit    int
	inFlight int
	closed   bool
	number   uint64
	queue    waiters
	// run is the mean time that a call holds a slot.
	run time.Duration
}

// Load is the state of the slots.
type Load struct {
	InFlight, Limit, Queued int
	Run                     time.Duration
	Closed                  bool
}

// SetLimit sets how many calls run at once.
func (s *Slots) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.dispatch()
}

// Close turns away all calls that wait and all later ones; Open ends that.
func (s *Slots) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for len(s.queue) > 0 {
		heap.Pop(&s.queue).(*waiter).admit <- false
	}
}

// Open admits calls again.
func (s *Slots) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = false
}

// Load returns the present state.
func (s *Slots) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{InFlight: s.inFlight, Limit: s.limit, Queued: len(s.queue), Run: s.run, Closed: s.closed}
}

// Verdict tells how a wait for a slot ended.
type Verdict int

// Verdicts.
const (
	// VerdictRun gives a slot, which Release hands back.
	VerdictRun Verdict = iota
	// VerdictFull means that no slot comes free in time.
	VerdictFull
	// VerdictClosed means that the instance takes no new calls.
	VerdictClosed
	// VerdictGone means that the caller no longer waits.
	VerdictGone
)

// Take waits for a slot for at most the patience of the call.
func (s *Slots) Take(ctx context.Context, rank Rank, patience time.Duration) Verdict {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return VerdictClosed
	}
	if s.inFlight < s.limit && len(s.queue) == 0 {
		s.inFlight++
		s.mu.Unlock()
		return VerdictRun
	}
	if s.expected(rank) > patience {
		s.mu.Unlock()
		return VerdictFull
	}
	s.number++
	w := &waiter{rank: rank, number: s.number, admit: make(chan bool, 1)}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	return s.wait(ctx, w, patience)
}

func (s *Slots) wait(ctx context.Context, w *waiter, patience time.Duration) Verdict {
	verdict := VerdictFull
	timer := make(chan struct{})
	stop := s.Clock.AfterFunc(patience, func() { close(timer) })
	defer stop()
	select {
	case admitted := <-w.admit:
		return admittedVerdict(admitted)
	case <-timer:
	case <-ctx.Done():
		verdict = VerdictGone
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return verdict
	}
	if admitted := <-w.admit; !admitted {
		return VerdictClosed
	}
	if verdict == VerdictGone {
		s.inFlight--
		s.dispatch()
		return verdict
	}
	return VerdictRun
}

func admittedVerdict(admitted bool) Verdict {
	if admitted {
		return VerdictRun
	}
	return VerdictClosed
}

// expected estimates how long a call of a rank would wait.
func (s *Slots) expected(rank Rank) time.Duration {
	ahead := 0
	for _, w := range s.queue {
		if !rank.before(w.rank) {
			ahead++
		}
	}
	return time.Duration(ahead) * s.run / time.Duration(max(s.limit, 1))
}

// Release hands a slot back that was held for a time; zero where the time tells nothing.
func (s *Slots) Release(held time.Duration) {
	const weight = 16
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if held > 0 {
		s.run += (held - s.run) / weight
	}
	s.dispatch()
}

func (s *Slots) dispatch() {
	for s.inFlight < s.limit && len(s.queue) > 0 {
		s.inFlight++
		heap.Pop(&s.queue).(*waiter).admit <- true
	}
}

package gate

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

// Slots is a wait queue for the slots of an instance that is safe for concurrent
// use. Set Clock before use.
type Slots struct {
	Clock clock.Clock

	mu    sync.Mutex
	queue waitqueue.Queue
}

// SetLimit sets the number of calls that can run at once.
func (s *Slots) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetLimit(limit)
}

// Close rejects all waiting calls and all later ones until Open is called.
func (s *Slots) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Close()
}

// Open accepts calls again.
func (s *Slots) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Open()
}

// Load returns the present state of the slots and of the queue.
func (s *Slots) Load() waitqueue.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load()
}

// Release returns a slot that was held for the given time. A time of zero leaves
// the mean slot time unchanged.
func (s *Slots) Release(held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Release(held)
}

// Acquire waits up to maxWait for a slot. If it returns VerdictAdmitted, the
// caller must call Release.
func (s *Slots) Acquire(ctx context.Context, rank waitqueue.Rank, maxWait time.Duration) waitqueue.Verdict {
	s.mu.Lock()
	waiter, verdict := s.queue.Acquire(rank, maxWait)
	if verdict != waitqueue.VerdictQueued {
		s.mu.Unlock()
		return verdict
	}
	notified := make(chan bool, 1)
	waiter.Notify = func(admitted bool) { notified <- admitted }
	s.mu.Unlock()
	return s.wait(ctx, waiter, notified, maxWait)
}

func (s *Slots) wait(ctx context.Context, waiter *waitqueue.Waiter, notified chan bool, maxWait time.Duration) waitqueue.Verdict {
	verdict := waitqueue.VerdictFull
	timedOut := make(chan struct{})
	stopTimer := s.Clock.AfterFunc(maxWait, func() { close(timedOut) })
	defer stopTimer()
	select {
	case admitted := <-notified:
		return notifiedVerdict(admitted)
	case <-timedOut:
	case <-ctx.Done():
		verdict = waitqueue.VerdictCancelled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.queue.Remove(waiter) {
		return verdict
	}
	if admitted := <-notified; !admitted {
		return waitqueue.VerdictClosed
	}
	if verdict == waitqueue.VerdictCancelled {
		s.queue.Release(0)
		return verdict
	}
	return waitqueue.VerdictAdmitted
}

func notifiedVerdict(admitted bool) waitqueue.Verdict {
	if admitted {
		return waitqueue.VerdictAdmitted
	}
	return waitqueue.VerdictClosed
}

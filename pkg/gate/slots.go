package gate

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

// Slots lets calls wait for the slots of an instance. Set Clock before use.
type Slots struct {
	Clock clock.Clock

	mu    sync.Mutex
	queue waitqueue.Queue
}

// SetLimit sets how many calls run at once.
func (s *Slots) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetLimit(limit)
}

// Close turns away all calls that wait and all later ones; Open ends that.
func (s *Slots) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Close()
}

// Open admits calls again.
func (s *Slots) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Open()
}

// Load returns the present state.
func (s *Slots) Load() waitqueue.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Load()
}

// Release hands a slot back that was held for a time; zero where the time tells nothing.
func (s *Slots) Release(held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Release(held)
}

// Acquire waits for a slot for at most the patience of the call.
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

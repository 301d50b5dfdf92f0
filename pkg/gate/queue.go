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

	mu   sync.Mutex
	line waitqueue.Queue
}

// SetLimit sets how many calls run at once.
func (s *Slots) SetLimit(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.SetLimit(limit)
}

// Close turns away all calls that wait and all later ones; Open ends that.
func (s *Slots) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.Close()
}

// Open admits calls again.
func (s *Slots) Open() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.Open()
}

// Load returns the present state.
func (s *Slots) Load() waitqueue.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.line.Load()
}

// Release hands a slot back that was held for a time; zero where the time tells nothing.
func (s *Slots) Release(held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.line.Release(held)
}

// Take waits for a slot for at most the patience of the call.
func (s *Slots) Take(ctx context.Context, rank waitqueue.Rank, patience time.Duration) waitqueue.Verdict {
	s.mu.Lock()
	w, verdict := s.line.Acquire(rank, patience)
	if verdict != waitqueue.VerdictQueued {
		s.mu.Unlock()
		return verdict
	}
	admit := make(chan bool, 1)
	w.Notify = func(admitted bool) { admit <- admitted }
	s.mu.Unlock()
	return s.wait(ctx, w, admit, patience)
}

func (s *Slots) wait(ctx context.Context, w *waitqueue.Waiter, admit chan bool, patience time.Duration) waitqueue.Verdict {
	verdict := waitqueue.VerdictFull
	timer := make(chan struct{})
	stop := s.Clock.AfterFunc(patience, func() { close(timer) })
	defer stop()
	select {
	case admitted := <-admit:
		return admittedVerdict(admitted)
	case <-timer:
	case <-ctx.Done():
		verdict = waitqueue.VerdictCancelled
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.line.Remove(w) {
		return verdict
	}
	if admitted := <-admit; !admitted {
		return waitqueue.VerdictClosed
	}
	if verdict == waitqueue.VerdictCancelled {
		s.line.Release(0)
		return verdict
	}
	return waitqueue.VerdictAdmitted
}

func admittedVerdict(admitted bool) waitqueue.Verdict {
	if admitted {
		return waitqueue.VerdictAdmitted
	}
	return waitqueue.VerdictClosed
}

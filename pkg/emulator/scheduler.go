package emulator

import (
	"container/heap"
	"time"
)

type (
	// event is a callback scheduled for a virtual time. A nil callback means that it
	// was cancelled.
	event struct {
		at       time.Duration
		sequence uint64
		callback func()
	}

	eventHeap []*event

	// scheduler runs events in the order of their times, and events of the same time
	// in the order in which they were scheduled. The zero value is ready to use. It
	// is not safe for concurrent use.
	scheduler struct {
		now          time.Duration
		lastSequence uint64
		queue        eventHeap
	}
)

// epoch is the wall clock time at virtual time 0.
var epoch = time.Unix(1_000_000_000, 0)

// Len implements heap.Interface.
func (e eventHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(*event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}

// after schedules callback to run once, after d. The returned function cancels
// it.
func (s *scheduler) after(d time.Duration, callback func()) (stop func()) {
	s.lastSequence++
	e := &event{at: s.now + max(d, 0), sequence: s.lastSequence, callback: callback}
	heap.Push(&s.queue, e)
	return func() { e.callback = nil }
}

// every schedules callback to run after first, and then once every period.
func (s *scheduler) every(first, period time.Duration, callback func()) {
	s.after(first, func() {
		callback()
		s.every(period, period, callback)
	})
}

// runUntil runs all events up to and including a time.
func (s *scheduler) runUntil(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		if e.callback != nil {
			e.callback()
		}
	}
	s.now = until
}

// Now implements clock.Clock.
func (s *scheduler) Now() time.Time { return epoch.Add(s.now) }

// After implements clock.Clock.
func (s *scheduler) After(d time.Duration) <-chan time.Time {
	fired := make(chan time.Time, 1)
	s.after(d, func() { fired <- s.Now() })
	return fired
}

// AfterFunc implements clock.Clock; f runs as an event of the scheduler.
func (s *scheduler) AfterFunc(d time.Duration, f func()) func() bool {
	fired := false
	stop := s.after(d, func() { fired = true; f() })
	return func() bool {
		stop()
		return !fired
	}
}

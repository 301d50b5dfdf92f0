package clock

import (
	"sync"
	"time"
)

// Fake is a clock for tests that only Advance moves. The zero value is ready to use and
// starts at fakeStart. It is safe for concurrent use.
type Fake struct {
	// mu guards elapsed and timers.
	mu sync.Mutex
	// elapsed is the time since fakeStart. It never decreases.
	elapsed time.Duration
	// timers holds the timers that have not fired.
	timers []timer
}

// fakeStart is a time that can be expressed as Unix nanoseconds, unlike the zero
// time.Time.
var fakeStart = time.Unix(1_000_000_000, 0)

type timer struct {
	at    time.Time
	fired chan time.Time
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now()
}

func (f *Fake) now() time.Time { return fakeStart.Add(f.elapsed) }

// After implements Clock.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := timer{at: f.now().Add(d), fired: make(chan time.Time, 1)}
	if d <= 0 {
		t.fired <- f.now()
		return t.fired
	}
	f.timers = append(f.timers, t)
	return t.fired
}

// Advance moves the clock forward by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.elapsed += d
	var pending []timer
	for _, t := range f.timers {
		if t.at.After(f.now()) {
			pending = append(pending, t)
			continue
		}
		t.fired <- f.now()
	}
	f.timers = pending
}

// AfterFunc implements Clock.
func (f *Fake) AfterFunc(d time.Duration, run func()) func() bool {
	fired := f.After(d)
	var once sync.Once
	go func() {
		<-fired
		once.Do(run)
	}()
	return func() bool {
		stopped := false
		once.Do(func() { stopped = true })
		return stopped
	}
}

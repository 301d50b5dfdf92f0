package clock

import (
	"sync"
	"time"
)

// Fake is a clock that stands still until Advance moves it. Its zero value
// starts at fakeStart.
type Fake struct {
	mu sync.Mutex
	// passed only grows.
	passed  time.Duration
	waiters []waiter
}

// fakeStart is a time that has a value in nanoseconds since 1970.
var fakeStart = time.Unix(1_000_000_000, 0)

type waiter struct {
	at   time.Time
	wake chan time.Time
}

// Now implements Clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now()
}

func (f *Fake) now() time.Time { return fakeStart.Add(f.passed) }

// After implements Clock.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := waiter{at: f.now().Add(d), wake: make(chan time.Time, 1)}
	if d <= 0 {
		w.wake <- f.now()
		return w.wake
	}
	f.waiters = append(f.waiters, w)
	return w.wake
}

// Advance moves the clock by d and wakes the waiters whose time has come.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.passed += d
	var left []waiter
	for _, w := range f.waiters {
		if w.at.After(f.now()) {
			left = append(left, w)
			continue
		}
		w.wake <- f.now()
	}
	f.waiters = left
}

// AfterFunc implements Clock.
func (f *Fake) AfterFunc(d time.Duration, run func()) func() bool {
	woken := f.After(d)
	var once sync.Once
	go func() {
		<-woken
		once.Do(run)
	}()
	return func() bool {
		stopped := false
		once.Do(func() { stopped = true })
		return stopped
	}
}

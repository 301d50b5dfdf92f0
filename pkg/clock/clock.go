// Package clock is the source of time. Code that waits or measures time uses a Clock,
// so that tests can control the time.
package clock

import (
	"context"
	"time"
)

// Clock provides the current time and timers. Implementations are safe for concurrent
// use.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc runs f in its own goroutine once d has passed. The returned function
	// cancels that, and reports whether it prevented f from running.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// System is the system clock. The zero value is ready to use.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// Sleep waits for d. If ctx ends first, it returns the error of ctx.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}

// Every calls work each time the period has passed, until ctx ends. It calls period
// before each wait, so that callers can add jitter.
func Every(ctx context.Context, c Clock, period func() time.Duration, work func(context.Context)) {
	for Sleep(ctx, c, period()) == nil {
		work(ctx)
	}
}

// FixedPeriod returns a constant period for Every.
func FixedPeriod(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

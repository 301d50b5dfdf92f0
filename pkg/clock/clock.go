// Package clock is the source of time. Everything that waits or measures takes
// a Clock, so that tests decide how time passes.
package clock

import (
	"context"
	"time"
)

// Clock tells the time and waits.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
	// AfterFunc runs f in its own goroutine once d has passed. The returned
	// function stops that and reports whether it was in time.
	AfterFunc(d time.Duration, f func()) (stop func() bool)
}

// System is the clock of the machine. Its zero value works.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// AfterFunc implements Clock.
func (System) AfterFunc(d time.Duration, f func()) func() bool {
	return time.AfterFunc(d, f).Stop
}

// Sleep waits for d or until ctx ends, and returns the error of ctx.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.After(d):
		return nil
	}
}

// Every calls work each time the period has passed, until ctx ends. The period
// is asked anew after each run, so that callers can add jitter.
func Every(ctx context.Context, c Clock, period func() time.Duration, work func(context.Context)) {
	for Sleep(ctx, c, period()) == nil {
		work(ctx)
	}
}

// FixedPeriod returns a period for Every that does not vary.
func FixedPeriod(d time.Duration) func() time.Duration {
	return func() time.Duration { return d }
}

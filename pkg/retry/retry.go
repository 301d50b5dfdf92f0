// Package retry bounds retries. An allowance limits the retries of one request and
// is divided along its chain of calls. A budget limits the retries of a node to a
// fraction of its successful calls.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// MaxRequestRetries is the number of retries of one request, over its whole chain
	// of calls.
	MaxRequestRetries = 3
	// baseDelay is the upper bound of the jittered delay before the first retry. It
	// doubles with each further retry, up to maxDelay.
	baseDelay = 5 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
	// milliPerRetry is one retry in the unit of Budget, a thousandth of a retry.
	milliPerRetry = 1000
	// successMilli is added to a budget by each successful call: a tenth of a retry.
	successMilli = 100
	// maxBalanceMilli bounds the retries that a budget accumulates.
	maxBalanceMilli = 50 * milliPerRetry
	// initialBalanceMilli lets a new node retry before its first success.
	initialBalanceMilli = 3 * milliPerRetry
)

// Allowance holds the retries that remain for one call and its child calls. The zero
// value allows none. It is safe for concurrent use.
type Allowance struct {
	// remaining is never negative. The sum over a chain of calls never exceeds
	// MaxRequestRetries.
	remaining atomic.Int32
}

// NewAllowance returns an allowance of n retries, or of none if n is negative.
func NewAllowance(n int) *Allowance {
	a := new(Allowance)
	a.remaining.Store(int32(max(n, 0)))
	return a
}

// Remaining returns the number of unused retries.
func (a *Allowance) Remaining() int { return int(a.remaining.Load()) }

// Take uses one retry, and reports whether one remained.
func (a *Allowance) Take() bool {
	for {
		remaining := a.remaining.Load()
		if remaining <= 0 {
			return false
		}
		if a.remaining.CompareAndSwap(remaining, remaining-1) {
			return true
		}
	}
}

// Grant removes half of the remaining retries, rounded up, for a child call and
// returns their number. The caller returns the unused ones with Return.
func (a *Allowance) Grant() int {
	for {
		remaining := a.remaining.Load()
		if remaining <= 0 {
			return 0
		}
		granted := (remaining + 1) / 2
		if a.remaining.CompareAndSwap(remaining, remaining-granted) {
			return int(granted)
		}
	}
}

// Return adds n unused retries that were obtained from Grant.
func (a *Allowance) Return(n int) {
	if n > 0 {
		a.remaining.Add(int32(n))
	}
}

// Budget allows retries in proportion to the number of successful calls. The zero
// value is ready to use. It is safe for concurrent use.
type Budget struct {
	// initialised is set before the initial balance is added.
	initialised atomic.Bool
	// balanceMilli is the accumulated number of retries, in thousandths.
	balanceMilli atomic.Int64
}

func (b *Budget) initialise() {
	if !b.initialised.Load() && b.initialised.CompareAndSwap(false, true) {
		b.balanceMilli.Add(initialBalanceMilli)
	}
}

// RecordSuccess adds a tenth of a retry to the budget.
func (b *Budget) RecordSuccess() {
	b.initialise()
	if b.balanceMilli.Load() < maxBalanceMilli {
		b.balanceMilli.Add(successMilli)
	}
}

// Take uses one retry, and reports whether the budget had one.
func (b *Budget) Take() bool {
	b.initialise()
	if b.balanceMilli.Add(-milliPerRetry) >= 0 {
		return true
	}
	b.balanceMilli.Add(milliPerRetry)
	return false
}

// Backoff returns the delay before retry n, counted from 0: exponential backoff with
// full jitter.
func Backoff(n int) time.Duration {
	limit := min(baseDelay<<min(n, 10), maxDelay)
	return rand.N(limit)
}

// Package retry bounds retries: an account divides the root's allowance along
// the chain of calls, and a budget ties the retries of a node to its successes.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// MaxRequestRetries is the number of retries of one request along its chain.
	MaxRequestRetries = 3
	// baseDelay and maxDelay bound the jittered pause before a retry.
	baseDelay = 5 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
	// milliPerRetry is one retry in the unit of Budget.
	milliPerRetry = 1000
	// successMilli is what one success earns: a tenth of a retry.
	successMilli = 100
	// maxBalanceMilli bounds saved retries.
	maxBalanceMilli = 50 * milliPerRetry
	// initialBalanceMilli lets a new node retry before its first success.
	initialBalanceMilli = 3 * milliPerRetry
)

// Allowance holds the retries left to one call and everything below it. The zero
// value allows none.
type Allowance struct {
	// remaining never goes below 0; the sum over a chain never exceeds the root's.
	remaining atomic.Int32
}

// NewAllowance returns an account of n retries.
func NewAllowance(n int) *Allowance {
	a := new(Allowance)
	a.remaining.Store(int32(max(n, 0)))
	return a
}

// Remaining returns the retries that are left.
func (a *Allowance) Remaining() int { return int(a.remaining.Load()) }

// Take uses one retry and tells whether there was one.
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

// Grant takes half of what is left, rounded up, for a call further down. The
// caller returns what that call did not use with GiveBack.
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

// Return returns n unused retries.
func (a *Allowance) Return(n int) {
	if n > 0 {
		a.remaining.Add(int32(n))
	}
}

// Budget allows retries as a share of recent successes. The zero value works.
type Budget struct {
	initialised  atomic.Bool
	balanceMilli atomic.Int64
}

func (b *Budget) initialise() {
	if !b.initialised.Load() && b.initialised.CompareAndSwap(false, true) {
		b.balanceMilli.Add(initialBalanceMilli)
	}
}

// RecordSuccess earns a share of a retry.
func (b *Budget) RecordSuccess() {
	b.initialise()
	if b.balanceMilli.Load() < maxBalanceMilli {
		b.balanceMilli.Add(successMilli)
	}
}

// Take uses one retry and tells whether the budget had one.
func (b *Budget) Take() bool {
	b.initialise()
	if b.balanceMilli.Add(-milliPerRetry) >= 0 {
		return true
	}
	b.balanceMilli.Add(milliPerRetry)
	return false
}

// Backoff returns the wait before retry n, counted from 0, with full jitter.
func Backoff(n int) time.Duration {
	limit := min(baseDelay<<min(n, 10), maxDelay)
	return rand.N(limit)
}

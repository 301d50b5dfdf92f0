// Package retry bounds retries: an account divides the root's allowance along
// the chain of calls, and a budget ties the retries of a node to its successes.
package retry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

const (
	// RootAllowance is the number of retries of one request along its chain.
	RootAllowance = 3
	// baseDelay and maxDelay bound the jittered pause before a retry.
	baseDelay = 5 * time.Millisecond
	maxDelay  = 200 * time.Millisecond
	// milli is one retry in the unit of Budget.
	milli = 1000
	// shareMilli is what one success earns: a tenth of a retry.
	shareMilli = 100
	// capMilli bounds saved retries.
	capMilli = 50 * milli
	// startMilli lets a new node retry before its first success.
	startMilli = 3 * milli
)

// Account holds the retries left to one call and everything below it. The zero
// value allows none.
type Account struct {
	// left never goes below 0; the sum over a chain never exceeds the root's.
	left atomic.Int32
}

// NewAccount returns an account of n retries.
func NewAccount(n int) *Account {
	a := new(Account)
	a.left.Store(int32(max(n, 0)))
	return a
}

// Left returns the retries that are left.
func (a *Account) Left() int { return int(a.left.Load()) }

// Take uses one retry and tells whether there was one.
func (a *Account) Take() bool {
	for {
		left := a.left.Load()
		if left <= 0 {
			return false
		}
		if a.left.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// Lend takes half of what is left, rounded up, for a call further down. The
// caller returns what that call did not use with GiveBack.
func (a *Account) Lend() int {
	for {
		left := a.left.Load()
		if left <= 0 {
			return 0
		}
		part := (left + 1) / 2
		if a.left.CompareAndSwap(left, left-part) {
			return int(part)
		}
	}
}

// GiveBack returns n unused retries.
func (a *Account) GiveBack(n int) {
	if n > 0 {
		a.left.Add(int32(n))
	}
}

// Budget allows retries as a share of recent successes. The zero value works.
type Budget struct {
	started atomic.Bool
	saved   atomic.Int64
}

func (b *Budget) start() {
	if !b.started.Load() && b.started.CompareAndSwap(false, true) {
		b.saved.Add(startMilli)
	}
}

// Succeeded earns a share of a retry.
func (b *Budget) Succeeded() {
	b.start()
	if b.saved.Load() < capMilli {
		b.saved.Add(shareMilli)
	}
}

// Take uses one retry and tells whether the budget had one.
func (b *Budget) Take() bool {
	b.start()
	if b.saved.Add(-milli) >= 0 {
		return true
	}
	b.saved.Add(milli)
	return false
}

// Pause returns the wait before retry n, counted from 0, with full jitter.
func Pause(n int) time.Duration {
	limit := min(baseDelay<<min(n, 10), maxDelay)
	return rand.N(limit)
}

// Package memory bounds the bytes that a process holds for requests and responses.
package memory

import (
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// waitInterval is the time between two tries of AwaitGrow.
const waitInterval = 5 * time.Millisecond

// Budget bounds the bytes that are reserved at the same time. It answers a burst of large
// requests: those beyond the limit are turned away before they take memory. The zero value
// has no limit. It is safe for concurrent use.
type Budget struct {
	// Limit is the bound in bytes; 0 means none. It is not changed after the first use.
	Limit int64
	// AdmitsFirst reports whether a reservation that exceeds the limit is granted while
	// there is no other, so that a single large message always passes. It is not changed
	// after the first use.
	AdmitsFirst bool

	used    atomic.Int64
	refused atomic.Int64
}

// Reserve reserves n bytes. It returns false, and reserves nothing, if that would exceed
// the limit.
func (b *Budget) Reserve(n int64) bool { return b.Grow(0, n) }

// Grow reserves n bytes more for the holder of own bytes. It returns false, and reserves
// nothing, if that would exceed the limit.
func (b *Budget) Grow(own, n int64) bool {
	if b.grow(own, n) {
		return true
	}
	b.refused.Add(1)
	return false
}

// AwaitGrow is Grow, but waits for room for up to maxWait.
func (b *Budget) AwaitGrow(c clock.Clock, own, n int64, maxWait time.Duration) bool {
	for waited := time.Duration(0); waited < maxWait; waited += waitInterval {
		if b.grow(own, n) {
			return true
		}
		<-c.After(waitInterval)
	}
	return b.Grow(own, n)
}

// TryReserve is Reserve, but does not count as refused if there is no room, for a caller that makes
// room and tries again.
func (b *Budget) TryReserve(n int64) bool { return b.grow(0, n) }

func (b *Budget) grow(own, n int64) bool {
	for {
		used := b.used.Load()
		if b.Limit > 0 && used+n > b.Limit && (used > own || !b.AdmitsFirst) {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Release ends a reservation of n bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Refused returns the number of reservations that were refused.
func (b *Budget) Refused() int64 { return b.refused.Load() }

// Package memory bounds the bytes that a process holds for requests and responses.
package memory

import "sync/atomic"

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
func (b *Budget) Reserve(n int64) bool {
	for {
		used := b.used.Load()
		if b.Limit > 0 && used+n > b.Limit && (used > 0 || !b.AdmitsFirst) {
			b.refused.Add(1)
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

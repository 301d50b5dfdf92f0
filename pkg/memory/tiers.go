package memory

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

const (
	// TinyBytes is the size up to which a message needs no reservation, as it takes no more
	// than the buffers of its connection.
	TinyBytes = 4 << 10
	// SmallBytes is the size up to which a message is small. Small and large ones reserve from
	// budgets of their own, so that ordinary callers are answered while the memory for large
	// ones is used up.
	SmallBytes = 32 << 10
)

// Counted returns the number of bytes to reserve for a message of n bytes: none for a tiny one.
func Counted(n int) int64 {
	if n <= TinyBytes {
		return 0
	}
	return int64(n)
}

// Tiers are the budgets for messages of two sizes. A budget that is nil has no bound.
type Tiers struct {
	// Small is for messages of more than TinyBytes and up to SmallBytes, Large for larger ones.
	Small, Large *Budget
}

// budget returns the budget of a reservation, or nil.
func (t Tiers) budget(reserved int64) *Budget {
	switch {
	case reserved == 0:
		return nil
	case reserved <= SmallBytes:
		return t.Small
	}
	return t.Large
}

// TryReserve reserves a number of bytes, a result of Counted. It returns false if there is no
// room.
func (t Tiers) TryReserve(n int64) bool {
	b := t.budget(n)
	return b == nil || b.TryReserve(n)
}

// AwaitResize changes a reservation from one number of bytes, a result of Counted, to another
// larger one, and waits for room for up to maxWait. It returns false, and changes nothing, if
// there is none.
func (t Tiers) AwaitResize(c clock.Clock, from, to int64, maxWait time.Duration) bool {
	before, after := t.budget(from), t.budget(to)
	if before == after {
		return after == nil || after.AwaitGrow(c, from, to-from, maxWait)
	}
	if after != nil && !after.AwaitGrow(c, 0, to, maxWait) {
		return false
	}
	t.Release(from)
	return true
}

// Release ends a reservation.
func (t Tiers) Release(reserved int64) {
	if b := t.budget(reserved); b != nil {
		b.Release(reserved)
	}
}

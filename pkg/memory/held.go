package memory

import (
	"container/list"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

const (
	// MinSmallStall is the HeldBudget.MinStall for small responses: several round trips.
	MinSmallStall = 50 * time.Millisecond
	// defaultMinStall is the value of HeldBudget.MinStall where none is set.
	defaultMinStall = 250 * time.Millisecond
)

// HeldBudget is a budget for data that receivers take at their own pace. If it is used up, the
// reservations of the receivers that have taken nothing for longest are ended. It answers
// many callers that ask for large responses and do not read them. Set Clock and Limit before
// use. It is safe for concurrent use.
type HeldBudget struct {
	Budget
	Clock clock.Clock
	// MinStall is how long a receiver must have taken nothing before its reservation is ended to
	// make room for another; 0 means defaultMinStall. It is not changed after the first use.
	MinStall time.Duration
	// OnEvict is called for each reservation that is ended to make room; nil is allowed.
	OnEvict func()

	// mu guards the fields below and those of the holds.
	mu sync.Mutex
	// holds holds the *Hold, the one without progress for longest first.
	holds   list.List
	evicted int
}

// Hold is a reservation of a HeldBudget.
type Hold struct {
	budget *HeldBudget
	bytes  int64
	// end makes the receiver give the data up.
	end func()
	// progress is when the receiver last took data.
	progress time.Time
	// element is that in HeldBudget.holds, or nil once the reservation has ended or is pinned.
	element *list.Element
	// pinned reports whether the reservation lasts until Release.
	pinned bool
}

// Hold reserves n bytes. If there is no room, it ends the reservations that have had no
// progress for MinStall, and returns nil if that is not enough. end is called if the
// reservation is ended to make room; it must not wait, and not call methods of the budget.
func (b *HeldBudget) Hold(n int64, end func()) *Hold {
	h := b.tryHold(n, end)
	if h == nil {
		b.refused.Add(1)
	}
	return h
}

// AwaitHold is Hold, but waits for room for up to maxWait.
func (b *HeldBudget) AwaitHold(n int64, end func(), maxWait time.Duration) *Hold {
	for waited := time.Duration(0); waited < maxWait; waited += waitInterval {
		if h := b.tryHold(n, end); h != nil {
			return h
		}
		<-b.Clock.After(waitInterval)
	}
	return b.Hold(n, end)
}

func (b *HeldBudget) tryHold(n int64, end func()) *Hold {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.TryReserve(n) {
		if !b.evict(now) {
			return nil
		}
	}
	h := &Hold{budget: b, bytes: n, end: end, progress: now}
	h.element = b.holds.PushBack(h)
	return h
}

// evict ends the reservation that has had no progress for longest if that is at least
// MinStall, and reports whether it did. The caller holds mu.
func (b *HeldBudget) evict(now time.Time) bool {
	front := b.holds.Front()
	if front == nil {
		return false
	}
	oldest := front.Value.(*Hold)
	minStall := b.MinStall
	if minStall == 0 {
		minStall = defaultMinStall
	}
	if now.Sub(oldest.progress) < minStall {
		return false
	}
	oldest.remove()
	b.evicted++
	oldest.end()
	if b.OnEvict != nil {
		b.OnEvict()
	}
	return true
}

// Evicted returns the number of reservations that were ended to make room.
func (b *HeldBudget) Evicted() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evicted
}

// Progress records that the receiver has taken data. It returns false if the reservation was
// ended to make room.
func (h *Hold) Progress() bool {
	now := h.budget.Clock.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.element == nil {
		return false
	}
	h.progress = now
	h.budget.holds.MoveToBack(h.element)
	return true
}

// Pin makes the reservation last until Release. It returns false if the reservation was ended
// before.
func (h *Hold) Pin() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.element == nil {
		return h.pinned
	}
	h.budget.holds.Remove(h.element)
	h.element, h.pinned = nil, true
	return true
}

// Release ends the reservation, unless it was ended to make room. end is not called after
// Release has returned.
func (h *Hold) Release() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.pinned {
		h.pinned = false
		h.budget.Budget.Release(h.bytes)
		return
	}
	h.remove()
}

// remove ends the reservation. The caller holds mu.
func (h *Hold) remove() {
	if h.element == nil {
		return
	}
	h.budget.holds.Remove(h.element)
	h.element = nil
	h.budget.Budget.Release(h.bytes)
}

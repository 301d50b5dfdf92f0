package rate

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// Allocator lends tokens from the slots that its node holds. Follower, Clock and
// Self must be set.
type Allocator struct {
	Self     fleet.MemberID
	Follower *config.Follower
	Clock    clock.Clock
	// Lease is how long it may lend without having read the log; 0 means
	// DefaultLease.
	Lease time.Duration

	mu          sync.Mutex
	owned       map[int]*ownership
	closed      bool
	lastGrantID GrantID
	assignments map[fleet.OrganisationID]assignment
}

// assignment remembers the slots that a ticket gave an organisation.
type assignment struct {
	ticket fleet.TicketNumber
	slots  []int
}

func (a *Allocator) lease() time.Duration {
	if a.Lease == 0 {
		return DefaultLease
	}
	return a.Lease
}

// Update takes over tenures from a new view and drops those that ended.
func (a *Allocator) Update(v *config.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owned == nil {
		a.owned = map[int]*ownership{}
	}
	for i, slot := range v.State.Slots {
		current := a.owned[i]
		if slot.Holder != a.Self {
			delete(a.owned, i)
			continue
		}
		if current == nil || current.epoch != slot.Epoch {
			a.owned[i] = newOwnership(slot, a.Clock.Now(), a.lease())
		}
	}
}

// Close stops lending for good.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// HeldSlots returns the number of slots held.
func (a *Allocator) HeldSlots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.owned)
}

// Settled tells whether nothing is lent out from any slot.
func (a *Allocator) Settled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, own := range a.owned {
		if !own.settled(a.Clock.Now()) {
			return false
		}
	}
	return true
}

// ReleaseAll stops lending from all slots and returns what gives them back.
func (a *Allocator) ReleaseAll() []state.ReleasedSlot {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []state.ReleasedSlot
	for slot, own := range a.owned {
		list = append(list, a.release(slot, own))
	}
	return list
}

// Release stops lending from one slot, if nothing is lent out from it, and returns
// what gives it back.
func (a *Allocator) Release(slot int) (state.ReleasedSlot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.owned[slot]
	if own == nil || own.released || !own.settled(a.Clock.Now()) {
		return state.ReleasedSlot{}, false
	}
	return a.release(slot, own), true
}

// release ends a tenure here, even if the release is lost: under this epoch it
// never lends again.
func (a *Allocator) release(slot int, own *ownership) state.ReleasedSlot {
	own.released = true
	now := a.Clock.Now()
	release := state.ReleasedSlot{Slot: slot, Epoch: own.epoch, Settled: own.settled(now)}
	if release.Settled {
		release.IdleMs = own.idleTime(now).Milliseconds()
	}
	return release
}

// Idle tells whether nothing has been lent out from a slot for longRest, so
// that its next holder starts with all that it carries.
func (a *Allocator) Idle(slot int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	own, now := a.owned[slot], a.Clock.Now()
	return own != nil && own.settled(now) && own.idleTime(now) >= maxIdleTime
}

// Borrow settles earlier loans and lends what is wanted, as far as it is there.
func (a *Allocator) Borrow(req *peerrpc.BorrowRequest) *peerrpc.BorrowReply {
	view := a.Follower.View()
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	for _, s := range req.GetSettled() {
		a.settle(view, s, now)
	}
	reply := &peerrpc.BorrowReply{}
	for _, w := range req.GetWanted() {
		a.grant(view, w, now, reply)
	}
	return reply
}

func (a *Allocator) settle(v *config.View, s *peerrpc.Settle, now time.Time) {
	b := a.bucket(v, int(s.GetSlot()), state.Epoch(s.GetEpoch()), fleet.OrganisationID(s.GetOrganisation()), now)
	if b != nil {
		b.settle(GrantID(s.GetLoan()), fleet.Tokens(s.GetSpent()), fleet.Tokens(s.GetReturned()), now)
	}
}

// grant takes tokens out of the slots that this node holds, one after another.
func (a *Allocator) grant(v *config.View, w *peerrpc.Want, now time.Time, reply *peerrpc.BorrowReply) {
	id := fleet.OrganisationID(w.GetOrganisation())
	o, known := v.State.Organisations[id]
	if !known {
		return
	}
	remaining := fleet.Tokens(w.GetTokens())
	for _, slot := range a.assignedSlots(&o) {
		if !a.mayGrant(slot, now) {
			continue
		}
		own := a.owned[slot]
		b := a.bucket(v, slot, own.epoch, id, now)
		a.lastGrantID++
		amount := b.grant(a.lastGrantID, remaining, now)
		if amount == 0 {
			reply.RetryAfterMs = minRetryAfterMs(reply.GetRetryAfterMs(), b.timeToToken())
			continue
		}
		remaining -= amount
		reply.Granted = append(reply.Granted, &peerrpc.Granted{
			Loan: uint64(a.lastGrantID), Organisation: w.GetOrganisation(), Slot: int32(slot), Epoch: uint64(own.epoch),
			Tokens: float64(amount), TermMs: grantTerm.Milliseconds(),
		})
		if remaining < 1 {
			return
		}
	}
}

// minRetryAfterMs returns the lesser of a hint, 0 for none yet, and a wait.
func minRetryAfterMs(currentMs int64, wait time.Duration) int64 {
	ms := wait.Milliseconds() + 1
	if currentMs == 0 {
		return ms
	}
	return min(currentMs, ms)
}

// assignedSlots returns the slots of an organisation, as its present ticket has them.
func (a *Allocator) assignedSlots(o *state.InForce[ticket.Organisation]) []int {
	if a.assignments == nil {
		a.assignments = map[fleet.OrganisationID]assignment{}
	}
	c := a.assignments[o.Value.ID]
	if c.ticket != o.Ticket {
		c = assignment{ticket: o.Ticket, slots: assignedSlots(&o.Value)}
		a.assignments[o.Value.ID] = c
	}
	return c.slots
}

// mayGrant judges the tenure and its lease.
func (a *Allocator) mayGrant(slot int, now time.Time) bool {
	own := a.owned[slot]
	if a.closed || own == nil || own.released || now.Before(own.grantsFrom) {
		return false
	}
	return now.Sub(a.Follower.LastLogRead()) < a.lease()
}

// bucket returns the bucket of an organisation in a tenure, with its part
// brought up to the view; nil where this node does not hold the slot.
func (a *Allocator) bucket(v *config.View, slot int, epoch state.Epoch, id fleet.OrganisationID, now time.Time) *bucket {
	own := a.owned[slot]
	o, known := v.State.Organisations[id]
	if own == nil || own.epoch != epoch || !known {
		return nil
	}
	b := own.buckets[id]
	if b == nil {
		// Nothing was lent while the slot rested, so the rate has yielded since then.
		b = &bucket{share: shareOf(&o.Value, a.assignedSlots(&o), slot), ticket: o.Ticket, refilled: own.idleSince}
		if o.Replaced == 0 && o.Offset > v.State.Slots[slot].ClaimOffset {
			b.level = b.share.burst
		}
		own.buckets[id] = b
	}
	if b.ticket != o.Ticket {
		b.ticket = o.Ticket
		b.setShare(shareOf(&o.Value, a.assignedSlots(&o), slot), now)
	}
	return b
}

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

// Allocator grants tokens from the rate slots that this node holds. Follower, Clock and
// Self must be set. Its methods are safe for concurrent use.
type Allocator struct {
	Self     fleet.MemberID
	Follower *config.Follower
	Clock    clock.Clock
	// Lease is how long the node may grant tokens without having read the log. 0 means
	// DefaultLease.
	Lease time.Duration

	// mu guards the fields below.
	mu sync.Mutex
	// owned holds the ownership of each slot that this node holds, by slot number.
	owned map[int]*ownership
	// closed is set by Close and never reset.
	closed      bool
	lastGrantID GrantID
	// assignments caches the slots of each organisation.
	assignments map[fleet.OrganisationID]assignment
}

// assignment is the result of assignedSlots for the limits that a ticket set.
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

// Update starts an ownership for each slot that this node has acquired according to v,
// and ends those of the slots that it no longer holds.
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

// Close stops all granting permanently.
func (a *Allocator) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
}

// HeldSlots returns the number of slots that this node holds, including slots that it
// has released until the release is in effect.
func (a *Allocator) HeldSlots() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.owned)
}

// Settled reports whether no tokens of any slot are outstanding.
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

// ReleaseAll stops granting from all slots and returns their releases, which the caller
// must record in the log.
func (a *Allocator) ReleaseAll() []state.ReleasedSlot {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []state.ReleasedSlot
	for slot, own := range a.owned {
		list = append(list, a.release(slot, own))
	}
	return list
}

// Release stops granting from a slot, if no tokens of it are outstanding, and returns
// its release, which the caller must record in the log. It reports false if it did not
// stop granting.
func (a *Allocator) Release(slot int) (state.ReleasedSlot, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := a.owned[slot]
	if own == nil || own.released || !own.settled(a.Clock.Now()) {
		return state.ReleasedSlot{}, false
	}
	return a.release(slot, own), true
}

// release permanently stops granting from a slot in its current epoch, even if the
// release is never recorded.
func (a *Allocator) release(slot int, own *ownership) state.ReleasedSlot {
	own.released = true
	now := a.Clock.Now()
	release := state.ReleasedSlot{Slot: slot, Epoch: own.epoch, Settled: own.settled(now)}
	if release.Settled {
		release.IdleMs = own.idleTime(now).Milliseconds()
	}
	return release
}

// Idle reports whether no tokens of a slot have been outstanding for maxIdleTime. The
// buckets of its next holder then start with the tokens of that time.
func (a *Allocator) Idle(slot int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	own, now := a.owned[slot], a.Clock.Now()
	return own != nil && own.settled(now) && own.idleTime(now) >= maxIdleTime
}

// Borrow settles earlier grants, and grants the requested tokens as far as they are
// available.
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

// grant adds grants of the requested tokens to reply, from the slots that this node
// holds, one slot after another.
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

// minRetryAfterMs returns the smaller of currentMs and wait, in milliseconds. A
// currentMs of 0 means that none is set.
func minRetryAfterMs(currentMs int64, wait time.Duration) int64 {
	ms := wait.Milliseconds() + 1
	if currentMs == 0 {
		return ms
	}
	return min(currentMs, ms)
}

// assignedSlots returns the slots of an organisation under the limits in effect.
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

// mayGrant reports whether tokens may be granted from a slot: this node holds it and
// has not released it, earlier grants have expired, and the log was read within the
// lease.
func (a *Allocator) mayGrant(slot int, now time.Time) bool {
	own := a.owned[slot]
	if a.closed || own == nil || own.released || now.Before(own.grantsFrom) {
		return false
	}
	return now.Sub(a.Follower.LastLogRead()) < a.lease()
}

// bucket returns the bucket of an organisation in a slot, with its share updated to v.
// It returns nil if this node does not hold the slot in the given epoch or if v does
// not contain the organisation.
func (a *Allocator) bucket(v *config.View, slot int, epoch state.Epoch, id fleet.OrganisationID, now time.Time) *bucket {
	own := a.owned[slot]
	o, known := v.State.Organisations[id]
	if own == nil || own.epoch != epoch || !known {
		return nil
	}
	b := own.buckets[id]
	if b == nil {
		// No tokens were outstanding while the slot was idle, so the bucket has filled
		// since idleSince.
		b = &bucket{share: shareOf(&o.Value, a.assignedSlots(&o), slot), ticket: o.Ticket, refilled: own.idleSince}
		// An organisation that was added after the slot was claimed starts with its
		// burst.
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

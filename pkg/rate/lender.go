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

// Lender lends tokens from the slots that its node holds. Follower, Clock and
// Self must be set.
type Lender struct {
	Self     fleet.MemberID
	Follower *config.Follower
	Clock    clock.Clock
	// Lease is how long it may lend without having read the log; 0 means
	// DefaultLease.
	Lease time.Duration

	mu      sync.Mutex
	tenures map[int]*tenure
	closed  bool
	lastID  LoanID
	carried map[fleet.OrganisationID]carried
}

// carried remembers the slots that a ticket gave an organisation.
type carried struct {
	ticket fleet.TicketNumber
	slots  []int
}

func (l *Lender) lease() time.Duration {
	if l.Lease == 0 {
		return DefaultLease
	}
	return l.Lease
}

// Update takes over tenures from a new view and drops those that ended.
func (l *Lender) Update(v *config.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tenures == nil {
		l.tenures = map[int]*tenure{}
	}
	for i, slot := range v.State.Slots {
		held := l.tenures[i]
		if slot.Holder != l.Self {
			delete(l.tenures, i)
			continue
		}
		if held == nil || held.epoch != slot.Epoch {
			l.tenures[i] = newTenure(slot, l.Clock.Now(), l.lease())
		}
	}
}

// Close stops lending for good.
func (l *Lender) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// Held returns the number of slots held.
func (l *Lender) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tenures)
}

// Settled tells whether nothing is lent out from any slot.
func (l *Lender) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.tenures {
		if !t.settled(l.Clock.Now()) {
			return false
		}
	}
	return true
}

// Releases stops lending from all slots and returns what gives them back.
func (l *Lender) Releases() []state.ReleasedSlot {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []state.ReleasedSlot
	for slot, t := range l.tenures {
		list = append(list, l.drop(slot, t))
	}
	return list
}

// Drop stops lending from one slot, if nothing is lent out from it, and returns
// what gives it back.
func (l *Lender) Drop(slot int) (state.ReleasedSlot, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tenures[slot]
	if t == nil || t.dropped || !t.settled(l.Clock.Now()) {
		return state.ReleasedSlot{}, false
	}
	return l.drop(slot, t), true
}

// drop ends a tenure here, even if the release is lost: under this epoch it
// never lends again.
func (l *Lender) drop(slot int, t *tenure) state.ReleasedSlot {
	t.dropped = true
	now := l.Clock.Now()
	release := state.ReleasedSlot{Slot: slot, Epoch: t.epoch, Settled: t.settled(now)}
	if release.Settled {
		release.IdleMs = t.rest(now).Milliseconds()
	}
	return release
}

// Rested tells whether nothing has been lent out from a slot for longRest, so
// that its next holder starts with all that it carries.
func (l *Lender) Rested(slot int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, now := l.tenures[slot], l.Clock.Now()
	return t != nil && t.settled(now) && t.rest(now) >= longRest
}

// Borrow settles earlier loans and lends what is wanted, as far as it is there.
func (l *Lender) Borrow(req *peerrpc.BorrowRequest) *peerrpc.BorrowReply {
	view := l.Follower.View()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for _, s := range req.GetSettled() {
		l.settle(view, s, now)
	}
	reply := &peerrpc.BorrowReply{}
	for _, w := range req.GetWanted() {
		l.lend(view, w, now, reply)
	}
	return reply
}

func (l *Lender) settle(v *config.View, s *peerrpc.Settle, now time.Time) {
	b := l.bucket(v, int(s.GetSlot()), state.Epoch(s.GetEpoch()), fleet.OrganisationID(s.GetOrganisation()), now)
	if b != nil {
		b.settle(LoanID(s.GetLoan()), fleet.Tokens(s.GetSpent()), fleet.Tokens(s.GetReturned()), now)
	}
}

// lend takes tokens out of the slots that this node holds, one after another.
func (l *Lender) lend(v *config.View, w *peerrpc.Want, now time.Time, reply *peerrpc.BorrowReply) {
	id := fleet.OrganisationID(w.GetOrganisation())
	o, known := v.State.Organisations[id]
	if !known {
		return
	}
	left := fleet.Tokens(w.GetTokens())
	for _, slot := range l.carriers(&o) {
		if !l.mayLend(slot, now) {
			continue
		}
		t := l.tenures[slot]
		b := l.bucket(v, slot, t.epoch, id, now)
		l.lastID++
		amount := b.lend(l.lastID, left, now)
		if amount == 0 {
			reply.RetryAfterMs = sooner(reply.GetRetryAfterMs(), b.wait())
			continue
		}
		left -= amount
		reply.Granted = append(reply.Granted, &peerrpc.Granted{
			Loan: uint64(l.lastID), Organisation: w.GetOrganisation(), Slot: int32(slot), Epoch: uint64(t.epoch),
			Tokens: float64(amount), TermMs: loanTerm.Milliseconds(),
		})
		if left < 1 {
			return
		}
	}
}

// sooner returns the lesser of a hint, 0 for none yet, and a wait.
func sooner(hint int64, wait time.Duration) int64 {
	ms := wait.Milliseconds() + 1
	if hint == 0 {
		return ms
	}
	return min(hint, ms)
}

// carriers returns the slots of an organisation, as its present ticket has them.
func (l *Lender) carriers(o *state.InForce[ticket.Organisation]) []int {
	if l.carried == nil {
		l.carried = map[fleet.OrganisationID]carried{}
	}
	c := l.carried[o.Value.ID]
	if c.ticket != o.Ticket {
		c = carried{ticket: o.Ticket, slots: carriers(&o.Value)}
		l.carried[o.Value.ID] = c
	}
	return c.slots
}

// mayLend judges the tenure and its lease.
func (l *Lender) mayLend(slot int, now time.Time) bool {
	t := l.tenures[slot]
	if l.closed || t == nil || t.dropped || now.Before(t.opens) {
		return false
	}
	return now.Sub(l.Follower.LastLogRead()) < l.lease()
}

// bucket returns the bucket of an organisation in a tenure, with its part
// brought up to the view; nil where this node does not hold the slot.
func (l *Lender) bucket(v *config.View, slot int, epoch state.Epoch, id fleet.OrganisationID, now time.Time) *bucket {
	t := l.tenures[slot]
	o, known := v.State.Organisations[id]
	if t == nil || t.epoch != epoch || !known {
		return nil
	}
	b := t.buckets[id]
	if b == nil {
		// Nothing was lent while the slot rested, so the rate has yielded since then.
		b = &bucket{part: partOf(&o.Value, l.carriers(&o), slot), ticket: o.Ticket, updated: t.rested}
		if o.Replaced == 0 && o.Offset > v.State.Slots[slot].ClaimOffset {
			b.level = b.part.burst
		}
		t.buckets[id] = b
	}
	if b.ticket != o.Ticket {
		b.ticket = o.Ticket
		b.change(partOf(&o.Value, l.carriers(&o), slot), now)
	}
	return b
}

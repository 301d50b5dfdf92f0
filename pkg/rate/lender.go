package rate

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// tenure is one slot held by this node.
type tenure struct {
	epoch state.Epoch
	// opens is when all loans of earlier tenures have surely expired.
	opens   time.Time
	buckets map[fleet.OrganisationID]*bucket
}

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
	lent    fleet.Tokens
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
			l.tenures[i] = &tenure{
				epoch: slot.Epoch, opens: l.Clock.Now().Add(l.handover(slot.Before)),
				buckets: map[fleet.OrganisationID]*bucket{},
			}
		}
	}
}

// handover returns how long a successor waits until the loans of the earlier
// tenure have surely expired.
func (l *Lender) handover(before state.Evidence) time.Duration {
	switch {
	case before == "":
		return 0
	case before.Certain():
		return loanTerm + clockMargin
	default:
		return l.lease() + loanTerm + 2*clockMargin
	}
}

// Close stops lending for good. It returns the slots that were held.
func (l *Lender) Close() []state.SlotRelease {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	var held []state.SlotRelease
	for i, t := range l.tenures {
		held = append(held, state.SlotRelease{Slot: i, Member: l.Self, Epoch: t.epoch})
	}
	return held
}

// Held returns the number of slots held.
func (l *Lender) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tenures)
}

// Drop stops lending from one slot and returns the record that gives it back.
func (l *Lender) Drop(slot int) (state.SlotRelease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tenures[slot]
	if t == nil {
		return state.SlotRelease{}, false
	}
	// Never opens again under this epoch, even if the release is lost.
	t.opens = l.Clock.Now().Add(100 * 365 * 24 * time.Hour)
	return state.SlotRelease{Slot: slot, Member: l.Self, Epoch: t.epoch}, true
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
		reply.Granted = append(reply.Granted, l.lend(view, w, now))
	}
	return reply
}

func (l *Lender) settle(v *config.View, s *peerrpc.Settle, now time.Time) {
	b := l.bucket(v, int(s.GetSlot()), state.Epoch(s.GetEpoch()), fleet.OrganisationID(s.GetOrganisation()), now)
	if b != nil {
		b.settle(LoanID(s.GetLoan()), fleet.Tokens(s.GetSpent()), fleet.Tokens(s.GetReturned()), now)
	}
}

func (l *Lender) lend(v *config.View, w *peerrpc.Loan, now time.Time) *peerrpc.Granted {
	granted := &peerrpc.Granted{Organisation: w.GetOrganisation(), Slot: w.GetSlot(), Epoch: w.GetEpoch()}
	b := l.bucket(v, int(w.GetSlot()), state.Epoch(w.GetEpoch()), fleet.OrganisationID(w.GetOrganisation()), now)
	if b == nil || !l.mayLend(int(w.GetSlot()), now) {
		granted.NotHolder = true
		return granted
	}
	l.lastID++
	amount := b.lend(l.lastID, fleet.Tokens(w.GetTokens()), now)
	l.lent += amount
	granted.Loan = uint64(l.lastID)
	granted.Tokens = float64(amount)
	granted.TermMs = loanTerm.Milliseconds()
	granted.RetryAfterMs = b.wait().Milliseconds()
	return granted
}

// mayLend judges the tenure and its lease.
func (l *Lender) mayLend(slot int, now time.Time) bool {
	t := l.tenures[slot]
	if l.closed || t == nil || now.Before(t.opens) {
		return false
	}
	return now.Sub(l.Follower.LogSeen()) < l.lease()
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
		b = &bucket{part: partOf(&o.Value, slot), ticket: o.Ticket, updated: now}
		if o.Replaced == 0 && o.Offset > v.State.Slots[slot].Since {
			b.level = b.part.burst
		}
		t.buckets[id] = b
	}
	if b.ticket != o.Ticket {
		b.ticket = o.Ticket
		b.change(partOf(&o.Value, slot), now)
	}
	return b
}

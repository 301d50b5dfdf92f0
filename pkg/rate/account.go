package rate

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// held is one loan at its borrower.
type held struct {
	loan  LoanID
	slot  int
	epoch state.Epoch
	// ends is judged on this node's clock, from before it asked.
	ends   time.Time
	tokens fleet.Tokens
	// left is not yet taken; tokens - left - settled are in use.
	left, spent, returned fleet.Tokens
	reported              fleet.Tokens
	lastUse               time.Time
}

func (h *held) done() bool { return h.spent+h.returned >= h.tokens }

// account is what a borrower holds for one organisation.
type account struct {
	mu     sync.Mutex
	loans  []*held
	asking bool
	// answered is closed and replaced after each answer.
	answered chan struct{}
	demand   float64
	demandAt time.Time
	slots    []int
	ticket   fleet.TicketNumber
	// all and onlyCritical count the calls that enter here, and the critical ones
	// among them, against what the whole fleet may start.
	all, onlyCritical ceiling
	// critical is the number of critical calls that wait for a token.
	critical int
	waiting  int
	// avoid holds holders that are not asked for a moment.
	avoid map[fleet.MemberID]avoidance
}

// avoidance leaves a holder alone until a time.
type avoidance struct {
	until time.Time
	// empty tells that the holder had no token left, rather than no answer.
	empty bool
}

// token is one taken token. It counts against the burst until its call has
// surely started or ended.
type token struct {
	account *account
	held    *held
	startBy time.Time
}

func (t *token) spend() {
	t.account.mu.Lock()
	defer t.account.mu.Unlock()
	t.held.spent++
}

// await waits, without the lock, for the answer to a request for tokens.
func (a *account) await(ctx context.Context) {
	answered := a.answered
	a.waiting++
	a.mu.Unlock()
	select {
	case <-answered:
	case <-ctx.Done():
	}
	a.mu.Lock()
	a.waiting--
}

// empty returns the number of slots whose holders said lately that they have no
// token left, and whether that is all. While a holder is unknown, silent or not
// open yet, nobody can say for sure that the organisation is over its rate.
func (a *account) empty(v *config.View, now time.Time) (n int, all bool) {
	for _, slot := range a.slots {
		shunned := a.avoid[v.State.Slots[slot].Holder]
		if shunned.empty && now.Before(shunned.until) {
			n++
		}
	}
	return n, n == len(a.slots)
}

// within counts a call and tells whether it may be within the rate: a critical one
// beside other critical calls, any other beside all calls.
func (a *account) within(o *state.InForce[ticket.Organisation], critical bool, now time.Time) bool {
	whole := a.all.take(&o.Value, o.Ticket, now)
	if critical {
		return a.onlyCritical.take(&o.Value, o.Ticket, now)
	}
	return whole
}

// takeHeld takes a token that is at hand, for a call that starts within window.
// While critical calls wait, no other call gets one.
func (a *account) takeHeld(now time.Time, window time.Duration, critical bool) *token {
	if a.critical > 0 && !critical {
		return nil
	}
	for _, h := range a.loans {
		if h.left < 1 || h.ends.Sub(now) < window {
			continue
		}
		h.left--
		h.lastUse = now
		return &token{account: a, held: h, startBy: now.Add(window)}
	}
	return nil
}

func (a *account) noteDemand(now time.Time) {
	if elapsed := now.Sub(a.demandAt); elapsed > 0 {
		a.demand *= math.Exp(-float64(elapsed) / float64(demandMemory))
		a.demandAt = now
	}
	a.demand++
}

// free returns the tokens at hand.
func (a *account) free(now time.Time) fleet.Tokens {
	var sum fleet.Tokens
	for _, h := range a.loans {
		if h.ends.Sub(now) >= startWindow {
			sum += h.left
		}
	}
	return sum
}

// wanted returns the tokens to ask for: those that calls wait for, and what the
// demand of the next moment needs.
func (a *account) wanted() fleet.Tokens {
	ahead := a.demand * float64(askAhead) / float64(demandMemory)
	return fleet.Tokens(max(float64(a.waiting), math.Ceil(ahead), 1))
}

// holder returns the first holder, in this node's order of slots, that is not
// to be avoided.
func (a *account) holder(v *config.View, now time.Time) fleet.MemberID {
	for _, slot := range a.slots {
		if id := v.State.Slots[slot].Holder; id != "" && !now.Before(a.avoid[id].until) {
			return id
		}
	}
	return ""
}

// shun leaves a holder alone until it may have tokens again.
func (a *account) shun(holder fleet.MemberID, now time.Time, hintMs int64) {
	if a.avoid == nil {
		a.avoid = map[fleet.MemberID]avoidance{}
	}
	wait := avoidFailed
	if hintMs > 0 {
		wait = min(time.Duration(hintMs)*time.Millisecond, avoidMost)
	}
	a.avoid[holder] = avoidance{until: now.Add(wait), empty: hintMs > 0}
}

// add takes a granted loan over.
func (a *account) add(g *peerrpc.Granted, began time.Time) {
	tokens := fleet.Tokens(g.GetTokens())
	a.loans = append(a.loans, &held{
		loan: LoanID(g.GetLoan()), slot: int(g.GetSlot()), epoch: state.Epoch(g.GetEpoch()),
		ends:   began.Add(time.Duration(g.GetTermMs()) * time.Millisecond),
		tokens: tokens, left: tokens, lastUse: began,
	})
}

// reports lists what has changed on loans from one holder.
func (a *account) reports(id fleet.OrganisationID, holder fleet.MemberID, v *config.View) []*peerrpc.Settle {
	var list []*peerrpc.Settle
	for _, h := range a.loans {
		settled := h.spent + h.returned
		if settled == h.reported || v.State.Slots[h.slot].Holder != holder {
			continue
		}
		h.reported = settled
		list = append(list, &peerrpc.Settle{
			Loan: uint64(h.loan), Slot: int32(h.slot), Epoch: uint64(h.epoch), Organisation: string(id),
			Spent: float64(h.spent), Returned: float64(h.returned),
		})
	}
	return list
}

// giveBack returns tokens that have lain idle.
func (a *account) giveBack(now time.Time, all bool) {
	for _, h := range a.loans {
		if h.left > 0 && (all || now.Sub(h.lastUse) > idleAfter) {
			h.returned += h.left
			h.left = 0
		}
	}
}

func (a *account) holders(v *config.View) []fleet.MemberID {
	var list []fleet.MemberID
	for _, h := range a.loans {
		holder := v.State.Slots[h.slot].Holder
		known := holder == ""
		for _, other := range list {
			known = known || other == holder
		}
		if !known {
			list = append(list, holder)
		}
	}
	return list
}

// forget drops loans that are settled and reported, or long over.
func (a *account) forget(now time.Time) {
	kept := a.loans[:0]
	for _, h := range a.loans {
		over := now.After(h.ends.Add(time.Second))
		if !over && (!h.done() || h.reported < h.tokens) {
			kept = append(kept, h)
		}
	}
	clear(a.loans[len(kept):])
	a.loans = kept
}

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

// heldGrant is one loan at its borrower.
type heldGrant struct {
	id    GrantID
	slot  int
	epoch state.Epoch
	// expires is judged on this node's clock, from before it asked.
	expires time.Time
	tokens  fleet.Tokens
	// remaining is not yet taken; tokens - remaining - settled are in use.
	remaining, spent, returned fleet.Tokens
	reported                   fleet.Tokens
	lastUse                    time.Time
}

func (h *heldGrant) settled() bool { return h.spent+h.returned >= h.tokens }

// tokenPool is what a borrower holds for one organisation.
type tokenPool struct {
	mu         sync.Mutex
	grants     []*heldGrant
	requesting bool
	// responded is closed and replaced after each answer.
	responded      chan struct{}
	demand         float64
	demandUpdated  time.Time
	preferredSlots []int
	ticket         fleet.TicketNumber
	// allCalls and criticalCalls count the calls that enter here, and the critical ones
	// among them, against what the whole fleet may start.
	allCalls, criticalCalls fleetBucket
	// criticalWaiting is the number of criticalWaiting calls that wait for a token.
	criticalWaiting int
	waiting         int
	// backoffs holds holders that are not asked for a moment.
	backoffs map[fleet.MemberID]holderBackoff
}

// holderBackoff leaves a holder alone until a time.
type holderBackoff struct {
	until time.Time
	// outOfTokens tells that the holder had no token left, rather than no answer.
	outOfTokens bool
}

// token is one taken token. It counts against the burst until its call has
// surely started or ended.
type token struct {
	pool    *tokenPool
	grant   *heldGrant
	startBy time.Time
}

func (t *token) spend() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.grant.spent++
}

// awaitResponse waits, without the lock, for the answer to a request for tokens.
func (p *tokenPool) awaitResponse(ctx context.Context) {
	responded := p.responded
	p.waiting++
	p.mu.Unlock()
	select {
	case <-responded:
	case <-ctx.Done():
	}
	p.mu.Lock()
	p.waiting--
}

// emptyHolders returns the number of slots whose holders said lately that they have no
// token left, and whether that is all. While a holder is unknown, silent or not
// open yet, nobody can say for sure that the organisation is over its rate.
func (p *tokenPool) emptyHolders(v *config.View, now time.Time) (n int, all bool) {
	for _, slot := range p.preferredSlots {
		backoff := p.backoffs[v.State.Slots[slot].Holder]
		if backoff.outOfTokens && now.Before(backoff.until) {
			n++
		}
	}
	return n, n == len(p.preferredSlots)
}

// withinRate counts a call and tells whether it may be withinRate the rate: a critical one
// beside other critical calls, any other beside all calls.
func (p *tokenPool) withinRate(o *state.InForce[ticket.Organisation], critical bool, now time.Time) bool {
	allowed := p.allCalls.take(&o.Value, o.Ticket, now)
	if critical {
		return p.criticalCalls.take(&o.Value, o.Ticket, now)
	}
	return allowed
}

// takeToken takes a token that is at hand, for a call that starts within window.
// While critical calls wait, no other call gets one.
func (p *tokenPool) takeToken(now time.Time, window time.Duration, critical bool) *token {
	if p.criticalWaiting > 0 && !critical {
		return nil
	}
	for _, h := range p.grants {
		if h.remaining < 1 || h.expires.Sub(now) < window {
			continue
		}
		h.remaining--
		h.lastUse = now
		return &token{pool: p, grant: h, startBy: now.Add(window)}
	}
	return nil
}

func (p *tokenPool) recordDemand(now time.Time) {
	if elapsed := now.Sub(p.demandUpdated); elapsed > 0 {
		p.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
		p.demandUpdated = now
	}
	p.demand++
}

// available returns the tokens at hand.
func (p *tokenPool) available(now time.Time) fleet.Tokens {
	var sum fleet.Tokens
	for _, h := range p.grants {
		if h.expires.Sub(now) >= startWindow {
			sum += h.remaining
		}
	}
	return sum
}

// requestSize returns the tokens to ask for: those that calls wait for, and what the
// demand of the next moment needs.
func (p *tokenPool) requestSize() fleet.Tokens {
	expected := p.demand * float64(requestHorizon) / float64(demandTimeConstant)
	return fleet.Tokens(max(float64(p.waiting), math.Ceil(expected), 1))
}

// nextHolder returns the first nextHolder, in this node's order of slots, that is not
// to be avoided.
func (p *tokenPool) nextHolder(v *config.View, now time.Time) fleet.MemberID {
	for _, slot := range p.preferredSlots {
		if id := v.State.Slots[slot].Holder; id != "" && !now.Before(p.backoffs[id].until) {
			return id
		}
	}
	return ""
}

// backOff leaves a holder alone until it may have tokens again.
func (p *tokenPool) backOff(holder fleet.MemberID, now time.Time, retryAfterMs int64) {
	if p.backoffs == nil {
		p.backoffs = map[fleet.MemberID]holderBackoff{}
	}
	delay := failedBackoff
	if retryAfterMs > 0 {
		delay = min(time.Duration(retryAfterMs)*time.Millisecond, maxEmptyBackoff)
	}
	p.backoffs[holder] = holderBackoff{until: now.Add(delay), outOfTokens: retryAfterMs > 0}
}

// addGrant takes a granted loan over.
func (p *tokenPool) addGrant(g *peerrpc.Granted, start time.Time) {
	tokens := fleet.Tokens(g.GetTokens())
	p.grants = append(p.grants, &heldGrant{
		id: GrantID(g.GetLoan()), slot: int(g.GetSlot()), epoch: state.Epoch(g.GetEpoch()),
		expires: start.Add(time.Duration(g.GetTermMs()) * time.Millisecond),
		tokens:  tokens, remaining: tokens, lastUse: start,
	})
}

// settlements lists what has changed on loans from one holder.
func (p *tokenPool) settlements(id fleet.OrganisationID, holder fleet.MemberID, v *config.View) []*peerrpc.Settle {
	var list []*peerrpc.Settle
	for _, h := range p.grants {
		settled := h.spent + h.returned
		if settled == h.reported || v.State.Slots[h.slot].Holder != holder {
			continue
		}
		h.reported = settled
		list = append(list, &peerrpc.Settle{
			Loan: uint64(h.id), Slot: int32(h.slot), Epoch: uint64(h.epoch), Organisation: string(id),
			Spent: float64(h.spent), Returned: float64(h.returned),
		})
	}
	return list
}

// returnIdle returns tokens that have lain idle.
func (p *tokenPool) returnIdle(now time.Time, all bool) {
	for _, h := range p.grants {
		if h.remaining > 0 && (all || now.Sub(h.lastUse) > idleTimeout) {
			h.returned += h.remaining
			h.remaining = 0
		}
	}
}

func (p *tokenPool) holders(v *config.View) []fleet.MemberID {
	var list []fleet.MemberID
	for _, h := range p.grants {
		holder := v.State.Slots[h.slot].Holder
		skip := holder == ""
		for _, other := range list {
			skip = skip || other == holder
		}
		if !skip {
			list = append(list, holder)
		}
	}
	return list
}

// prune drops loans that are settled and reported, or long over.
func (p *tokenPool) prune(now time.Time) {
	kept := p.grants[:0]
	for _, h := range p.grants {
		expired := now.After(h.expires.Add(time.Second))
		if !expired && (!h.settled() || h.reported < h.tokens) {
			kept = append(kept, h)
		}
	}
	clear(p.grants[len(kept):])
	p.grants = kept
}

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

// heldGrant is the recipient's record of granted tokens.
type heldGrant struct {
	id    GrantID
	slot  int
	epoch state.Epoch
	// expires is on this node's clock. The term counts from before the request was
	// sent.
	expires time.Time
	tokens  fleet.Tokens
	// remaining is the number of tokens that are not taken. The tokens that are neither
	// remaining, spent nor returned are in use by calls.
	remaining, spent, returned fleet.Tokens
	// reported is the sum of spent and returned that was last sent to the holder.
	reported fleet.Tokens
	lastUse  time.Time
}

// settled reports whether all tokens are spent or returned.
func (h *heldGrant) settled() bool { return h.spent+h.returned >= h.tokens }

// tokenPool holds the granted tokens of one organisation at this node, and the state
// that is needed to request more.
type tokenPool struct {
	// mu guards all fields.
	mu     sync.Mutex
	grants []*heldGrant
	// requesting is set while a request for tokens is in flight.
	requesting bool
	// responded is closed and replaced when a request ends.
	responded chan struct{}
	// demand is the exponentially decaying count of calls at demandUpdated.
	demand        float64
	demandUpdated time.Time
	// preferredSlots are the slots of the organisation in the order of preference,
	// under the limits that ticket set. It is nil before the first request.
	preferredSlots []int
	ticket         fleet.TicketNumber
	// allCalls and criticalCalls limit all calls that enter at this node, and the
	// critical ones among them, to what the whole fleet may start.
	allCalls, criticalCalls fleetBucket
	// criticalWaiting is the number of critical calls without a token yet.
	criticalWaiting int
	// waiting is the number of calls that wait for the end of a request.
	waiting int
	// backoffs holds the holders that get no requests for some time.
	backoffs map[fleet.MemberID]holderBackoff
}

// holderBackoff is a period in which a holder gets no requests.
type holderBackoff struct {
	until time.Time
	// outOfTokens reports whether the holder replied that it had no tokens. If it is
	// false, the request failed or the holder could not grant tokens of the
	// organisation.
	outOfTokens bool
}

// token is a token that was taken for a call. It is in use until the call has ended or
// can no longer start.
type token struct {
	pool    *tokenPool
	grant   *heldGrant
	startBy time.Time
}

// spend marks the token as spent, so that it is reported to its holder.
func (t *token) spend() {
	t.pool.mu.Lock()
	defer t.pool.mu.Unlock()
	t.grant.spent++
}

// awaitResponse waits for the end of the request in flight or of ctx. The caller holds
// mu, which is released during the wait.
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

// emptyHolders returns the number of slots whose holders replied recently that they
// have no tokens, and whether these are all slots of the organisation. Only then is it
// certain that the organisation is over its rate: a slot that is vacant, or whose
// holder is unresponsive or may not grant tokens yet, may have tokens left.
func (p *tokenPool) emptyHolders(v *config.View, now time.Time) (n int, all bool) {
	for _, slot := range p.preferredSlots {
		backoff := p.backoffs[v.State.Slots[slot].Holder]
		if backoff.outOfTokens && now.Before(backoff.until) {
			n++
		}
	}
	return n, n == len(p.preferredSlots)
}

// withinRate counts a call and reports whether the calls at this node are within the
// rate of the whole fleet. Critical calls are compared with the rate apart from other
// calls.
func (p *tokenPool) withinRate(o *state.InForce[ticket.Organisation], critical bool, now time.Time) bool {
	allowed := p.allCalls.take(&o.Value, o.Ticket, now)
	if critical {
		return p.criticalCalls.take(&o.Value, o.Ticket, now)
	}
	return allowed
}

// takeToken takes a held token for a call that starts within window. It returns nil if
// there is none, or if the call is not critical while critical calls wait.
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

// recordDemand counts a call in the estimate of demand.
func (p *tokenPool) recordDemand(now time.Time) {
	if elapsed := now.Sub(p.demandUpdated); elapsed > 0 {
		p.demand *= math.Exp(-float64(elapsed) / float64(demandTimeConstant))
		p.demandUpdated = now
	}
	p.demand++
}

// available returns the number of held tokens that calls can take.
func (p *tokenPool) available(now time.Time) fleet.Tokens {
	var sum fleet.Tokens
	for _, h := range p.grants {
		if h.expires.Sub(now) >= startWindow {
			sum += h.remaining
		}
	}
	return sum
}

// requestSize returns the number of tokens to request: the number of waiting calls or
// of the calls expected within requestHorizon, whichever is larger, but at least 1.
func (p *tokenPool) requestSize() fleet.Tokens {
	expected := p.demand * float64(requestHorizon) / float64(demandTimeConstant)
	return fleet.Tokens(max(float64(p.waiting), math.Ceil(expected), 1))
}

// nextHolder returns the first holder, in order of preferredSlots, that may get a
// request. It returns "" if there is none.
func (p *tokenPool) nextHolder(v *config.View, now time.Time) fleet.MemberID {
	for _, slot := range p.preferredSlots {
		if id := v.State.Slots[slot].Holder; id != "" && !now.Before(p.backoffs[id].until) {
			return id
		}
	}
	return ""
}

// backOff sends no requests to a holder until it may have tokens again. A retryAfterMs
// of 0 means that the request failed or that the holder could not grant tokens.
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

// addGrant adds a grant that was requested at start.
func (p *tokenPool) addGrant(g *peerrpc.Granted, start time.Time) {
	tokens := fleet.Tokens(g.GetTokens())
	p.grants = append(p.grants, &heldGrant{
		id: GrantID(g.GetLoan()), slot: int(g.GetSlot()), epoch: state.Epoch(g.GetEpoch()),
		expires: start.Add(time.Duration(g.GetTermMs()) * time.Millisecond),
		tokens:  tokens, remaining: tokens, lastUse: start,
	})
}

// settlements returns the settlements of the grants from one holder that changed since
// the last report, and marks them as reported.
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

// returnIdle marks the remaining tokens of idle grants, or of all grants, as returned.
func (p *tokenPool) returnIdle(now time.Time, all bool) {
	for _, h := range p.grants {
		if h.remaining > 0 && (all || now.Sub(h.lastUse) > idleTimeout) {
			h.returned += h.remaining
			h.remaining = 0
		}
	}
}

// holders returns the holders of the slots of all grants, each one once.
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

// prune removes the grants that are settled and reported, or that expired more than a
// second ago.
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

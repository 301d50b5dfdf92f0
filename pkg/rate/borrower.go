package rate

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// askAhead is the demand that one loan should cover.
	askAhead = 50 * time.Millisecond
	// idleAfter is how long a loan may lie unused before it goes back.
	idleAfter = 150 * time.Millisecond
	// settleEvery is the period of reports on loans.
	settleEvery = 50 * time.Millisecond
	// askTimeout bounds one request for tokens.
	askTimeout = 250 * time.Millisecond
	// avoidMost bounds how long a holder without tokens is not asked again.
	avoidMost = 50 * time.Millisecond
	// avoidFailed is how long a holder that did not answer is not asked again.
	avoidFailed = 300 * time.Millisecond
	// holderPatience bounds the wait of a call while no holder answers.
	holderPatience = 400 * time.Millisecond
	// holderPause is the wait before holders are looked for again.
	holderPause = 20 * time.Millisecond
	// demandMemory is the time constant of the demand estimate.
	demandMemory = time.Second
	// spareBurst is the burst for each member of the fleet from which a node
	// may hold tokens that no call waits for.
	spareBurst = 4
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

// Borrower takes tokens for calls that enter at this node. All exported fields
// must be set.
type Borrower struct {
	Self     fleet.MemberID
	Follower *config.Follower
	Clock    clock.Clock
	// Ask sends a request to the member that holds a slot.
	Ask func(ctx context.Context, holder fleet.MemberID, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error)
	// Off lets every call through.
	Off bool

	accounts sync.Map
}

func (b *Borrower) account(id fleet.OrganisationID) *account {
	if found, ok := b.accounts.Load(id); ok {
		return found.(*account)
	}
	found, _ := b.accounts.LoadOrStore(id, &account{answered: make(chan struct{})})
	return found.(*account)
}

// Filter returns the filter that spends a token for each call with a key.
func (b *Borrower) Filter() call.Filter {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Answer, error) {
			if b.Off || c.Organisation == "" {
				return next(ctx, c)
			}
			token, err := b.take(ctx, c)
			if err != nil {
				return nil, err
			}
			c.StartBy = token.startBy
			stop := b.Clock.AfterFunc(token.startBy.Sub(b.Clock.Now()), token.spend)
			answer, err := next(ctx, c)
			if stop() {
				token.spend()
			}
			return answer, err
		}
	}
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

func (b *Borrower) take(ctx context.Context, c *call.Call) (*token, error) {
	o := b.Follower.View().Organisation(c.Organisation)
	if o == nil {
		return nil, problem.New(problem.KindKey, "the organisation of the key is not in force")
	}
	a := b.account(c.Organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.noteDemand(b.Clock.Now())
	giveUp := b.Clock.Now().Add(holderPatience)
	window := startWindow
	if c.Action() {
		window = actionStartWindow
	}
	for {
		now := b.Clock.Now()
		if t := a.takeHeld(now, window); t != nil {
			b.prefetch(c.Organisation, a)
			return t, nil
		}
		switch {
		case ctx.Err() != nil || c.Remaining(now) <= 0:
			return nil, problem.New(problem.KindDeadline, "the deadline passed before a token of the organisation's rate was had")
		case b.ask(c.Organisation, a):
			a.await(ctx)
		case a.empty(b.Follower.View(), now):
			return nil, overRate(c, o.Rate)
		case now.After(giveUp):
			return nil, noHolder()
		default:
			b.sleep(ctx, a)
		}
	}
}

// sleep waits a moment without the lock.
func (b *Borrower) sleep(ctx context.Context, a *account) {
	a.mu.Unlock()
	defer a.mu.Lock()
	_ = clock.Sleep(ctx, b.Clock, holderPause)
}

// noHolder refuses a call because nobody who could lend a token answers.
func noHolder() error {
	e := problem.New(problem.KindNotReady, "no holder of the organisation's rate slots answers")
	e.RetryAfter = time.Second
	return e
}

func overRate(c *call.Call, rate fleet.Rate) error {
	e := problem.New(problem.KindRate, fmt.Sprintf("organisation %s is over its rate of %g calls a second", c.Organisation, float64(rate)))
	e.RetryAfter = time.Second
	return e
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

// empty tells whether every holder said lately that it has no token left. While
// one of them is unknown, silent or not open yet, nobody can say that the
// organisation is over its rate.
func (a *account) empty(v *config.View, now time.Time) bool {
	for _, slot := range a.slots {
		shunned := a.avoid[v.State.Slots[slot].Holder]
		if !shunned.empty || !now.Before(shunned.until) {
			return false
		}
	}
	return true
}

// takeHeld takes a token that is at hand, for a call that starts within window.
func (a *account) takeHeld(now time.Time, window time.Duration) *token {
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

// prefetch asks for tokens before they run out, where the burst is large enough
// for every member to hold some.
func (b *Borrower) prefetch(id fleet.OrganisationID, a *account) {
	view := b.Follower.View()
	o := view.Organisation(id)
	if float64(o.Burst) < spareBurst*float64(len(view.All)) {
		return
	}
	if a.free(b.Clock.Now()) < a.wanted()/2+0.5 {
		b.ask(id, a)
	}
}

// ask starts a request for tokens, unless one is under way. It reports false
// where there is no holder to ask.
func (b *Borrower) ask(id fleet.OrganisationID, a *account) bool {
	if a.asking {
		return true
	}
	view := b.Follower.View()
	o, known := view.State.Organisations[id]
	if !known {
		return false
	}
	if a.ticket != o.Ticket || a.slots == nil {
		a.slots, a.ticket = slotsOf(&o.Value, b.Self), o.Ticket
	}
	holder := a.holder(view, b.Clock.Now())
	if holder == "" {
		return false
	}
	a.asking = true
	go b.request(id, a, holder, a.wanted(), a.reports(id, holder, view))
	return true
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

func (b *Borrower) request(id fleet.OrganisationID, a *account, holder fleet.MemberID, wanted fleet.Tokens, settled []*peerrpc.Settle) {
	began := b.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	reply, err := b.Ask(ctx, holder, &peerrpc.BorrowRequest{
		Borrower: string(b.Self), Settled: settled,
		Wanted: []*peerrpc.Want{{Organisation: string(id), Tokens: float64(wanted)}},
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil || len(reply.GetGranted()) == 0 {
		a.shun(holder, b.Clock.Now(), reply.GetRetryAfterMs())
	}
	for _, g := range reply.GetGranted() {
		a.add(g, began)
	}
	a.asking = false
	close(a.answered)
	a.answered = make(chan struct{})
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

// Run reports on loans and gives idle tokens back until ctx ends.
func (b *Borrower) Run(ctx context.Context) {
	clock.Every(ctx, b.Clock, clock.Fixed(settleEvery), func(ctx context.Context) { b.settleAll(ctx, false) })
}

// GiveBack returns every token that is left, at the stop of a node.
func (b *Borrower) GiveBack(ctx context.Context) { b.settleAll(ctx, true) }

// settleAll sends what is due; all gives back every token that is left.
func (b *Borrower) settleAll(ctx context.Context, all bool) {
	view := b.Follower.View()
	byHolder := map[fleet.MemberID][]*peerrpc.Settle{}
	b.accounts.Range(func(key, value any) bool {
		id, a := key.(fleet.OrganisationID), value.(*account)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.giveBack(b.Clock.Now(), all)
		for _, holder := range a.holders(view) {
			byHolder[holder] = append(byHolder[holder], a.reports(id, holder, view)...)
		}
		a.forget(b.Clock.Now())
		return true
	})
	for holder, settled := range byHolder {
		if len(settled) == 0 {
			continue
		}
		go func() {
			askCtx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, _ = b.Ask(askCtx, holder, &peerrpc.BorrowRequest{Borrower: string(b.Self), Settled: settled})
		}()
	}
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

package rate

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
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
	// holderPatience bounds the wait of a call while a holder does not answer.
	// A call waits for half of its time at most, so that it can be told why.
	holderPatience = time.Second
	// holderPause is the wait before holders are looked for again.
	holderPause = 20 * time.Millisecond
	// maxTokens bounds the tokens that one call may use up.
	maxTokens = 3
	// demandMemory is the time constant of the demand estimate.
	demandMemory = time.Second
	// spareBurst is the burst for each member of the fleet from which a node
	// may hold tokens that no call waits for.
	spareBurst = 4
)

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
func (b *Borrower) Filter() call.Middleware {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Response, error) {
			if b.Off || c.Organisation == "" {
				return next(ctx, c)
			}
			for try := 1; ; try++ {
				answer, err := b.spendOn(ctx, c, next)
				if try == maxTokens || !startedLate(err) || c.Remaining(b.Clock.Now()) <= 0 {
					return answer, err
				}
			}
		}
	}
}

// spendOn takes a token for a call and settles it when the call has ended or can
// no longer start.
func (b *Borrower) spendOn(ctx context.Context, c *call.Call, next call.Handler) (*call.Response, error) {
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

// startedLate tells whether a call did not run because its token's time to start
// had passed, as after a try at an instance that turned out to be silent.
func startedLate(err error) bool {
	p, refused := err.(*problem.Error)
	return refused && p.Kind == problem.KindDeadline && p.Execution == problem.NotExecuted
}

func (b *Borrower) take(ctx context.Context, c *call.Call) (*token, error) {
	o, known := b.Follower.View().State.Organisations[c.Organisation]
	if !known {
		return nil, problem.New(problem.KindInvalidKey, "the organisation of the key is not in force")
	}
	a := b.account(c.Organisation)
	a.mu.Lock()
	defer a.mu.Unlock()
	began := b.Clock.Now()
	a.noteDemand(began)
	critical := c.Route.Class == fleet.ClassCritical
	within := a.within(&o, critical, began)
	if critical {
		a.critical++
		defer func() { a.critical-- }()
	}
	giveUp := began.Add(min(holderPatience, c.Remaining(began)/2))
	for {
		now := b.Clock.Now()
		if t := a.takeHeld(now, windowOf(c), critical); t != nil {
			b.prefetch(c.Organisation, a)
			return t, nil
		}
		switch {
		case ctx.Err() != nil || c.Remaining(now) <= 0:
			return nil, problem.New(problem.KindDeadline, "the deadline passed before a token of the organisation's rate was had")
		case b.ask(c.Organisation, a):
			a.await(ctx)
		case b.over(a, within && now.Before(giveUp), critical, now):
			return nil, overRate(c, o.Value.Rate)
		case now.After(giveUp):
			return nil, noHolder()
		default:
			b.sleep(ctx, a)
		}
	}
}

// windowOf returns how long after its token was taken a call may start.
func windowOf(c *call.Call) time.Duration {
	if c.IsAction() {
		return actionStartWindow
	}
	return startWindow
}

// over tells whether a call for which no token is to be had is over the rate:
// for sure if all holders are empty. A call that is not worth a longer wait, or is
// above what the whole fleet may start, is taken for over if some holder is empty.
// A critical call that is worth it waits for one of the next tokens, so that an
// organisation over its rate loses other calls first.
func (b *Borrower) over(a *account, worthWaiting, critical bool, now time.Time) bool {
	if critical && worthWaiting {
		return false
	}
	some, all := a.empty(b.Follower.View(), now)
	return all || some > 0 && !worthWaiting
}

// sleep waits a moment without the lock.
func (b *Borrower) sleep(ctx context.Context, a *account) {
	a.mu.Unlock()
	defer a.mu.Lock()
	_ = clock.Sleep(ctx, b.Clock, holderPause)
}

// noHolder refuses a call because nobody who could lend a token answers.
func noHolder() error {
	e := problem.New(problem.KindNoRateHolder, "no holder of the organisation's rate slots answers; repeat the call after a moment")
	e.RetryAfter = time.Second
	return e
}

func overRate(c *call.Call, rate fleet.Rate) error {
	e := problem.New(problem.KindRateExceeded, fmt.Sprintf("organisation %s is over its rate of %g calls a second", c.Organisation, float64(rate)))
	e.RetryAfter = time.Second
	return e
}

// prefetch asks for tokens before they run out, where the burst is large enough
// for every member to hold some.
func (b *Borrower) prefetch(id fleet.OrganisationID, a *account) {
	view := b.Follower.View()
	o := view.Organisation(id)
	if float64(o.Burst) < spareBurst*float64(len(view.Members)) {
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

// Run reports on loans and gives idle tokens back until ctx ends.
func (b *Borrower) Run(ctx context.Context) {
	clock.Every(ctx, b.Clock, clock.FixedPeriod(settleEvery), func(ctx context.Context) { b.settleAll(ctx, false) })
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

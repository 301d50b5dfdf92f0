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
	// requestHorizon is the demand that one loan should cover.
	requestHorizon = 50 * time.Millisecond
	// idleTimeout is how long a loan may lie unused before it goes back.
	idleTimeout = 150 * time.Millisecond
	// settleInterval is the period of reports on loans.
	settleInterval = 50 * time.Millisecond
	// requestTimeout bounds one request for tokens.
	requestTimeout = 250 * time.Millisecond
	// maxEmptyBackoff bounds how long a holder without tokens is not asked again.
	maxEmptyBackoff = 50 * time.Millisecond
	// failedBackoff is how long a holder that did not answer is not asked again.
	failedBackoff = 300 * time.Millisecond
	// maxHolderWait bounds the wait of a call while a holder does not answer.
	// A call waits for half of its time at most, so that it can be told why.
	maxHolderWait = time.Second
	// holderRetryDelay is the wait before holders are looked for again.
	holderRetryDelay = 20 * time.Millisecond
	// maxTokensPerCall bounds the tokens that one call may use up.
	maxTokensPerCall = 3
	// demandTimeConstant is the time constant of the demand estimate.
	demandTimeConstant = time.Second
	// prefetchTokensPerMember is the burst for each member of the fleet from which a node
	// may hold tokens that no call waits for.
	prefetchTokensPerMember = 4
)

// Limiter takes tokens for calls that enter at this node. All exported fields
// must be set.
type Limiter struct {
	Self     fleet.MemberID
	Follower *config.Follower
	Clock    clock.Clock
	// RequestTokens sends a request to the member that holds a slot.
	RequestTokens func(ctx context.Context, holder fleet.MemberID, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error)
	// Off lets every call through.
	Off bool

	pools sync.Map
}

func (l *Limiter) pool(id fleet.OrganisationID) *tokenPool {
	if found, ok := l.pools.Load(id); ok {
		return found.(*tokenPool)
	}
	found, _ := l.pools.LoadOrStore(id, &tokenPool{responded: make(chan struct{})})
	return found.(*tokenPool)
}

// Middleware returns the filter that spends a token for each call with a key.
func (l *Limiter) Middleware() call.Middleware {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Response, error) {
			if l.Off || c.Organisation == "" {
				return next(ctx, c)
			}
			for try := 1; ; try++ {
				response, err := l.callWithToken(ctx, c, next)
				if try == maxTokensPerCall || !missedStartWindow(err) || c.Remaining(l.Clock.Now()) <= 0 {
					return response, err
				}
			}
		}
	}
}

// callWithToken takes a token for a call and settles it when the call has ended or can
// no longer start.
func (l *Limiter) callWithToken(ctx context.Context, c *call.Call, next call.Handler) (*call.Response, error) {
	t, err := l.takeToken(ctx, c)
	if err != nil {
		return nil, err
	}
	c.StartBy = t.startBy
	stopTimer := l.Clock.AfterFunc(t.startBy.Sub(l.Clock.Now()), t.spend)
	response, err := next(ctx, c)
	if stopTimer() {
		t.spend()
	}
	return response, err
}

// missedStartWindow tells whether a call did not run because its token's time to start
// had passed, as after a try at an instance that turned out to be silent.
func missedStartWindow(err error) bool {
	e, refused := err.(*problem.Error)
	return refused && e.Kind == problem.KindDeadline && e.Execution == problem.NotExecuted
}

func (l *Limiter) takeToken(ctx context.Context, c *call.Call) (*token, error) {
	o, known := l.Follower.View().State.Organisations[c.Organisation]
	if !known {
		return nil, problem.New(problem.KindInvalidKey, "the organisation of the key is not in force")
	}
	p := l.pool(c.Organisation)
	p.mu.Lock()
	defer p.mu.Unlock()
	start := l.Clock.Now()
	p.recordDemand(start)
	critical := c.Route.Class == fleet.ClassCritical
	withinRate := p.withinRate(&o, critical, start)
	if critical {
		p.criticalWaiting++
		defer func() { p.criticalWaiting-- }()
	}
	maxWaitEnd := start.Add(min(maxHolderWait, c.Remaining(start)/2))
	for {
		now := l.Clock.Now()
		if t := p.takeToken(now, startWindowOf(c), critical); t != nil {
			l.prefetch(c.Organisation, p)
			return t, nil
		}
		switch {
		case ctx.Err() != nil || c.Remaining(now) <= 0:
			return nil, problem.New(problem.KindDeadline, "the deadline passed before a token of the organisation's rate was had")
		case l.startRequest(c.Organisation, p):
			p.awaitResponse(ctx)
		case l.overRate(p, withinRate && now.Before(maxWaitEnd), critical, now):
			return nil, newRateExceededError(c, o.Value.Rate)
		case now.After(maxWaitEnd):
			return nil, newNoHolderError()
		default:
			l.sleepUnlocked(ctx, p)
		}
	}
}

// startWindowOf returns how long after its token was taken a call may start.
func startWindowOf(c *call.Call) time.Duration {
	if c.IsAction() {
		return actionStartWindow
	}
	return startWindow
}

// overRate tells whether a call for which no token is to be had is overRate the rate:
// for sure if all holders are empty. A call that is not worth a longer wait, or is
// above what the whole fleet may start, is taken for overRate if some holder is empty.
// A critical call that is worth it waits for one of the next tokens, so that an
// organisation overRate its rate loses other calls first.
func (l *Limiter) overRate(p *tokenPool, worthWaiting, critical bool, now time.Time) bool {
	if critical && worthWaiting {
		return false
	}
	emptyCount, allEmpty := p.emptyHolders(l.Follower.View(), now)
	return allEmpty || emptyCount > 0 && !worthWaiting
}

// sleepUnlocked waits a moment without the lock.
func (l *Limiter) sleepUnlocked(ctx context.Context, p *tokenPool) {
	p.mu.Unlock()
	defer p.mu.Lock()
	_ = clock.Sleep(ctx, l.Clock, holderRetryDelay)
}

// newNoHolderError refuses a call because nobody who could lend a token answers.
func newNoHolderError() error {
	e := problem.New(problem.KindNoRateHolder, "no holder of the organisation's rate slots answers; repeat the call after a moment")
	e.RetryAfter = time.Second
	return e
}

func newRateExceededError(c *call.Call, rate fleet.Rate) error {
	e := problem.New(problem.KindRateExceeded, fmt.Sprintf("organisation %s is over its rate of %g calls a second", c.Organisation, float64(rate)))
	e.RetryAfter = time.Second
	return e
}

// prefetch asks for tokens before they run out, where the burst is large enough
// for every member to hold some.
func (l *Limiter) prefetch(id fleet.OrganisationID, p *tokenPool) {
	view := l.Follower.View()
	o := view.Organisation(id)
	if float64(o.Burst) < prefetchTokensPerMember*float64(len(view.Members)) {
		return
	}
	if p.available(l.Clock.Now()) < p.requestSize()/2+0.5 {
		l.startRequest(id, p)
	}
}

// startRequest starts a request for tokens, unless one is under way. It reports false
// where there is no holder to startRequest.
func (l *Limiter) startRequest(id fleet.OrganisationID, p *tokenPool) bool {
	if p.requesting {
		return true
	}
	view := l.Follower.View()
	o, known := view.State.Organisations[id]
	if !known {
		return false
	}
	if p.ticket != o.Ticket || p.preferredSlots == nil {
		p.preferredSlots, p.ticket = preferredSlots(&o.Value, l.Self), o.Ticket
	}
	holder := p.nextHolder(view, l.Clock.Now())
	if holder == "" {
		return false
	}
	p.requesting = true
	go l.sendRequest(id, p, holder, p.requestSize(), p.settlements(id, holder, view))
	return true
}

func (l *Limiter) sendRequest(id fleet.OrganisationID, p *tokenPool, holder fleet.MemberID, wanted fleet.Tokens, settled []*peerrpc.Settle) {
	start := l.Clock.Now()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	reply, err := l.RequestTokens(ctx, holder, &peerrpc.BorrowRequest{
		Borrower: string(l.Self), Settled: settled,
		Wanted: []*peerrpc.Want{{Organisation: string(id), Tokens: float64(wanted)}},
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || len(reply.GetGranted()) == 0 {
		p.backOff(holder, l.Clock.Now(), reply.GetRetryAfterMs())
	}
	for _, g := range reply.GetGranted() {
		p.addGrant(g, start)
	}
	p.requesting = false
	close(p.responded)
	p.responded = make(chan struct{})
}

// Run reports on loans and gives idle tokens back until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	clock.Every(ctx, l.Clock, clock.FixedPeriod(settleInterval), func(ctx context.Context) { l.settleAll(ctx, false) })
}

// ReturnAll returns every token that is left, at the stop of a node.
func (l *Limiter) ReturnAll(ctx context.Context) { l.settleAll(ctx, true) }

// settleAll sends what is due; all gives back every token that is left.
func (l *Limiter) settleAll(ctx context.Context, all bool) {
	view := l.Follower.View()
	byHolder := map[fleet.MemberID][]*peerrpc.Settle{}
	l.pools.Range(func(key, value any) bool {
		id, p := key.(fleet.OrganisationID), value.(*tokenPool)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.returnIdle(l.Clock.Now(), all)
		for _, holder := range p.holders(view) {
			byHolder[holder] = append(byHolder[holder], p.settlements(id, holder, view)...)
		}
		p.prune(l.Clock.Now())
		return true
	})
	for holder, settled := range byHolder {
		if len(settled) == 0 {
			continue
		}
		go func() {
			requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
			defer cancel()
			_, _ = l.RequestTokens(requestCtx, holder, &peerrpc.BorrowRequest{Borrower: string(l.Self), Settled: settled})
		}()
	}
}

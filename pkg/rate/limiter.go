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
	// requestHorizon is how long the tokens of one request should last.
	requestHorizon = 50 * time.Millisecond
	// idleTimeout is how long a grant may be unused before its tokens are returned.
	idleTimeout = 150 * time.Millisecond
	// settleInterval is the time between reports of spent and returned tokens.
	settleInterval = 50 * time.Millisecond
	// requestTimeout limits the duration of one request for tokens or report.
	requestTimeout = 250 * time.Millisecond
	// maxEmptyBackoff limits how long a holder without tokens gets no requests.
	maxEmptyBackoff = 50 * time.Millisecond
	// failedBackoff is how long a holder gets no requests after a failed one.
	failedBackoff = 300 * time.Millisecond
	// maxHolderWait limits how long a call waits while no holder grants tokens. A call
	// also waits for at most half of the time to its deadline, so that the error can
	// still reach the caller.
	maxHolderWait = time.Second
	// holderRetryDelay is the delay before a waiting call looks for a holder again.
	holderRetryDelay = 20 * time.Millisecond
	// maxTokensPerCall limits the number of tokens that one call may spend.
	maxTokensPerCall = 3
	// demandTimeConstant is the time constant with which the estimate of demand decays.
	demandTimeConstant = time.Second
	// prefetchTokensPerMember is the minimum burst, in tokens per member of the fleet,
	// at which nodes request tokens before calls wait for them. With a smaller burst,
	// tokens held by one node would be missing at the others.
	prefetchTokensPerMember = 4
)

// Limiter takes a token for each call that enters at this node. All exported fields
// must be set. Its methods are safe for concurrent use.
type Limiter struct {
	Self     fleet.MemberID
	Follower *config.Follower
	Clock    clock.Clock
	// RequestTokens sends a request for tokens, or a report of settled ones, to a
	// member that holds slots.
	RequestTokens func(ctx context.Context, holder fleet.MemberID, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error)
	// Disabled turns off rate limiting: every call passes.
	Disabled bool

	// pools holds a *tokenPool for each fleet.OrganisationID.
	pools sync.Map
}

// pool returns the token pool of an organisation, and creates it on first use.
func (l *Limiter) pool(id fleet.OrganisationID) *tokenPool {
	if found, ok := l.pools.Load(id); ok {
		return found.(*tokenPool)
	}
	found, _ := l.pools.LoadOrStore(id, &tokenPool{responded: make(chan struct{})})
	return found.(*tokenPool)
}

// Middleware returns the middleware that spends a token for each call with an API key.
// If a call misses its start window, it is repeated with another token.
func (l *Limiter) Middleware() call.Middleware {
	return func(next call.Handler) call.Handler {
		return func(ctx context.Context, c *call.Call) (*call.Response, error) {
			if l.Disabled || c.Organisation == "" {
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

// callWithToken takes a token for a call and makes the call. The token is marked as
// spent when the call has ended or can no longer start.
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

// missedStartWindow reports whether a call was not executed because its start window
// had passed, for example after an attempt at an unresponsive instance.
func missedStartWindow(err error) bool {
	e, refused := err.(*problem.Error)
	return refused && e.Kind == problem.KindDeadline && e.Execution == problem.NotExecuted
}

// takeToken takes a token for a call, and waits for one if necessary. The error is a
// *problem.Error.
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

// startWindowOf returns how long a call may start after its token was taken.
func startWindowOf(c *call.Call) time.Duration {
	if c.IsAction() {
		return actionStartWindow
	}
	return startWindow
}

// overRate reports whether a call for which no token is available is rejected as over
// the rate. That is certain if all holders are out of tokens. A call that is not worth
// waiting longer, as it has waited too long or exceeds the rate of the whole fleet at
// this node, is also rejected if any holder is out of tokens. A critical call that is
// worth waiting is not rejected but waits for one of the next tokens, so that an
// organisation over its rate loses other calls first.
func (l *Limiter) overRate(p *tokenPool, worthWaiting, critical bool, now time.Time) bool {
	if critical && worthWaiting {
		return false
	}
	emptyCount, allEmpty := p.emptyHolders(l.Follower.View(), now)
	return allEmpty || emptyCount > 0 && !worthWaiting
}

// sleepUnlocked waits for holderRetryDelay. The caller holds p.mu, which is released
// during the wait.
func (l *Limiter) sleepUnlocked(ctx context.Context, p *tokenPool) {
	p.mu.Unlock()
	defer p.mu.Lock()
	_ = clock.Sleep(ctx, l.Clock, holderRetryDelay)
}

// newNoHolderError returns the error of a call that got no token because no holder that
// could grant one responds.
func newNoHolderError() error {
	e := problem.New(problem.KindNoRateHolder, "no holder of the organisation's rate slots answers; repeat the call after a moment")
	e.RetryAfter = time.Second
	return e
}

// newRateExceededError returns the error of a call that is over the rate.
func newRateExceededError(c *call.Call, rate fleet.Rate) error {
	e := problem.New(problem.KindRateExceeded, fmt.Sprintf("organisation %s is over its rate of %g calls a second", c.Organisation, float64(rate)))
	e.RetryAfter = time.Second
	return e
}

// prefetch requests tokens before they run out, if the burst is large enough for every
// member to hold some.
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

// startRequest starts a request for tokens, unless one is in flight. It reports false
// if there is no holder that may get a request. The caller holds p.mu.
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

// sendRequest sends one request and adds the granted tokens to the pool.
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

// Run reports spent tokens and returns idle ones until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	clock.Every(ctx, l.Clock, clock.FixedPeriod(settleInterval), func(ctx context.Context) { l.settleAll(ctx, false) })
}

// ReturnAll reports spent tokens and returns all remaining ones, when the node stops.
func (l *Limiter) ReturnAll(ctx context.Context) { l.settleAll(ctx, true) }

// settleAll reports the spent and returned tokens of all pools to their holders. It
// returns idle tokens, or all remaining ones if all is set.
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

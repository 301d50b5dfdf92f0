package entrance

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// usableRatioFraction and usableSlackFraction are the fractions of the
	// operator's limits that entrances use. The rest covers calls that retried
	// executions make and that are not recognised as retries.
	usableRatioFraction = 0.65
	usableSlackFraction = 0.8
	// maxDebtTokens bounds how far the calls of retried executions can overdraw
	// the budget.
	maxDebtTokens = 10.0
	// maxBorrowPeers is the number of peers that are asked for rate limit tokens for
	// one request.
	maxBorrowPeers = 5
	// borrowTokens is the number of tokens asked for: more than one, so that the
	// next requests have theirs too.
	borrowTokens = 3
	// borrowTimeout bounds the time to borrow tokens for one request.
	borrowTimeout = 30 * time.Millisecond
)

// RetryLimits bounds the retries, that is the requests sent to a further instance,
// over all nodes together.
type RetryLimits struct {
	// Ratio is the fraction of a service's requests that may be retried.
	Ratio float64
	// Slack is the number of retries beyond Ratio that are allowed in a window,
	// over all nodes.
	Slack float64
}

// retryBudget is a token bucket for each service. The requests at this entrance
// earn tokens and each retry spends one, so that the retries of all nodes together
// stay within the operator's limits. The zero value allows no retries. It is safe
// for concurrent use.
type retryBudget struct {
	// mu guards the fields below.
	mu sync.Mutex
	// tokens holds the tokens of each service. A negative number is a debt.
	tokens map[fleet.ServiceName]float64
	// tokensPerRequest is earned by each request, and maxTokens is the capacity of
	// each bucket.
	tokensPerRequest, maxTokens float64
}

// setLimits adapts the budget to the limits and to the number of nodes that share
// them.
func (b *retryBudget) setLimits(limits RetryLimits, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokensPerRequest = limits.Ratio * usableRatioFraction
	b.maxTokens = 0
	if b.tokensPerRequest > 0 {
		b.maxTokens = max(1, limits.Slack*usableSlackFraction/float64(max(nodes, 1)))
	}
}

func (b *retryBudget) addRequest(service fleet.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = map[fleet.ServiceName]float64{}
	}
	b.tokens[service] = min(b.tokens[service]+b.tokensPerRequest, b.maxTokens)
}

// chargeCalls deducts calls that the local instance makes again because the
// execution that makes them is a retry.
func (b *retryBudget) chargeCalls(service fleet.ServiceName, calls float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens == nil {
		b.tokens = map[fleet.ServiceName]float64{}
	}
	b.tokens[service] = max(b.tokens[service]-calls, -maxDebtTokens)
}

func (b *retryBudget) take(service fleet.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}

// service returns the service that the request is sent to.
func (r *Request) service() fleet.ServiceName { return fleet.ServiceName(r.message.Service) }

// takeRateToken uses one rate limit token of the request's organisation and
// reports whether there was one. It borrows tokens from peers if this node has
// none.
func (e *Entrance) takeRateToken(ctx context.Context, r *Request) bool {
	if r.Organisation == nil || r.Organisation.Rate <= 0 {
		return true
	}
	id := r.Organisation.ID
	if e.RateLimiter.Take(id) {
		return true
	}
	if !e.RateLimiter.MayBorrow(id) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	for _, peer := range e.Peers.ReachablePeers(maxBorrowPeers) {
		if ctx.Err() != nil {
			break
		}
		granted, err := peer.Borrow(ctx, id, borrowTokens)
		if err != nil && e.OnBorrowError != nil {
			e.OnBorrowError(r, peer, err)
		}
		e.RateLimiter.AddBorrowed(id, granted)
		if e.RateLimiter.Take(id) {
			return true
		}
	}
	e.RateLimiter.PauseBorrowing(id)
	return false
}

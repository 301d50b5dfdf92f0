package entrance

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// usableRatioFraction and usedSlack are the parts of the operator's budget that entrances
	// use; the rest is for calls of repeated runs that are not seen as repeats.
	usableRatioFraction = 0.65
	usableSlackFraction = 0.8
	// maxDebtTokens bounds what calls of repeated runs take from later repeats.
	maxDebtTokens = 10.0
	// maxLenders is how many peers are asked for tokens at once.
	maxLenders = 5
	// borrowTokens is how many tokens are asked for, so that the next requests have theirs.
	borrowTokens = 3
	// borrowTimeout bounds the wait for a peer's tokens.
	borrowTimeout = 30 * time.Millisecond
)

// RetryLimits bounds the requests that are sent to a further instance, over all
// nodes together.
type RetryLimits struct {
	// Ratio is the part of a service's requests that may be sent once more.
	Ratio float64
	// Slack is what may be sent once more beside that in a window, over all nodes.
	Slack float64
}

// retryBudget ties sending requests once more to the requests of each service at
// this entrance, so that the sum over all nodes stays within the operator's
// retryBudget. The zero value allows none.
type retryBudget struct {
	mu     sync.Mutex
	tokens map[fleet.ServiceName]float64
	// tokensPerRequest is earned by each request; maxTokens bounds what is saved.
	tokensPerRequest, maxTokens float64
}

// setLimits brings the budget up to the number of nodes that share it.
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

// chargeCalls counts calls that repeat others because the run that makes them does.
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

// service returns the service that the request goes to.
func (r *Request) service() fleet.ServiceName { return fleet.ServiceName(r.message.Service) }

// takeRateToken uses a token of the request's organisation, borrowing from peers where
// this node has none left.
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
	for _, peer := range e.Peers.Others(maxLenders) {
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

package entrance

import (
	"math/rand/v2"
	"sync"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/retrybudget"
)

const (
	// usableRatioFraction and usableSlackFraction are the fractions of the
	// operator's limits that entrances use. The rest covers calls that retried
	// executions make and that are not recognised as retries, and saved tokens that are
	// spent as the load falls.
	usableRatioFraction = 0.65
	usableSlackFraction = 0.8
	// maxDebtTokens bounds how far the calls of retried executions can overdraw
	// the budget.
	maxDebtTokens = 10.0
)

type (
	// RetryLimits bounds the retries, that is the requests sent to a further instance,
	// over all nodes together.
	RetryLimits struct {
		// Ratio is the fraction of a service's requests that may be retried.
		Ratio float64
		// Slack is the number of retries beyond Ratio that are allowed in a window,
		// over all nodes.
		Slack float64
	}

	// RetryDecision tells whether a rejected or lost call was sent to a further instance.
	RetryDecision string

	// retryBudget is a token bucket for each service. The requests at this entrance
	// earn tokens and each retry spends one, so that the retries of all nodes together
	// stay within the operator's limits. The zero value allows no retries. It is safe
	// for concurrent use.
	retryBudget struct {
		// mu guards the fields below.
		mu       sync.Mutex
		services map[fleet.ServiceName]*serviceBudget
		// tokensPerRequest is earned by each request, and maxTokens is the capacity of
		// each bucket.
		tokensPerRequest, maxTokens float64
	}

	// serviceBudget is the budget of one service.
	serviceBudget struct {
		// tokens is negative if there is a debt.
		tokens    float64
		allocator retrybudget.Allocator
	}
)

// Retry decisions.
const (
	// RetrySpent means that the call used a token.
	RetrySpent RetryDecision = "spent"
	// RetryReserved means that the tokens are left to calls that come first.
	RetryReserved RetryDecision = "reserved"
	// RetryExhausted means that there is no token.
	RetryExhausted RetryDecision = "exhausted"
)

// setLimits adapts the budget to the limits and to the number of nodes that share
// them, which is 0 if it is not known: this node has no share of the slack then.
func (b *retryBudget) setLimits(limits RetryLimits, nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokensPerRequest = limits.Ratio * usableRatioFraction
	b.maxTokens = 0
	if b.tokensPerRequest <= 0 {
		return
	}
	b.maxTokens = 1
	if nodes > 0 {
		b.maxTokens = max(1, limits.Slack*usableSlackFraction/float64(nodes))
	}
}

// service returns the budget of a service. The caller holds mu.
func (b *retryBudget) service(name fleet.ServiceName) *serviceBudget {
	if b.services == nil {
		b.services = map[fleet.ServiceName]*serviceBudget{}
	}
	s := b.services[name]
	if s == nil {
		s = &serviceBudget{}
		b.services[name] = s
	}
	return s
}

// addCall adds the tokens that a call earns, and deducts those of a call that the local
// instance makes because the execution that makes it is a retry. repeatFraction is the
// probability of that. It returns the tokens that were added, for takeBack.
func (b *retryBudget) addCall(service fleet.ServiceName, repeatFraction float64) (added float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	earned := b.tokensPerRequest * (1 - repeatFraction)
	s.allocator.Earn(earned)
	s.allocator.Charge(repeatFraction)
	added = max(0, min(earned, b.maxTokens-s.tokens))
	s.tokens = max(s.tokens+added-repeatFraction, -maxDebtTokens)
	return added
}

// takeBack removes the tokens that a request added which has reached no instance.
func (b *retryBudget) takeBack(service fleet.ServiceName, added float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.allocator.Charge(added)
	s.tokens = max(s.tokens-added, -maxDebtTokens)
}

// takeFor spends a token on a call if there is one and it is not reserved for others.
func (b *retryBudget) takeFor(service fleet.ServiceName, c retrybudget.Call) RetryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	allowed := s.allocator.Allows(c, s.tokens, b.maxTokens)
	switch {
	case s.tokens < 1:
		return RetryExhausted
	case !allowed:
		return RetryReserved
	}
	s.tokens--
	return RetrySpent
}

// RetryTokens returns the tokens that are left for retries of calls to each service.
func (e *Entrance) RetryTokens() map[fleet.ServiceName]float64 {
	b := &e.retryBudget
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := map[fleet.ServiceName]float64{}
	for name, s := range b.services {
		tokens[name] = s.tokens
	}
	return tokens
}

// service returns the service that the request is sent to.
func (r *Request) service() fleet.ServiceName { return fleet.ServiceName(r.message.Service) }

// earnRetries adds what the request earns to the budget, and returns the tokens that were added. A call of a retried execution is
// itself a retry, and so are the calls of its own execution. Where it is not known whether
// the execution is one, a random call is marked, so that the fraction is right further down.
func (e *Entrance) earnRetries(r *Request) (added float64) {
	repeatFraction := 0.0
	switch {
	case r.Caller.Known:
		repeatFraction = r.Caller.RepeatFraction
	case r.Inner && e.RetryFraction != nil:
		repeatFraction = e.RetryFraction()
	}
	r.message.Repeat = rand.Float64() < repeatFraction
	return e.retryBudget.addCall(r.service(), repeatFraction)
}

// takeRetry uses one retry of the budget and reports whether the request may be
// sent to a further instance.
func (e *Entrance) takeRetry(r *Request) bool {
	r.InstancesReached = max(r.InstancesReached, 1)
	if !e.mayRetry(r) {
		return false
	}
	decision := e.retryBudget.takeFor(r.service(), retryCall(r))
	if e.OnRetry != nil {
		e.OnRetry(r, decision)
	}
	if decision != RetrySpent {
		return false
	}
	r.InstancesReached++
	r.message.Repeat = true
	return true
}

// retryCall describes the request to the retry budget. A request of a client is complete
// with its only call.
func retryCall(r *Request) retrybudget.Call {
	return retrybudget.Call{Known: r.Caller.Known || !r.Inner, Remaining: r.Caller.Remaining, Priority: r.message.Priority}
}

// mayRetry reports whether the route's maximum of attempts and the deadline permit
// a retry.
func (e *Entrance) mayRetry(r *Request) bool {
	return max(r.InstancesReached, 1) < r.Route.MaxAttempts && e.Clock.Now().Before(r.Deadline)
}

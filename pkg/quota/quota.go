// Package quota limits the request rate of each organisation over all nodes.
// Each node holds a token bucket with an equal share of the organisation's rate
// and burst. Nodes lend tokens to each other, and no token exists on two nodes:
// the lender deducts tokens before it sends them, and a grant lost on the way
// is not replaced. The sum therefore stays within rate and burst during network
// partitions, process crashes, pauses and restarts, without a call to the
// store.
package quota

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// borrowRetryDelay is the time without further requests for tokens after no
	// peer could lend any to an organisation.
	borrowRetryDelay = 150 * time.Millisecond
	// maxBorrowedTokens bounds the tokens in a bucket whose capacity is
	// smaller.
	maxBorrowedTokens = 3.0
	// lendFraction is the fraction of its tokens that a node with at least one
	// whole token lends at once.
	lendFraction = 0.5
)

// Limit is the rate and burst of an organisation over all nodes.
type Limit struct {
	Rate  fleet.Rate
	Burst fleet.Tokens
}

// Limiter holds this node's token buckets. Set Clock before use. It is safe for
// concurrent use.
type Limiter struct {
	Clock clock.Clock
	// StartFull makes the buckets start full. Set it only if no tokens were
	// spent before this node started.
	StartFull bool

	mu      sync.Mutex
	buckets map[fleet.OrganisationID]*bucket
	nodes   int
}

// bucket is this node's token bucket for one organisation. The rate is in tokens
// per second.
type bucket struct {
	limit Limit
	// tokens exceeds the capacity only by borrowed or returned tokens.
	tokens         float64
	rate, capacity float64
	refilledAt     time.Time
	// borrowAt is the earliest time at which peers may be asked for tokens.
	borrowAt time.Time
}

// Update sets the limits and the number of nodes that share them. An
// organisation that is not in limits has no limit.
func (l *Limiter) Update(limits map[fleet.OrganisationID]Limit, nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.buckets == nil {
		l.buckets = map[fleet.OrganisationID]*bucket{}
	}
	l.nodes = max(nodes, 1)
	for id, limit := range limits {
		b := l.buckets[id]
		if b == nil {
			b = &bucket{refilledAt: now}
			l.buckets[id] = b
			b.setLimit(limit, l.nodes)
			if l.StartFull {
				b.tokens = b.capacity
			}
			continue
		}
		b.refill(now)
		b.setLimit(limit, l.nodes)
	}
	for id := range l.buckets {
		if _, limited := limits[id]; !limited {
			delete(l.buckets, id)
		}
	}
	l.StartFull = false
}

func (b *bucket) setLimit(limit Limit, nodes int) {
	b.limit = limit
	b.rate = float64(limit.Rate) / float64(nodes)
	b.capacity = float64(limit.Burst) / float64(nodes)
	b.tokens = min(b.tokens, b.capacity)
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), max(b.capacity, b.tokens))
	}
	b.refilledAt = now
}

// Take uses one token of an organisation and reports whether there was one. It
// always returns true for an organisation without a limit.
func (l *Limiter) Take(id fleet.OrganisationID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	if b == nil {
		return true
	}
	b.refill(l.Clock.Now())
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Return gives back the token of a request that did not run.
func (l *Limiter) Return(id fleet.OrganisationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil {
		b.tokens = min(b.tokens+1, max(b.capacity, 1))
	}
}

// MayBorrow reports whether peers may be asked for tokens now.
func (l *Limiter) MayBorrow(id fleet.OrganisationID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	return b != nil && !l.Clock.Now().Before(b.borrowAt)
}

// PauseBorrowing stops requests for tokens for borrowRetryDelay, after no peer
// had any.
func (l *Limiter) PauseBorrowing(id fleet.OrganisationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil {
		b.borrowAt = l.Clock.Now().Add(borrowRetryDelay)
	}
}

// Lend deducts up to the wanted number of tokens for a peer and returns the
// number deducted.
func (l *Limiter) Lend(id fleet.OrganisationID, wanted float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	if b == nil {
		return 0
	}
	b.refill(l.Clock.Now())
	// A fraction of a token is of no use here, but may complete one on the
	// peer.
	spare := b.tokens
	if spare >= 1 {
		spare *= lendFraction
	}
	granted := min(wanted, spare)
	if granted <= 0 {
		return 0
	}
	b.tokens -= granted
	return granted
}

// AddBorrowed adds tokens that a peer has deducted. Tokens beyond both the
// capacity and maxBorrowedTokens are dropped: hoarded tokens would let a later
// burst exceed the limit.
func (l *Limiter) AddBorrowed(id fleet.OrganisationID, granted float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil && granted > 0 {
		b.tokens = min(b.tokens+granted, max(b.capacity, maxBorrowedTokens))
	}
}

// RetryAfter estimates the time until this node's bucket has a whole token
// again.
func (l *Limiter) RetryAfter(id fleet.OrganisationID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	if b == nil || b.rate <= 0 {
		return time.Second
	}
	return time.Duration((1 - min(b.tokens, 1)) / b.rate * float64(time.Second))
}

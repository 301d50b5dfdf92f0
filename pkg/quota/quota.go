// Package quota keeps organisations within their rate over all nodes. Each node
// holds a share of every organisation's rate and burst. Tokens move between
// nodes and are never in two places: who gives deducts first, and a grant that is
// lost is lost. So the sum stays within rate and burst through cuts, kills,
// pauses and restarts, without a call to the store.
package quota

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// borrowRetryDelay is how long an organisation whose tokens no peer could lend is
	// refused without asking again.
	borrowRetryDelay = 150 * time.Millisecond
	// maxBorrowedTokens bounds the tokens of a node whose share is smaller.
	maxBorrowedTokens = 3.0
	// lendFraction is the part of its whole tokens that a node lends at once.
	lendFraction = 0.5
)

// Limit is what an organisation may send over all nodes.
type Limit struct {
	Rate  fleet.Rate
	Burst fleet.Tokens
}

// Limiter holds this node's share of the bounds. Set Clock before use.
type Limiter struct {
	Clock clock.Clock
	// StartFull tells that the shares start full: nothing was spent before this node started.
	StartFull bool

	mu      sync.Mutex
	buckets map[fleet.OrganisationID]*bucket
	nodes   int
}

type bucket struct {
	limit Limit
	// tokens is never above depth.
	tokens         float64
	rate, capacity float64
	refilledAt     time.Time
	// borrowAt is when peers may be asked for tokens again.
	borrowAt time.Time
}

// Update sets the bounds and the number of nodes that share them. Organisations
// without a bound are left out by the caller.
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

// Take uses a token of an organisation and tells whether there was one. An
// organisation without a bound always has one.
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

// Return hands back the token of a request that did not run.
func (l *Limiter) Return(id fleet.OrganisationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil {
		b.tokens = min(b.tokens+1, max(b.capacity, 1))
	}
}

// MayBorrow tells whether it is worth asking peers for tokens now.
func (l *Limiter) MayBorrow(id fleet.OrganisationID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	return b != nil && !l.Clock.Now().Before(b.borrowAt)
}

// PauseBorrowing notes that peers had no tokens.
func (l *Limiter) PauseBorrowing(id fleet.OrganisationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil {
		b.borrowAt = l.Clock.Now().Add(borrowRetryDelay)
	}
}

// Lend deducts tokens for a peer and returns how many.
func (l *Limiter) Lend(id fleet.OrganisationID, wanted float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	if b == nil {
		return 0
	}
	b.refill(l.Clock.Now())
	// Less than a whole token is of no use here, and may complete one elsewhere.
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

// AddBorrowed takes tokens that a peer has deducted. What exceeds the share by more
// than a few is dropped: hoarded tokens would let a later window overflow.
func (l *Limiter) AddBorrowed(id fleet.OrganisationID, granted float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil && granted > 0 {
		b.tokens = min(b.tokens+granted, max(b.capacity, maxBorrowedTokens))
	}
}

// RetryAfter estimates when this node's share yields a token again.
func (l *Limiter) RetryAfter(id fleet.OrganisationID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	if b == nil || b.rate <= 0 {
		return time.Second
	}
	return time.Duration((1 - min(b.tokens, 1)) / b.rate * float64(time.Second))
}

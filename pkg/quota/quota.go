// Package quota limits the request rate of each organisation over all nodes.
//
// Each node holds a token bucket with an equal share of the organisation's rate and burst.
// At many nodes such a share is a small fraction of a token, so nodes give what they do not
// need to the organisation's home, the node that pools it, and borrow whole tokens there.
// This answers the load pattern of many small organisations whose requests enter anywhere.
//
// No token exists on two nodes: the giver deducts tokens before it sends them, and a message
// lost on the way is not replaced. A node that does not know how many nodes share the limits
// has no share: none is safe. Which node is an organisation's home is a hint only: two
// that both believe to be hold different tokens, and the pool of each is bounded by the nodes
// that give to it. A node that is no home any more hands over what it pools. The sum therefore
// stays within rate and burst during network partitions, process crashes, pauses and
// restarts, without a call to the store, except that a home which cannot see that its givers
// have left keeps what it pools beside the next home's pool, for giftLifetime. Beside the sum
// a node may hold up to maxBorrowedTokens that it has borrowed and not spent.
package quota

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/uptime"
)

const (
	// borrowRetryDelay is the time without further requests for tokens after no
	// peer could lend any to an organisation.
	borrowRetryDelay = 150 * time.Millisecond
	// maxBorrowedTokens bounds the tokens in a bucket whose capacity is
	// smaller.
	maxBorrowedTokens = 3.0
	// pooledFraction is the fraction of a burst that pools hold. The buckets of nodes that
	// give hold the rest.
	pooledFraction = 0.5
	// demandWeight is the weight of the last GiveInterval in the smoothed demand.
	demandWeight = 0.15
	// keptDemand is the demand that a node keeps tokens for, in units of its smoothed demand
	// in one GiveInterval.
	keptDemand = 3.0
	// minRetryAfter is the least time after which a request that found no token may find
	// one: what the home has is known that late.
	minRetryAfter = 300 * time.Millisecond
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
	// Uptime is a clock that counts suspensions of the machine, for the age of what other
	// nodes gave; nil means Clock.
	Uptime uptime.Source
	// StartFull makes the buckets start full. Set it only if no tokens were
	// spent before this node started.
	StartFull bool

	mu      sync.Mutex
	buckets map[fleet.OrganisationID]*bucket
	// nodes is the number of nodes that share the limits; 0 if it is not known.
	nodes int
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
	// pool holds what other nodes gave.
	pool pool
	// gave reports whether a pool may hold what the node gave, and gaveAt is the uptime of the
	// last gift, or of the start.
	gave   bool
	gaveAt time.Duration
	// taken counts the requests since the last Surplus, and demand is their smoothed
	// number.
	taken, demand float64
}

// Update sets the limits and the number of nodes that share them, which is 0 if it is not
// known: this node may then use only tokens that others lend. An organisation that is not in
// limits has no limit.
func (l *Limiter) Update(limits map[fleet.OrganisationID]Limit, nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	if l.buckets == nil {
		l.buckets = map[fleet.OrganisationID]*bucket{}
	}
	l.nodes = max(nodes, 0)
	startsFull := l.StartFull && l.nodes > 0
	for id, limit := range limits {
		b := l.buckets[id]
		if b == nil {
			b = l.newBucket(now, startsFull)
			l.buckets[id] = b
		}
		b.refill(now)
		b.setLimit(limit, l.nodes)
		if startsFull {
			b.tokens = b.capacity
		}
	}
	for id := range l.buckets {
		if _, limited := limits[id]; !limited {
			delete(l.buckets, id)
		}
	}
	if startsFull {
		l.StartFull = false
	}
}

// newBucket returns an empty bucket. Unless the fleet is new, a pool may hold what this node
// gave before it started.
func (l *Limiter) newBucket(now time.Time, newFleet bool) *bucket {
	return &bucket{refilledAt: now, gave: !newFleet, gaveAt: l.uptime()}
}

// SharesKnown reports whether this node knows its share of the limits.
func (l *Limiter) SharesKnown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodes > 0
}

// setLimit sets the limit and the number of nodes that share it; 0 nodes leave no share.
func (b *bucket) setLimit(limit Limit, nodes int) {
	before := b.capacity
	b.limit = limit
	b.rate, b.capacity = 0, 0
	if nodes > 0 {
		b.rate = float64(limit.Rate) / float64(nodes)
		b.capacity = float64(limit.Burst) / float64(nodes)
	}
	b.tokens = min(b.tokens, b.capacity)
	if b.capacity < before {
		b.tokens = min(b.tokens, b.room())
	}
	b.pool.capacityPerGiver = pooledFraction * b.capacity
	b.pool.trim()
}

// room returns what the bucket may hold beside what a pool may hold of the node's share: a
// gift may arrive at any time after it was sent.
func (b *bucket) room() float64 {
	if b.gave {
		return b.capacity * (1 - pooledFraction)
	}
	return b.capacity
}

// add adds tokens up to the room of the bucket, or up to most if that is more.
func (b *bucket) add(tokens, most float64) {
	b.tokens = max(b.tokens, min(b.tokens+tokens, max(b.room(), most)))
}

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), max(b.room(), b.tokens))
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
	b.taken++
	return b.take(l.uptime())
}

// take uses one token of the bucket, or of the pool and the bucket together.
func (b *bucket) take(now time.Duration) bool {
	b.pool.expire(now)
	if b.tokens+b.pool.tokens < 1 {
		return false
	}
	fromPool := min(b.pool.tokens, 1)
	b.pool.tokens -= fromPool
	b.tokens = max(b.tokens-(1-fromPool), 0)
	return true
}

// Return gives back the token of a request that did not run.
func (l *Limiter) Return(id fleet.OrganisationID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil {
		b.add(1, 1)
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
	// The comparison also fails for NaN, which would spread to all tokens.
	if b == nil || !(wanted > 0) {
		return 0
	}
	b.refill(l.Clock.Now())
	b.pool.expire(l.uptime())
	granted := b.pool.lend(wanted)
	// A fraction of a token is of no use here, but may complete one on the
	// peer.
	spare := b.tokens
	if spare >= 1 {
		spare *= lendFraction
	}
	fromBucket := max(min(wanted-granted, spare), 0)
	b.tokens -= fromBucket
	return granted + fromBucket
}

// AddBorrowed adds tokens that a peer has deducted. Tokens beyond both the room of
// the bucket and maxBorrowedTokens are dropped: hoarded tokens would let a later
// burst exceed the limit.
func (l *Limiter) AddBorrowed(id fleet.OrganisationID, granted float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil && granted > 0 {
		b.add(granted, maxBorrowedTokens)
	}
}

// RetryAfter estimates the time until the pool of the organisation has a whole token
// again.
func (l *Limiter) RetryAfter(id fleet.OrganisationID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	if b == nil || b.limit.Rate <= 0 {
		return time.Second
	}
	return max(time.Duration(float64(time.Second)/float64(b.limit.Rate)), minRetryAfter)
}

// uptime returns the time by the clock that counts suspensions.
func (l *Limiter) uptime() time.Duration {
	if l.Uptime == nil {
		return time.Duration(clock.MonotonicOf(l.Clock.Now()))
	}
	return l.Uptime()
}

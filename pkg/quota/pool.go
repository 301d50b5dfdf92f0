package quota

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// GiveInterval is the time between two looks at what a node may give.
	GiveInterval = 250 * time.Millisecond
	// maxGiftInterval is the time after which a node gives in any case, so that the home
	// goes on counting it as a giver.
	maxGiftInterval = 4 * GiveInterval
	// giftLifetime is how long a gift counts for the capacity of a pool.
	giftLifetime = 2 * maxGiftInterval
	// giftThreshold is the fraction of the room of a bucket from which its surplus is given
	// at once.
	giftThreshold = 0.4
)

// Giver identifies a node that gives tokens.
type Giver string

// Gift is a number of tokens of an organisation that the giver has deducted.
type Gift struct {
	Organisation fleet.OrganisationID
	Tokens       float64
}

// pool holds the tokens that other nodes gave to this one as the home of an organisation.
// Its capacity follows the number of nodes that give: the pools of two homes together hold
// no more than one that all nodes give to. The zero value is ready to use.
type pool struct {
	// tokens is at most capacityPerGiver for each giver.
	tokens           float64
	capacityPerGiver float64
	// lastGift holds the uptime of the last gift of each giver, for giftLifetime.
	lastGift map[Giver]time.Duration
	// checkedAt is the uptime of the last expire.
	checkedAt time.Duration
}

// receive adds a gift. Tokens beyond the capacity are dropped.
func (p *pool) receive(from Giver, tokens float64, now time.Duration) {
	p.expire(now)
	if p.lastGift == nil {
		p.lastGift = map[Giver]time.Duration{}
	}
	p.lastGift[from] = now
	if tokens > 0 {
		p.tokens += tokens
	}
	p.trim()
}

// expire forgets givers that have stopped to give, and drops the tokens that exceed the
// capacity then.
func (p *pool) expire(now time.Duration) {
	if len(p.lastGift) == 0 || now-p.checkedAt < giftLifetime/4 {
		return
	}
	p.checkedAt = now
	for giver, at := range p.lastGift {
		if now-at >= giftLifetime {
			delete(p.lastGift, giver)
		}
	}
	p.trim()
}

// empty forgets all givers and returns the tokens.
func (p *pool) empty(now time.Duration) float64 {
	p.expire(now)
	tokens := p.tokens
	p.tokens = 0
	clear(p.lastGift)
	return tokens
}

func (p *pool) trim() { p.tokens = min(p.tokens, p.capacityPerGiver*float64(len(p.lastGift))) }

// lend deducts up to the wanted number of tokens.
func (p *pool) lend(wanted float64) float64 {
	granted := max(min(wanted, p.tokens), 0)
	p.tokens -= granted
	return granted
}

// Surplus deducts tokens that this node does not need for its own requests and returns
// them, to be given to the homes of their organisations. It must be called every
// GiveInterval. Each organisation is listed at least every maxGiftInterval, with 0 tokens if
// there is no surplus.
func (l *Limiter) Surplus() []Gift {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, uptime := l.Clock.Now(), l.uptime()
	var gifts []Gift
	for id, b := range l.buckets {
		b.refill(now)
		b.demand += demandWeight * (b.taken - b.demand)
		b.taken = 0
		surplus := b.surplus()
		if surplus < giftThreshold*(1-pooledFraction)*b.capacity && b.gave && uptime-b.gaveAt < maxGiftInterval {
			continue
		}
		b.tokens -= surplus
		b.gave, b.gaveAt = true, uptime
		gifts = append(gifts, Gift{Organisation: id, Tokens: surplus})
	}
	return gifts
}

// surplus returns the tokens beyond what the node keeps for its own requests. It keeps no
// more than a giver may hold: the pool counts it as one, even if it gives nothing.
func (b *bucket) surplus() float64 {
	kept := min(keptDemand*b.demand, max((1-pooledFraction)*b.capacity, maxBorrowedTokens))
	if kept < 1 {
		// Less than a token is of no use here.
		kept = 0
	}
	return max(b.tokens-kept, 0)
}

// Receive adds a gift of another node to the pool of its organisation.
func (l *Limiter) Receive(from Giver, g Gift) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[g.Organisation]; b != nil {
		b.pool.receive(from, g.Tokens, l.uptime())
	}
}

// Keep adds to the pool what this node would give to itself, as the home of the
// organisation, or what could not be sent to another.
func (l *Limiter) Keep(g Gift) { l.Receive("", g) }

// HandOver deducts what this node pools for the organisations whose home is another node by
// now and returns it, to be given to their homes. It must be called every GiveInterval: a
// giver that has changed to the new home must not count here any more.
func (l *Limiter) HandOver(isHome func(fleet.OrganisationID) bool) []Gift {
	l.mu.Lock()
	defer l.mu.Unlock()
	var gifts []Gift
	for id, b := range l.buckets {
		if len(b.pool.lastGift) == 0 || isHome(id) {
			continue
		}
		gifts = append(gifts, Gift{Organisation: id, Tokens: b.pool.empty(l.uptime())})
	}
	return gifts
}

// TakeBorrowed is like Take, for a request that Take has counted already.
func (l *Limiter) TakeBorrowed(id fleet.OrganisationID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	return b == nil || b.take(l.uptime())
}

// PoolTokens returns the number of tokens in the pool of an organisation.
func (l *Limiter) PoolTokens(id fleet.OrganisationID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[id]; b != nil {
		b.pool.expire(l.uptime())
		return b.pool.tokens
	}
	return 0
}

// Wanted returns the number of tokens to borrow for a request and those that are expected
// to follow it soon.
func (l *Limiter) Wanted(id fleet.OrganisationID) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[id]
	if b == nil {
		return 0
	}
	missing := max(1-b.tokens-b.pool.tokens, 0)
	return missing + min(b.demand, maxBorrowedTokens-1)
}

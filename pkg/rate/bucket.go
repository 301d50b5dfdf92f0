package rate

import (
	"math"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

type (
	// GrantID numbers the loans of one lender.
	GrantID uint64

	// issuedGrant is an amount that is lent out.
	issuedGrant struct {
		tokens fleet.Tokens
		// settled is how much of it was spent or given back, at most tokens.
		settled fleet.Tokens
		// expires is when all of it is surely spent or void.
		expires time.Time
	}

	// bucket is what one slot carries of one organisation.
	// level plus what is outstanding never exceeds the part's burst.
	bucket struct {
		share share
		// ticket set the part.
		ticket      fleet.TicketNumber
		level       fleet.Tokens
		outstanding fleet.Tokens
		refilled    time.Time
		// lastChange is when anything was last lent, spent or given back; zero for never.
		lastChange time.Time
		grants     map[GrantID]*issuedGrant
		// expiryOrder lists loans in the order in which they expire; settled ones are
		// dropped when their turn comes.
		expiryOrder []GrantID
	}
)

// refill adds what the rate has yielded since the last time, and counts loans
// that have expired as spent.
func (b *bucket) refill(now time.Time) {
	b.expire(now)
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.level += b.share.rate.TokensIn(elapsed)
		b.refilled = now
	}
	b.clamp()
}

func (b *bucket) expire(now time.Time) {
	for len(b.expiryOrder) > 0 {
		g := b.grants[b.expiryOrder[0]]
		if g != nil && now.Before(g.expires) {
			return
		}
		if g != nil {
			b.lastChange = now
			b.outstanding -= g.tokens - g.settled
			delete(b.grants, b.expiryOrder[0])
		}
		b.expiryOrder = b.expiryOrder[1:]
	}
}

func (b *bucket) clamp() {
	b.level = min(b.level, b.share.burst-b.outstanding)
	b.level = max(b.level, 0)
}

// setShare sets a new part; a smaller one holds at once.
func (b *bucket) setShare(s share, now time.Time) {
	b.refill(now)
	b.share = s
	b.clamp()
}

// grant takes up to wanted whole tokens out of the bucket.
func (b *bucket) grant(id GrantID, wanted fleet.Tokens, now time.Time) fleet.Tokens {
	b.refill(now)
	amount := fleet.Tokens(math.Floor(float64(min(wanted, b.level) + roundingTolerance)))
	if amount < 1 {
		return 0
	}
	b.level = max(b.level-amount, 0)
	b.outstanding += amount
	b.lastChange = now
	if b.grants == nil {
		b.grants = map[GrantID]*issuedGrant{}
	}
	b.grants[id] = &issuedGrant{tokens: amount, expires: now.Add(grantTerm + clockMargin)}
	b.expiryOrder = append(b.expiryOrder, id)
	return amount
}

// roundingTolerance covers rounding when whole tokens are counted.
const roundingTolerance = 1e-9

// settle notes how much of a loan was spent so far and how much came back. The
// amounts are totals, so that a repeated message changes nothing.
func (b *bucket) settle(id GrantID, spent, returned fleet.Tokens, now time.Time) {
	b.refill(now)
	g := b.grants[id]
	if g == nil || spent+returned > g.tokens+roundingTolerance {
		return
	}
	if settled := spent + returned; settled > g.settled {
		b.lastChange = now
		b.outstanding -= settled - g.settled
		g.settled = settled
		b.level += returned
	}
	if g.settled >= g.tokens-roundingTolerance {
		delete(b.grants, id)
	}
	b.clamp()
}

// timeToToken returns how long until one token is there, if nothing else is lent.
func (b *bucket) timeToToken() time.Duration {
	if b.share.rate <= 0 {
		return time.Minute
	}
	missing := math.Max(1-float64(b.level), 0)
	return time.Duration(missing / float64(b.share.rate) * float64(time.Second))
}

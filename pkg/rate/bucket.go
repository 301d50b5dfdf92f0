package rate

import (
	"math"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

type (
	// GrantID identifies a grant among those of one allocator.
	GrantID uint64

	// issuedGrant is the issuer's record of granted tokens.
	issuedGrant struct {
		tokens fleet.Tokens
		// settled is the number of tokens that were reported as spent or returned.
		settled fleet.Tokens
		// expires is when the recipient can no longer use the tokens, whatever its
		// clock.
		expires time.Time
	}

	// bucket is the token bucket of one organisation in one slot. The sum of level and
	// outstanding does not exceed the burst of the share, unless the burst was lowered
	// while more tokens were outstanding.
	bucket struct {
		share share
		// ticket is the number of the ticket that set share.
		ticket fleet.TicketNumber
		// level is the number of tokens that can be granted.
		level fleet.Tokens
		// outstanding is the number of granted tokens that are not settled.
		outstanding fleet.Tokens
		// refilled is when the rate was last added to level.
		refilled time.Time
		// lastChange is when tokens were last granted, spent, returned or expired. It
		// is zero if none ever were.
		lastChange time.Time
		// grants holds the grants that are neither settled nor expired.
		grants map[GrantID]*issuedGrant
		// expiryOrder lists grants by expiry, earliest first. Settled grants stay in it
		// until they reach its head.
		expiryOrder []GrantID
	}
)

// refill adds the tokens that the rate has produced since the last refill. Grants that
// have expired count as spent.
func (b *bucket) refill(now time.Time) {
	b.expire(now)
	if elapsed := now.Sub(b.refilled); elapsed > 0 {
		b.level += b.share.rate.TokensIn(elapsed)
		b.refilled = now
	}
	b.clamp()
}

// expire removes the grants that have expired.
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

// clamp limits level to what the burst leaves beside the outstanding tokens.
func (b *bucket) clamp() {
	b.level = min(b.level, b.share.burst-b.outstanding)
	b.level = max(b.level, 0)
}

// setShare sets the share. A smaller one takes effect at once.
func (b *bucket) setShare(s share, now time.Time) {
	b.refill(now)
	b.share = s
	b.clamp()
}

// grant takes up to wanted whole tokens out of the bucket and records them under id. It
// returns their number, which may be 0.
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

// roundingTolerance is the error, in tokens, that is allowed for rounding when whole
// tokens are counted.
const roundingTolerance = 1e-9

// settle records how many tokens of a grant were spent and returned so far. The amounts
// are totals, so a repeated message has no effect.
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

// timeToToken returns how long it takes until one token can be granted, if no others
// are granted meanwhile.
func (b *bucket) timeToToken() time.Duration {
	if b.share.rate <= 0 {
		return time.Minute
	}
	missing := math.Max(1-float64(b.level), 0)
	return time.Duration(missing / float64(b.share.rate) * float64(time.Second))
}

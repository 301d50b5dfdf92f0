package rate

import (
	"math"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

type (
	// LoanID numbers the loans of one lender.
	LoanID uint64

	// loan is an amount that is lent out.
	loan struct {
		tokens fleet.Tokens
		// settled is how much of it was spent or given back, at most tokens.
		settled fleet.Tokens
		// expires is when all of it is surely spent or void.
		expires time.Time
	}

	// bucket is what one slot carries of one organisation.
	// level plus what is outstanding never exceeds the part's burst.
	bucket struct {
		part part
		// ticket set the part.
		ticket      fleet.TicketNumber
		level       fleet.Tokens
		outstanding fleet.Tokens
		updated     time.Time
		// touched is when anything was last lent, spent or given back; zero for never.
		touched time.Time
		loans   map[LoanID]*loan
		// lent lists loans in the order in which they expire; settled ones are
		// dropped when their turn comes.
		lent []LoanID
	}
)

// refill adds what the rate has yielded since the last time, and counts loans
// that have expired as spent.
func (b *bucket) refill(now time.Time) {
	b.expire(now)
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.level += b.part.rate.TokensIn(elapsed)
		b.updated = now
	}
	b.clip()
}

func (b *bucket) expire(now time.Time) {
	for len(b.lent) > 0 {
		l := b.loans[b.lent[0]]
		if l != nil && now.Before(l.expires) {
			return
		}
		if l != nil {
			b.touched = now
			b.outstanding -= l.tokens - l.settled
			delete(b.loans, b.lent[0])
		}
		b.lent = b.lent[1:]
	}
}

func (b *bucket) clip() {
	b.level = min(b.level, b.part.burst-b.outstanding)
	b.level = max(b.level, 0)
}

// change sets a new part; a smaller one holds at once.
func (b *bucket) change(p part, now time.Time) {
	b.refill(now)
	b.part = p
	b.clip()
}

// lend takes up to wanted whole tokens out of the bucket.
func (b *bucket) lend(id LoanID, wanted fleet.Tokens, now time.Time) fleet.Tokens {
	b.refill(now)
	amount := fleet.Tokens(math.Floor(float64(min(wanted, b.level) + epsilon)))
	if amount < 1 {
		return 0
	}
	b.level = max(b.level-amount, 0)
	b.outstanding += amount
	b.touched = now
	if b.loans == nil {
		b.loans = map[LoanID]*loan{}
	}
	b.loans[id] = &loan{tokens: amount, expires: now.Add(loanTerm + clockMargin)}
	b.lent = append(b.lent, id)
	return amount
}

// epsilon covers rounding when whole tokens are counted.
const epsilon = 1e-9

// settle notes how much of a loan was spent so far and how much came back. The
// amounts are totals, so that a repeated message changes nothing.
func (b *bucket) settle(id LoanID, spent, returned fleet.Tokens, now time.Time) {
	b.refill(now)
	l := b.loans[id]
	if l == nil || spent+returned > l.tokens+epsilon {
		return
	}
	if done := spent + returned; done > l.settled {
		b.touched = now
		b.outstanding -= done - l.settled
		l.settled = done
		b.level += returned
	}
	if l.settled >= l.tokens-epsilon {
		delete(b.loans, id)
	}
	b.clip()
}

// wait returns how long until one token is there, if nothing else is lent.
func (b *bucket) wait() time.Duration {
	if b.part.rate <= 0 {
		return time.Minute
	}
	missing := math.Max(1-float64(b.level), 0)
	return time.Duration(missing / float64(b.part.rate) * float64(time.Second))
}

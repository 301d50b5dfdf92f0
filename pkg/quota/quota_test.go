package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

func testLimits(rate fleet.Rate, burst fleet.Tokens) map[fleet.OrganisationID]Limit {
	return map[fleet.OrganisationID]Limit{"dakar": {Rate: rate, Burst: burst}}
}

// With loans, lost grants, pauses and restarts, all nodes together never allow
// more requests than burst and rate permit.
func TestAllNodesStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fake := &clock.Fake{}
		started := fake.Now()
		const nodes = 4
		var limiters [nodes]*Limiter
		start := func(i int, full bool) {
			limiters[i] = &Limiter{Clock: fake, StartFull: full}
			limiters[i].Update(testLimits(10, 8), nodes)
		}
		for i := range nodes {
			start(i, true)
		}
		taken := 0
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			a := rapid.IntRange(0, nodes-1).Draw(rt, "node")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				if limiters[a].Take("dakar") {
					taken++
				}
			case 2:
				b := rapid.IntRange(0, nodes-1).Draw(rt, "lender")
				granted := limiters[b].Lend("dakar", 3)
				if rapid.Bool().Draw(rt, "arrives") {
					limiters[a].AddBorrowed("dakar", granted)
				}
			case 3:
				fake.Advance(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
			case 4:
				start(a, false)
			case 5:
				limiters[a].Update(testLimits(10, 8), nodes)
			}
		}
		allowed := 8 + 10*fake.Now().Sub(started).Seconds() + 1e-6
		if float64(taken) > allowed {
			rt.Fatalf("%d taken, at most %.1f allowed", taken, allowed)
		}
	})
}

func TestOrganisationWithoutLimit(t *testing.T) {
	is := is.New(t)
	l := &Limiter{Clock: &clock.Fake{}}
	is.True(l.Take("anyone"))
	is.Equal(l.Lend("anyone", 5), 0.0)
}

// Fractions of a token from several nodes add up to whole tokens at one node.
func TestFractionalTokensAddUp(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	var limiters [6]*Limiter
	for i := range limiters {
		limiters[i] = &Limiter{Clock: fake, StartFull: true}
		limiters[i].Update(testLimits(2, 4), len(limiters))
	}
	is.True(!limiters[0].Take("dakar"))
	for _, l := range limiters[1:] {
		limiters[0].AddBorrowed("dakar", l.Lend("dakar", 3))
	}
	served := 0
	for limiters[0].Take("dakar") {
		served++
	}
	is.True(served >= 3)
}

func TestLowerLimitAppliesAtOnce(t *testing.T) {
	is := is.New(t)
	l := &Limiter{Clock: &clock.Fake{}, StartFull: true}
	l.Update(testLimits(100, 100), 1)
	l.Update(testLimits(1, 1), 1)
	is.True(l.Take("dakar"))
	is.True(!l.Take("dakar"))
}

// A node does not know how many nodes share the limits. Guards against one that takes itself
// for the only one, and uses the whole limit. It uses what others lend, and its share once
// it knows.
func TestUnknownNumberOfNodesLeavesNoShare(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	l := &Limiter{Clock: fake, StartFull: true}
	l.Update(testLimits(10, 8), 0)
	fake.Advance(10 * time.Second)
	is.True(!l.SharesKnown())
	is.True(!l.Take("dakar"))
	is.Equal(l.Lend("dakar", 3), 0.0)
	l.AddBorrowed("dakar", 1)
	is.True(l.TakeBorrowed("dakar"))
	l.Update(testLimits(10, 8), 4)
	is.True(l.SharesKnown())
	is.Equal(l.Lend("dakar", 8), 1.0) // half of the full share of 2
	l.Update(testLimits(10, 8), 0)
	is.True(!l.Take("dakar"))
}

// A node restarts without knowing the number of nodes. Guards against tokens of the time
// before that appear once it does.
func TestShareStartsEmptyOnceItIsKnown(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	l := &Limiter{Clock: fake}
	l.Update(testLimits(10, 8), 0)
	fake.Advance(10 * time.Second)
	l.Update(testLimits(10, 8), 1)
	is.True(!l.Take("dakar"))
	fake.Advance(100 * time.Millisecond)
	is.True(l.Take("dakar"))
	is.True(!l.Take("dakar"))
}

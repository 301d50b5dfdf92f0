package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

func bounds(rate fleet.Rate, burst fleet.Tokens) map[fleet.OrganisationID]Bound {
	return map[fleet.OrganisationID]Bound{"dakar": {Rate: rate, Burst: burst}}
}

// Through loans, lost grants and restarts, all nodes together never allow more
// than burst and rate.
func TestSumStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fake := &clock.Fake{}
		began := fake.Now()
		const nodes = 4
		var list [nodes]*Shares
		start := func(i int, full bool) {
			list[i] = &Shares{Clock: fake, Full: full}
			list[i].Update(bounds(10, 8), nodes)
		}
		for i := range nodes {
			start(i, true)
		}
		taken := 0
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			a := rapid.IntRange(0, nodes-1).Draw(rt, "node")
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				if list[a].Take("dakar") {
					taken++
				}
			case 2:
				b := rapid.IntRange(0, nodes-1).Draw(rt, "lender")
				granted := list[b].Lend("dakar", 3)
				if rapid.Bool().Draw(rt, "arrives") {
					list[a].Add("dakar", granted)
				}
			case 3:
				fake.Advance(time.Duration(rapid.IntRange(1, 300).Draw(rt, "ms")) * time.Millisecond)
			case 4:
				start(a, false)
			case 5:
				list[a].Update(bounds(10, 8), nodes)
			}
		}
		most := 8 + 10*fake.Now().Sub(began).Seconds() + 1e-6
		if float64(taken) > most {
			rt.Fatalf("%d taken, at most %.1f allowed", taken, most)
		}
	})
}

func TestWithoutBound(t *testing.T) {
	is := is.New(t)
	s := &Shares{Clock: &clock.Fake{}}
	is.True(s.Take("anyone"))
	is.Equal(s.Lend("anyone", 5), 0.0)
}

// Shares of less than one token add up at one node.
func TestSmallSharesAddUp(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	var list [6]*Shares
	for i := range list {
		list[i] = &Shares{Clock: fake, Full: true}
		list[i].Update(bounds(2, 4), len(list))
	}
	is.True(!list[0].Take("dakar"))
	for _, s := range list[1:] {
		list[0].Add("dakar", s.Lend("dakar", 3))
	}
	served := 0
	for list[0].Take("dakar") {
		served++
	}
	is.True(served >= 3)
}

func TestLowerBoundBindsAtOnce(t *testing.T) {
	is := is.New(t)
	s := &Shares{Clock: &clock.Fake{}, Full: true}
	s.Update(bounds(100, 100), 1)
	s.Update(bounds(1, 1), 1)
	is.True(s.Take("dakar"))
	is.True(!s.Take("dakar"))
}

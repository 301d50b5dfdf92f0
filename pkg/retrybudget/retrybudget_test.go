package retrybudget

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

const seedCount = 5

// shortageReplay returns the replay of 16 nodes whose calls rejected by a deep service are
// 1.5 to 3 times what the budget allows to retry.
func shortageReplay(earned, capacity float64) *replay {
	return &replay{nodes: 16, runsPerSecond: 200, earned: earned, capacity: capacity, priorities: []uint32{1}, knownFraction: 1}
}

// completedFractions returns the mean fraction of completed runs by priority, over all
// seeds.
func (p *replay) completedFractions() map[uint32]float64 {
	fractions := map[uint32]float64{}
	for seed := range uint64(seedCount) {
		r := p.play(seed)
		for priority := range r.started {
			fractions[priority] += r.completedFraction(priority) / seedCount
		}
	}
	return fractions
}

// A deep service rejects 45 % of its calls, and each run makes four. Guards against
// retries that are spent evenly, mostly on first calls of runs that fail later. With
// retries of 0.13 for each call, 0.15 of the runs complete then, and 0.205 could.
func TestLaterCallsGetTheRetries(t *testing.T) {
	for _, budget := range []struct{ earned, capacity, gain float64 }{
		{0.13, 2.5, 1.08}, {0.13, 6, 1.2}, {0.13, 19, 1.25}, {0.2, 6, 1.15}, {0.2, 19, 1.2},
	} {
		t.Run(fmt.Sprintf("%v tokens for each call, capacity %v", budget.earned, budget.capacity), func(t *testing.T) {
			for seed := range uint64(seedCount) {
				is := is.New(t)
				p := shortageReplay(budget.earned, budget.capacity)
				byPosition := p.play(seed)
				p.even = true
				even := p.play(seed)
				t.Logf("seed %d: completed evenly %.3f, by position %.3f; retries for each call %.3f, %.3f", seed,
					even.completedFraction(1), byPosition.completedFraction(1), even.retryFraction(), byPosition.retryFraction())
				is.True(byPosition.completedFraction(1) >= budget.gain*even.completedFraction(1))
				stock := float64(p.nodes) * budget.capacity
				is.True(float64(byPosition.retries) <= budget.earned*float64(byPosition.calls)+stock)
			}
		})
	}
}

func (r *result) retryFraction() float64 { return float64(r.retries) / float64(r.calls) }

// Runs of two priorities make the same calls. Guards against urgent runs that complete
// less often than the others, and than with retries that are spent evenly.
func TestUrgentRunsDoNotFareWorse(t *testing.T) {
	for _, known := range []float64{1, 0.5, 0} {
		is := is.New(t)
		p := shortageReplay(0.13, 6)
		p.priorities, p.knownFraction = []uint32{0, 2}, known
		byPosition := p.completedFractions()
		p.even = true
		even := p.completedFractions()
		t.Logf("known %v: evenly %.3v, by position %.3v", known, even, byPosition)
		is.True(byPosition[0] >= byPosition[2])
		is.True(byPosition[0] >= even[0])
	}
}

// The runs that make the calls are not known, or the budget holds a single token. Guards
// against fewer completed runs than with retries that are spent evenly.
func TestUnknownRunsAndSmallBudgets(t *testing.T) {
	unknown := shortageReplay(0.13, 6)
	unknown.knownFraction = 0
	for name, p := range map[string]*replay{"unknown runs": unknown, "one token": shortageReplay(0.13, 1)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			byPosition := p.completedFractions()[1]
			p.even = true
			even := p.completedFractions()[1]
			t.Logf("evenly %.3f, by position %.3f", even, byPosition)
			is.True(byPosition >= 0.95*even)
		})
	}
}

// Only few calls are rejected, so the budget suffices for all. Guards against retries that
// are withheld from first calls without need.
func TestSufficientBudgetServesAllCalls(t *testing.T) {
	is := is.New(t)
	a := &Allocator{}
	for i := range 2000 {
		a.Earn(0.13)
		if i%10 == 9 {
			is.True(a.Allows(Call{Known: true, Remaining: 3, Priority: 2}, 1, 6))
		}
	}
}

// A shortage has ended. Guards against first calls that get no retries long after it.
func TestDemandOfPastShortageFades(t *testing.T) {
	is := is.New(t)
	a := &Allocator{}
	for range 500 {
		a.Earn(0.13)
		a.Allows(Call{Known: true}, 1, 6)
	}
	first := Call{Known: true, Remaining: 3}
	is.True(!a.Allows(first, 1, 6))
	for range 600 {
		a.Earn(0.13)
	}
	is.True(a.Allows(first, 1, 6))
}

package retry_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/retry"
)

// spread lets a random tree of calls use retries and returns how many were used.
func spread(t *rapid.T, a *retry.Account, depth int) int {
	used := 0
	for range rapid.IntRange(0, 4).Draw(t, "steps") {
		if depth > 0 && rapid.Bool().Draw(t, "deeper") {
			below := retry.NewAccount(a.Lend())
			used += spread(t, below, depth-1)
			if rapid.Bool().Draw(t, "answered") {
				a.GiveBack(below.Left())
			}
		} else if a.Take() {
			used++
		}
	}
	return used
}

func TestChainNeverExceedsTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if used := spread(t, retry.NewAccount(retry.RootAllowance), 5); used > retry.RootAllowance {
			t.Fatalf("%d retries of %d", used, retry.RootAllowance)
		}
	})
}

func TestBudgetFollowsSuccesses(t *testing.T) {
	is := is.New(t)
	var b retry.Budget
	taken := 0
	for b.Take() {
		taken++
	}
	is.Equal(taken, 3) // a new node may try
	for range 20 {
		b.Succeeded()
	}
	is.True(b.Take())
	is.True(b.Take())
	is.True(!b.Take()) // a tenth of the successes
}

package retry_test

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/retry"
)

// useRetries uses retries in a random tree of calls, some of which never return their
// unused retries, and returns the number used.
func useRetries(t *rapid.T, a *retry.Allowance, depth int) int {
	used := 0
	for range rapid.IntRange(0, 4).Draw(t, "steps") {
		if depth > 0 && rapid.Bool().Draw(t, "deeper") {
			child := retry.NewAllowance(a.Grant())
			used += useRetries(t, child, depth-1)
			if rapid.Bool().Draw(t, "answered") {
				a.Return(child.Remaining())
			}
		} else if a.Take() {
			used++
		}
	}
	return used
}

func TestCallChainNeverExceedsAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if used := useRetries(t, retry.NewAllowance(retry.MaxRequestRetries), 5); used > retry.MaxRequestRetries {
			t.Fatalf("%d retries of %d", used, retry.MaxRequestRetries)
		}
	})
}

func TestBudgetGrowsWithSuccesses(t *testing.T) {
	is := is.New(t)
	var b retry.Budget
	allowed := 0
	for b.Take() {
		allowed++
	}
	is.Equal(allowed, 3) // initial balance
	for range 20 {
		b.RecordSuccess()
	}
	is.True(b.Take())
	is.True(b.Take())
	is.True(!b.Take()) // 20 successes earn two retries
}

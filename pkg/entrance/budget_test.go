package entrance

import (
	"testing"

	"github.com/matryer/is"
)

// A service that loses all its answers: over all entrances, however many and
// however full their savings, repeats stay within the operator's budget.
func TestRepeatsOverAllEntrances(t *testing.T) {
	for _, nodes := range []int{1, 13, 90} {
		is := is.New(t)
		r := Repeats{Ratio: 0.2, Slack: 120}
		list := make([]budget, nodes)
		for i := range list {
			list[i].set(r, nodes)
			for range 1000 {
				list[i].requested("desk")
			}
		}
		const requests = 40
		repeats := 0
		for range requests {
			for i := range list {
				list[i].requested("desk")
				if list[i].take("desk") {
					repeats++
				}
			}
		}
		is.True(float64(repeats) <= 0.2*float64(requests*nodes)+120)
		is.True(repeats >= nodes)
	}
}

func TestNoRepeatsWithoutBudget(t *testing.T) {
	is := is.New(t)
	b := &budget{}
	b.set(Repeats{}, 3)
	for range 100 {
		b.requested("desk")
	}
	is.True(!b.take("desk"))
}

package entrance

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// loanTestTimeout is the time in which a loan must have arrived.
const loanTestTimeout = 2 * time.Second

// TestRetriesOverAllEntrancesStayWithinBudget simulates that all responses of a service
// are lost. The retries of all entrances together must stay within the operator's
// limits, whatever the number of entrances and the tokens that they have saved.
func TestRetriesOverAllEntrancesStayWithinBudget(t *testing.T) {
	for _, nodes := range []int{1, 13, 90} {
		is := is.New(t)
		limits := RetryLimits{Ratio: 0.2, Slack: 120}
		budgets := make([]retryBudget, nodes)
		for i := range budgets {
			budgets[i].setLimits(limits, nodes)
			for range 1000 {
				budgets[i].addRequest("desk")
			}
		}
		const requests = 40
		retries := 0
		for range requests {
			for i := range budgets {
				budgets[i].addRequest("desk")
				if budgets[i].take("desk") {
					retries++
				}
			}
		}
		is.True(float64(retries) <= 0.2*float64(requests*nodes)+120)
		is.True(retries >= nodes)
	}
}

func TestNoRetriesWithoutBudget(t *testing.T) {
	is := is.New(t)
	budget := &retryBudget{}
	budget.setLimits(RetryLimits{}, 3)
	for range 100 {
		budget.addRequest("desk")
	}
	is.True(!budget.take("desk"))
}

// The number of nodes that share the slack is not known. Guards against an entrance that
// takes the whole slack for its own: it keeps no more than one retry.
func TestUnknownFleetLeavesNoSlack(t *testing.T) {
	is := is.New(t)
	budget := &retryBudget{}
	budget.setLimits(RetryLimits{Ratio: 0.2, Slack: 120}, 0)
	for range 1000 {
		budget.addRequest("desk")
	}
	is.True(budget.take("desk"))
	is.True(!budget.take("desk"))
	budget.setLimits(RetryLimits{Ratio: 0.2, Slack: 120}, 1)
	for range 1000 {
		budget.addRequest("desk")
	}
	for range 90 {
		is.True(budget.take("desk"))
	}
}

// A home of tokens answers after the request that asks has been refused. Guards against
// tokens that the home has deducted and that no node has: an organisation whose loans are
// late would get nothing of its rate.
func TestLateLoanServesNextRequest(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true})
	loans := make(chan struct{})
	var asked atomic.Int64
	cluster.lend = func() float64 {
		if asked.Add(1) > 1 {
			return 0
		}
		<-loans
		return 1
	}
	const id = "thies"
	cluster.entrance.RateLimiter.Update(map[fleet.OrganisationID]quota.Limit{id: {Rate: 2, Burst: 4}}, 0)
	r := &Request{Organisation: &routing.Organisation{ID: id, Rate: 2, Burst: 4}}
	is.True(!cluster.entrance.takeRateToken(t.Context(), r)) // the loan is late
	close(loans)
	served := func() bool { return cluster.entrance.takeRateToken(t.Context(), r) }
	for deadline := time.Now().Add(loanTestTimeout); !served(); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the tokens of the late loan are lost
	}
	is.True(!served()) // one token serves one request
}

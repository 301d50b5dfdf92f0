package entrance

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/callgraph"
	"github.com/plantainramp/plantainramp/pkg/retrybudget"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// Guards against calls of retried executions that do not count against the budget, and
// against tokens earned by requests that reached no instance.
func TestBudgetCountsArrivals(t *testing.T) {
	is := is.New(t)
	b := &retryBudget{}
	b.setLimits(RetryLimits{Ratio: 1, Slack: 10}, 1)
	tokens := func() float64 { return b.services["deep"].tokens }
	added := b.addCall("deep", 0)
	is.Equal(tokens(), usableRatioFraction)
	b.takeBack("deep", added)
	is.Equal(tokens(), 0.0)
	b.addCall("deep", 1)
	is.Equal(tokens(), -1.0)
	b.addCall("deep", 0.5)
	is.Equal(tokens(), -1.5+usableRatioFraction/2)
	for range 100 {
		b.addCall("deep", 1)
	}
	is.Equal(tokens(), -maxDebtTokens)
}

// First and last calls of runs are rejected, more than the budget serves. Guards against
// tokens that are spent on first calls.
func TestBudgetIsLeftToLastCalls(t *testing.T) {
	is := is.New(t)
	b := &retryBudget{}
	b.setLimits(RetryLimits{Ratio: 0.2, Slack: 48}, 8)
	spent := map[int]int{}
	for range 2000 {
		b.addRequest("deep")
		for remaining, every := range map[int]bool{3: true, 0: b.services["deep"].tokens >= 1} {
			if every && b.takeFor("deep", retrybudget.Call{Known: true, Remaining: remaining}) == RetrySpent {
				spent[remaining]++
			}
		}
	}
	is.True(spent[0] > 4*spent[3])
	is.True(spent[0]+spent[3] <= int(2000*0.2*usableRatioFraction+48.0/8))
}

// An instance rejects nothing and fails nothing. Guards against calls that the retry budget
// delays or refuses, and against a call that does not inherit the priority of its run.
func TestCallInheritsPriority(t *testing.T) {
	for name, c := range map[string]struct {
		caller   callgraph.Caller
		priority uint32
	}{"known": {callgraph.Caller{Known: true, Position: 1, Priority: 0}, 0}, "unknown": {callgraph.Caller{}, 2}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 2, Priority: 2})
			var request *Request
			cluster.entrance.OnArrival = func(r *Request) { r.Caller, request = c.caller, r }
			cluster.entrance.OnRetry = func(*Request, RetryDecision) { t.Error("a retry without a rejection") }
			w := httptest.NewRecorder()
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/x", nil)
			r.Header.Set("Id", "1")
			cluster.entrance.ServeHTTP(w, r)
			is.Equal(w.Code, http.StatusOK)
			is.Equal(request.message.Priority, c.priority)
		})
	}
}

// A call belongs to an execution that is a retry. Guards against calls further down that
// do not count as retries.
func TestCallOfRetriedExecutionIsRepeat(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 2})
	for _, fraction := range []float64{0, 1} {
		var request *Request
		cluster.entrance.OnArrival = func(r *Request) {
			r.Caller, request = callgraph.Caller{Known: true, RepeatFraction: fraction}, r
		}
		is.Equal(cluster.sendRequest(t.Context()).Code, http.StatusOK)
		is.Equal(request.message.Repeat, fraction == 1)
	}
}

// All instances reject the call without executing it. Guards against a call that is sent to
// fewer or more instances than its route allows.
func TestRejectedCallReachesAllowedInstances(t *testing.T) {
	for attempts := 1; attempts <= 4; attempts++ {
		t.Run(strconv.Itoa(attempts), func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 5, routing.Route{AllowAnonymous: true, MaxAttempts: attempts})
			cluster.entrance.SetRetryLimits(RetryLimits{Ratio: 1, Slack: 10}, 1)
			for range 20 {
				cluster.entrance.retryBudget.addRequest("desk")
			}
			cluster.answer = func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			is.Equal(cluster.sendRequest(t.Context()).Code, http.StatusServiceUnavailable)
			is.Equal(cluster.executions.Load(), int64(attempts))
		})
	}
}

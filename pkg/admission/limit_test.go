package admission

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/retry"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// TestQuickFailuresDoNotLowerBaseline mixes fast failures into slower successes. If
// failures counted as latency samples, they would set the baseline to their 1 ms.
func TestQuickFailuresDoNotLowerBaseline(t *testing.T) {
	is := is.New(t)
	fake := new(clock.Fake)
	a := &Controller{Clock: fake}
	a.SetSlots(2)
	run := func(n, status int, took time.Duration) {
		handler := call.Chain(func(context.Context, *call.Call) (*call.Response, error) {
			fake.Advance(took)
			return &call.Response{Status: status}, nil
		}, a.Middleware())
		for range n {
			c := &call.Call{Weight: 1, Route: &ticket.Route{Pattern: "/x"}, Retries: retry.NewAllowance(0), Deadline: fake.Now().Add(time.Minute)}
			_, _ = handler(context.Background(), c)
		}
	}
	run(50, http.StatusOK, 40*time.Millisecond)
	run(200, http.StatusInternalServerError, time.Millisecond)
	run(50, http.StatusOK, 40*time.Millisecond)
	is.True(a.limit.statsFor(" /x").ownBaseline >= 40*time.Millisecond)
}

// TestSlowUpstreamRunsCriticalCallsOnAllSlots lowers the adaptive limit to its minimum,
// as slow calls do. Critical calls must still run on all slots of the upstream, not
// only within the limit of 2.
func TestSlowUpstreamRunsCriticalCallsOnAllSlots(t *testing.T) {
	is := is.New(t)
	const slots = 20
	var a Controller
	a.Clock = clock.System{}
	a.SetSlots(slots)
	a.limit.value.Store(minLimitCalls)
	started, unblock := make(chan struct{}, slots), make(chan struct{})
	handler := call.Chain(func(context.Context, *call.Call) (*call.Response, error) {
		started <- struct{}{}
		<-unblock
		return &call.Response{Status: http.StatusOK}, nil
	}, a.Middleware())
	run := func(class fleet.Class) {
		c := &call.Call{Weight: 1, Route: &ticket.Route{Class: class}, Retries: retry.NewAllowance(0), Deadline: time.Now().Add(5 * time.Second)}
		_, _ = handler(t.Context(), c)
	}
	for range slots {
		go run(fleet.ClassNormal)
		go run(fleet.ClassCritical)
	}
	for range slots {
		<-started
	}
	is.Equal(len(started), 0)
	is.Equal(a.inFlight.Load(), int64(slots))
	close(unblock)
}

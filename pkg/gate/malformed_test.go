package gate

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against an unexpected error in one call that ends the node, keeps its slot, or
// leaves those waiting that ask for its outcome. It may have run.
func TestPanicEndsOneCallOnly(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{}
	g := newGate(t, upstream)
	g.OnStart = func(run *linkrpc.Run, _ time.Time) func() {
		if run.Attempt <= 8 {
			panic("unexpected")
		}
		return func() {}
	}
	for attempt := uint64(1); attempt <= 8; attempt++ {
		is.Equal(g.Run(t.Context(), context.Background(), newRun(attempt)).Fate, linkrpc.Fate_FATE_LOST)
		is.Equal(g.QueryOutcome(t.Context(), &linkrpc.Ask{Attempt: attempt}).Fate, linkrpc.Fate_FATE_LOST)
	}
	is.Equal(g.Slots.Load().InFlight, 0)
	is.Equal(g.Run(t.Context(), context.Background(), newRun(9)).Fate, linkrpc.Fate_FATE_ANSWERED)
}

// Calls with any numbers and odd lists of headers. Guards against a header of the node that
// takes the place of a value, and against a call that is answered although it was not sent.
func TestMalformedCallsAreRejected(t *testing.T) {
	upstream := &countingUpstream{}
	g := newGate(t, upstream)
	attempt := uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		attempt++
		run := newRun(attempt)
		extreme := rapid.SampledFrom([]int64{math.MinInt64, -1, 0, 1, math.MaxInt64})
		switch rapid.IntRange(0, 3).Draw(rt, "malformed") {
		case 0:
			run.Headers = append(run.Headers, "Odd")
		case 1:
			run.RemainingUs = extreme.Draw(rt, "remaining")
		case 2:
			run.PatienceUs = extreme.Draw(rt, "patience")
		case 3:
			run.KnownRateLimit = rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), -1}).Draw(rt, "limit")
		}
		before := upstream.executions.Load()
		outcome := g.Run(t.Context(), context.Background(), run)
		ran := upstream.executions.Load() > before
		if ran && outcome.Fate == linkrpc.Fate_FATE_NOT_RUN {
			rt.Fatalf("not run is said of a call that ran: %v", run)
		}
		if len(run.Headers)%2 != 0 && ran {
			rt.Fatalf("a call with an odd list of headers ran")
		}
	})
	is.New(t).Equal(g.Run(t.Context(), context.Background(), newRun(attempt+1)).Fate, linkrpc.Fate_FATE_ANSWERED)
}

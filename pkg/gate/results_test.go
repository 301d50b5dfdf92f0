package gate

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	usualRunTime = 30 * time.Millisecond
	// measuredCalls is the number of calls of a test. It exceeds the number that the
	// fractions rest on at least.
	measuredCalls = 12
)

// newMeasuredGate returns a gate whose instance answers with handle, after it has answered
// some calls after usualRunTime.
func newMeasuredGate(t *testing.T, handle func(g *Gate, w http.ResponseWriter, r *http.Request)) (*Gate, func() *linkrpc.Outcome) {
	t.Helper()
	g := &Gate{Clock: clock.System{}, View: func() *routing.View { return nil }}
	warm := atomic.Bool{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		if !warm.Load() {
			time.Sleep(usualRunTime)
			return
		}
		handle(g, w, r)
	}))
	t.Cleanup(server.Close)
	g.Instance = &instance.Client{
		Address: strings.TrimPrefix(server.URL, "http://"), Clock: clock.System{}, MaxBodyBytes: 1 << 20,
		Headers: instance.Headers{RequestID: "Id", NotExecuted: "Not-Run", InstanceID: "Instance"},
	}
	g.Headers = Headers{Deadline: "Left", ExpectedInstance: "Expected", Organisation: "Organisation", CallerService: "Caller"}
	g.Init()
	g.SetLocalInstance(&LocalInstance{ID: "i-1", Service: "desk", Slots: 4, Open: true})
	attempt := uint64(0)
	run := func() *linkrpc.Outcome {
		attempt++
		return g.Run(t.Context(), t.Context(), newRun(attempt))
	}
	for range measuredCalls {
		run()
	}
	warm.Store(true)
	g.results.reset()
	return g, run
}

// Guards against an instance that rejects or fails calls at once, or sends no valid
// responses, and whose load does not show it.
func TestResultsAreReported(t *testing.T) {
	for _, c := range []struct {
		name             string
		handle           func(g *Gate, w http.ResponseWriter, r *http.Request)
		rejected, failed float32
	}{
		{"rejects", func(_ *Gate, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Not-Run", "true")
			w.WriteHeader(503)
		}, 1, 0},
		{"fails at once", func(_ *Gate, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 0, 1},
		{"breaks the connection", func(*Gate, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 0, 1},
		{"answers", func(_ *Gate, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, 0, 0},
		{"fails after the usual time", func(_ *Gate, w http.ResponseWriter, _ *http.Request) { time.Sleep(usualRunTime); w.WriteHeader(500) }, 0, 0},
		{"a call of its own failed", func(g *Gate, w http.ResponseWriter, _ *http.Request) {
			g.Outgoing.Begin(1, time.Now())
			g.Outgoing.End(1, time.Now(), false)
			w.WriteHeader(500)
		}, 0, 0},
		{"a call of its own runs", func(g *Gate, w http.ResponseWriter, _ *http.Request) {
			g.Outgoing.Begin(1, time.Now())
			w.WriteHeader(500)
		}, 0, 0},
		{"its own calls succeed", func(g *Gate, w http.ResponseWriter, _ *http.Request) {
			g.Outgoing.Begin(1, time.Now())
			g.Outgoing.End(1, time.Now(), true)
			w.WriteHeader(500)
		}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, run := newMeasuredGate(t, c.handle)
			usual := g.Load().RunUs
			for range measuredCalls {
				run()
			}
			load := g.Load()
			is.True(c.rejected-load.RejectedFraction < 0.05 && load.RejectedFraction <= c.rejected)
			is.True(c.failed-load.FailedFraction < 0.05 && load.FailedFraction <= c.failed)
			if c.failed > 0 {
				// Calls that fail at once must not make the instance look fast.
				is.Equal(load.RunUs, usual)
			}
		})
	}
}

// A caller that leaves, and a call that fails in the time of its caller, say nothing about
// the instance.
func TestCancelledCallsAreNotHeldAgainstTheInstance(t *testing.T) {
	is := is.New(t)
	g, _ := newMeasuredGate(t, func(_ *Gate, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for i := range measuredCalls {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		g.Run(ctx, t.Context(), newRun(uint64(1000+i)))
		cancel()
	}
	is.Equal(g.Load().FailedFraction, float32(0))
}

// Rejections while the slots are in use show as fullness; counted again they would exclude
// the instance.
func TestRejectionsOfAFullInstanceAreNotCounted(t *testing.T) {
	is := is.New(t)
	g, run := newMeasuredGate(t, func(_ *Gate, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(503)
	})
	others := g.Slots.Load().Limit - 1
	for range others {
		g.Slots.Acquire(t.Context(), waitqueue.Rank{}, time.Second)
	}
	for range measuredCalls {
		is.Equal(run().Reason, linkrpc.Reason_REASON_REJECTED)
	}
	is.Equal(g.Load().RejectedFraction, float32(0))
	for range others {
		g.Slots.Release(0)
	}
	for range measuredCalls {
		run()
	}
	is.True(g.Load().RejectedFraction > 0.9)
}

// An instance that starts anew under the node has rejected and failed nothing.
func TestResultsOfAnEarlierInstanceAreForgotten(t *testing.T) {
	is := is.New(t)
	g, run := newMeasuredGate(t, func(_ *Gate, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) })
	for range measuredCalls {
		run()
	}
	is.True(g.Load().FailedFraction > 0.9)
	g.SetLocalInstance(&LocalInstance{ID: "i-1", Service: "desk", Slots: 4, Open: true, StartUnixMs: 7})
	is.Equal(g.Load().FailedFraction, float32(0))
}

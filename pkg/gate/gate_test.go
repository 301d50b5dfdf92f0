package gate

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// countingUpstream is an instance that counts its calls and takes callTime for
// each.
type countingUpstream struct {
	callTime   time.Duration
	executions atomic.Int64
	running    atomic.Int64
	maxRunning atomic.Int64
}

func (u *countingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.executions.Add(1)
	if n := u.running.Add(1); n > u.maxRunning.Load() {
		u.maxRunning.Store(n)
	}
	defer u.running.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(u.callTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "done")
}

func newGate(t *testing.T, upstream *countingUpstream) *Gate {
	t.Helper()
	server := httptest.NewServer(upstream)
	t.Cleanup(server.Close)
	g := &Gate{
		Clock: clock.System{}, View: func() *routing.View { return nil },
		Headers: Headers{Deadline: "Left", ExpectedInstance: "Expected", Organisation: "Organisation", CallerService: "Caller"},
		Instance: &instance.Client{
			Address: strings.TrimPrefix(server.URL, "http://"), Clock: clock.System{}, MaxBodyBytes: 1 << 20,
			Headers: instance.Headers{RequestID: "Id", NotExecuted: "Not-Run", InstanceID: "Instance"},
		},
	}
	g.Init()
	g.SetLocalInstance(&LocalInstance{ID: "i-1", Service: "desk", Slots: 4, Open: true})
	return g
}

func newRun(attempt uint64) *linkrpc.Run {
	id := fmt.Sprint(attempt)
	return &linkrpc.Run{
		Request: id, Attempt: attempt, Service: "desk", Instance: "i-1", Method: "POST", Host: "h", Target: "/x",
		Headers: []string{"Id", id}, RemainingUs: 2_000_000, PatienceUs: 1_000_000,
	}
}

func TestFencedAttemptNeverRuns(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{}
	g := newGate(t, upstream)
	is.Equal(g.QueryOutcome(t.Context(), &linkrpc.Ask{Attempt: 1}).Fate, linkrpc.Fate_FATE_NOT_RUN)
	is.Equal(g.Run(t.Context(), t.Context(), newRun(1)).Fate, linkrpc.Fate_FATE_NOT_RUN)
	is.Equal(upstream.executions.Load(), int64(0))
}

func TestQueryOutcomeWaitsForRunningAttempt(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{callTime: 100 * time.Millisecond}
	g := newGate(t, upstream)
	ctx, cancel := context.WithCancelCause(t.Context())
	go g.Run(t.Context(), ctx, newRun(1))
	time.Sleep(30 * time.Millisecond)
	cancel(net.ErrClosed)
	outcome := g.QueryOutcome(t.Context(), &linkrpc.Ask{Attempt: 1})
	is.Equal(outcome.Fate, linkrpc.Fate_FATE_ANSWERED)
	is.Equal(string(outcome.Body), "done")
	is.Equal(upstream.executions.Load(), int64(1))
	is.Equal(g.QueryOutcome(t.Context(), &linkrpc.Ask{Attempt: 1}).Fate, linkrpc.Fate_FATE_ANSWERED)
}

func TestCancelledCallIsAborted(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{callTime: time.Minute}
	g := newGate(t, upstream)
	ctx, cancel := context.WithCancelCause(t.Context())
	time.AfterFunc(30*time.Millisecond, func() { cancel(&link.CancelledError{}) })
	started := time.Now()
	is.Equal(g.Run(ctx, t.Context(), newRun(1)).Fate, linkrpc.Fate_FATE_LOST)
	is.True(time.Since(started) < 500*time.Millisecond)
}

func TestRejectionReasons(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Gate, *linkrpc.Run)
		reason linkrpc.Reason
	}{
		{"closed", func(g *Gate, _ *linkrpc.Run) {
			g.SetLocalInstance(&LocalInstance{ID: "i-1", Service: "desk", Slots: 4})
		}, linkrpc.Reason_REASON_CLOSED},
		{"leaving", func(g *Gate, _ *linkrpc.Run) { g.Drain() }, linkrpc.Reason_REASON_CLOSED},
		{"suspended", func(g *Gate, _ *linkrpc.Run) { g.SetSuspended(true) }, linkrpc.Reason_REASON_CLOSED},
		{"out of date", func(g *Gate, _ *linkrpc.Run) { g.OutOfDate = func() bool { return true } }, linkrpc.Reason_REASON_CLOSED},
		{"another service", func(_ *Gate, r *linkrpc.Run) { r.Service = "other" }, linkrpc.Reason_REASON_NOT_HERE},
		{"another instance", func(_ *Gate, r *linkrpc.Run) { r.Instance = "i-0" }, linkrpc.Reason_REASON_NOT_HERE},
		{"no time left", func(_ *Gate, r *linkrpc.Run) { r.RemainingUs = 10 }, linkrpc.Reason_REASON_EXPIRED},
		{"route removed by a newer configuration", func(g *Gate, _ *linkrpc.Run) {
			g.View = routing.NewBuilder(2, routing.Limits{}).Build
		}, linkrpc.Reason_REASON_STALE},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			upstream := &countingUpstream{}
			g := newGate(t, upstream)
			r := newRun(1)
			c.change(g, r)
			outcome := g.Run(t.Context(), t.Context(), r)
			is.Equal(outcome.Fate, linkrpc.Fate_FATE_NOT_RUN)
			is.Equal(outcome.Reason, c.reason)
			is.Equal(upstream.executions.Load(), int64(0))
		})
	}
}

// A call whose key was revoked by a newer configuration while it was on its way is
// rejected.
func TestCallWithRevokedKeyIsRejected(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{}
	g := newGate(t, upstream)
	view := func(version routing.Version, keys ...string) func() *routing.View {
		b := routing.NewBuilder(version, routing.Limits{})
		b.AddRoute(&routing.Route{Name: "r", Host: "h", Prefix: "/", Targets: []routing.Target{{Service: "desk", Weight: 1}}})
		b.AddOrganisation(&routing.Organisation{ID: "dakar"}, keys)
		return b.Build
	}
	digest := routing.DigestKey("key")
	r := newRun(1)
	r.ConfigVersion, r.Organisation, r.Key = 1, "dakar", digest[:]
	g.View = view(2, "key")
	is.Equal(g.Run(t.Context(), t.Context(), r).Fate, linkrpc.Fate_FATE_ANSWERED)
	g.View = view(3, "another")
	r.Attempt = 2
	is.Equal(g.Run(t.Context(), t.Context(), r).Reason, linkrpc.Reason_REASON_STALE)
}

// With many more calls than slots, the number of calls that run never exceeds the
// slots, and every call that can wait long enough runs.
func TestSlotsAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{callTime: 10 * time.Millisecond}
	g := newGate(t, upstream)
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			is.Equal(g.Run(t.Context(), t.Context(), newRun(uint64(i+1))).Fate, linkrpc.Fate_FATE_ANSWERED)
		})
	}
	group.Wait()
	is.True(upstream.maxRunning.Load() <= 4)
	is.Equal(upstream.executions.Load(), int64(60))
}

func TestUrgentCallsGoFirst(t *testing.T) {
	is := is.New(t)
	slots := &Slots{Clock: clock.System{}}
	now := time.Now()
	first, second, last := waitqueue.RankOf(now, 0, 5), waitqueue.RankOf(now, time.Second, 0), waitqueue.RankOf(now, time.Second, 2)
	slots.SetLimit(1)
	is.Equal(slots.Acquire(t.Context(), waitqueue.Rank{}, time.Second), waitqueue.VerdictAdmitted)
	order := make(chan waitqueue.Rank, 3)
	for _, r := range []waitqueue.Rank{last, second, first} {
		go func() {
			if slots.Acquire(t.Context(), r, time.Second) == waitqueue.VerdictAdmitted {
				order <- r
				slots.Release(0)
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	slots.Release(0)
	is.Equal(<-order, first)
	is.Equal(<-order, second)
	is.Equal(<-order, last)
}

// A call whose expected wait exceeds its max wait is rejected at once instead of
// being queued.
func TestCallWithTooLongWaitIsRejectedAtOnce(t *testing.T) {
	is := is.New(t)
	slots := &Slots{Clock: clock.System{}}
	slots.SetLimit(1)
	is.Equal(slots.Acquire(t.Context(), waitqueue.Rank{}, 0), waitqueue.VerdictAdmitted)
	for range 200 {
		slots.Release(100 * time.Millisecond)
		is.Equal(slots.Acquire(t.Context(), waitqueue.Rank{}, 0), waitqueue.VerdictAdmitted)
	}
	go slots.Acquire(t.Context(), waitqueue.Rank{}, time.Second)
	time.Sleep(20 * time.Millisecond)
	started := time.Now()
	is.Equal(slots.Acquire(t.Context(), waitqueue.Rank{}, 50*time.Millisecond), waitqueue.VerdictFull)
	is.True(time.Since(started) < 20*time.Millisecond)
}

// Whatever the order of messages about one attempt, it runs at most once, and
// never after it was reported as not run.
func TestAttemptRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := attemptTable{Clock: &clock.Fake{}}
		executions, reportedNotRun := 0, false
		for range rapid.IntRange(1, 8).Draw(rt, "messages") {
			if rapid.Bool().Draw(rt, "ask") {
				a, outcome := table.findOrFence(attemptKey{id: 1})
				if a != nil {
					outcome = a.outcome
				}
				if outcome != nil && outcome.Fate == linkrpc.Fate_FATE_NOT_RUN {
					reportedNotRun = true
				}
				continue
			}
			a, rejected := table.begin(attemptKey{id: 1}, func() {})
			if rejected != nil {
				continue
			}
			if reportedNotRun {
				rt.Fatal("ran after it was reported as not run")
			}
			executions++
			table.end(a, &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_ANSWERED})
		}
		if executions > 1 {
			rt.Fatal("ran twice")
		}
	})
}

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

// counted is an instance that counts its runs and takes a time for each.
type counted struct {
	work     time.Duration
	runs     atomic.Int64
	busy     atomic.Int64
	mostBusy atomic.Int64
}

func (c *counted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.runs.Add(1)
	if n := c.busy.Add(1); n > c.mostBusy.Load() {
		c.mostBusy.Store(n)
	}
	defer c.busy.Add(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(c.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "done")
}

func newGate(t *testing.T, c *counted) *Gate {
	t.Helper()
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	g := &Gate{
		Clock: clock.System{}, View: func() *routing.View { return nil },
		Headers: Headers{Deadline: "Left", Expected: "Expected", Organisation: "Organisation", CallerService: "Caller"},
		Instance: &instance.Client{
			Address: strings.TrimPrefix(server.URL, "http://"), Clock: clock.System{}, MaxBodyBytes: 1 << 20,
			Headers: instance.Headers{RequestID: "Id", NotExecuted: "Not-Run", InstanceID: "Instance"},
		},
	}
	g.Init()
	g.Announce(&Self{ID: "i-1", Service: "desk", Slots: 4, Open: true})
	return g
}

func run(attempt uint64) *linkrpc.Run {
	id := fmt.Sprint(attempt)
	return &linkrpc.Run{
		Request: id, Attempt: attempt, Service: "desk", Instance: "i-1", Method: "POST", Host: "h", Target: "/x",
		Headers: []string{"Id", id}, RemainingUs: 2_000_000, PatienceUs: 1_000_000,
	}
}

func TestSealedAttemptNeverRuns(t *testing.T) {
	is := is.New(t)
	c := &counted{}
	g := newGate(t, c)
	is.Equal(g.Ask(t.Context(), &linkrpc.Ask{Attempt: 1}).Fate, linkrpc.Fate_FATE_NOT_RUN)
	is.Equal(g.Run(t.Context(), run(1)).Fate, linkrpc.Fate_FATE_NOT_RUN)
	is.Equal(c.runs.Load(), int64(0))
}

func TestAskWaitsForARunAndGetsItsAnswer(t *testing.T) {
	is := is.New(t)
	c := &counted{work: 100 * time.Millisecond}
	g := newGate(t, c)
	lost, cut := context.WithCancelCause(t.Context())
	go g.Run(lost, run(1))
	time.Sleep(30 * time.Millisecond)
	cut(net.ErrClosed)
	o := g.Ask(t.Context(), &linkrpc.Ask{Attempt: 1})
	is.Equal(o.Fate, linkrpc.Fate_FATE_ANSWERED)
	is.Equal(string(o.Body), "done")
	is.Equal(c.runs.Load(), int64(1))
	is.Equal(g.Ask(t.Context(), &linkrpc.Ask{Attempt: 1}).Fate, linkrpc.Fate_FATE_ANSWERED)
}

func TestRunWhosePeerLeftIsEnded(t *testing.T) {
	is := is.New(t)
	c := &counted{work: time.Minute}
	g := newGate(t, c)
	ctx, leave := context.WithCancelCause(t.Context())
	time.AfterFunc(30*time.Millisecond, func() { leave(&link.CancelledError{}) })
	began := time.Now()
	is.Equal(g.Run(ctx, run(1)).Fate, linkrpc.Fate_FATE_LOST)
	is.True(time.Since(began) < 500*time.Millisecond)
}

func TestWhatIsHandedBack(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Gate, *linkrpc.Run)
		reason linkrpc.Reason
	}{
		{"closed", func(g *Gate, _ *linkrpc.Run) { g.Announce(&Self{ID: "i-1", Service: "desk", Slots: 4}) }, linkrpc.Reason_REASON_CLOSED},
		{"leaving", func(g *Gate, _ *linkrpc.Run) { g.Leave() }, linkrpc.Reason_REASON_CLOSED},
		{"another service", func(_ *Gate, r *linkrpc.Run) { r.Service = "other" }, linkrpc.Reason_REASON_NOT_HERE},
		{"another instance", func(_ *Gate, r *linkrpc.Run) { r.Instance = "i-0" }, linkrpc.Reason_REASON_NOT_HERE},
		{"no time left", func(_ *Gate, r *linkrpc.Run) { r.RemainingUs = 10 }, linkrpc.Reason_REASON_EXPIRED},
		{"route dropped since", func(g *Gate, _ *linkrpc.Run) {
			g.View = routing.NewBuilder(2, routing.Limits{}).Build
		}, linkrpc.Reason_REASON_STALE},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			upstream := &counted{}
			g := newGate(t, upstream)
			r := run(1)
			c.change(g, r)
			o := g.Run(t.Context(), r)
			is.Equal(o.Fate, linkrpc.Fate_FATE_NOT_RUN)
			is.Equal(o.Reason, c.reason)
			is.Equal(upstream.runs.Load(), int64(0))
		})
	}
}

// A key that was withdrawn while the call was under way does not run.
func TestKeyWithdrawnUnderWay(t *testing.T) {
	is := is.New(t)
	upstream := &counted{}
	g := newGate(t, upstream)
	view := func(version routing.Version, keys ...string) func() *routing.View {
		b := routing.NewBuilder(version, routing.Limits{})
		b.AddRoute(&routing.Route{Name: "r", Host: "h", Prefix: "/", Targets: []routing.Target{{Service: "desk", Weight: 1}}})
		b.AddOrganisation(&routing.Organisation{ID: "dakar"}, keys)
		return b.Build
	}
	digest := routing.DigestKey("key")
	r := run(1)
	r.ConfigVersion, r.Organisation, r.Key = 1, "dakar", digest[:]
	g.View = view(2, "key")
	is.Equal(g.Run(t.Context(), r).Fate, linkrpc.Fate_FATE_ANSWERED)
	g.View = view(3, "another")
	r.Attempt = 2
	is.Equal(g.Run(t.Context(), r).Reason, linkrpc.Reason_REASON_STALE)
}

// Many more calls than slots: never more than the slots run, all that wait
// within their patience run, and urgent ones first.
func TestSlotsAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	c := &counted{work: 10 * time.Millisecond}
	g := newGate(t, c)
	var group sync.WaitGroup
	for i := range 60 {
		group.Go(func() {
			is.Equal(g.Run(t.Context(), run(uint64(i+1))).Fate, linkrpc.Fate_FATE_ANSWERED)
		})
	}
	group.Wait()
	is.True(c.mostBusy.Load() <= 4)
	is.Equal(c.runs.Load(), int64(60))
}

func TestUrgentCallsGoFirst(t *testing.T) {
	is := is.New(t)
	s := &Slots{Clock: clock.System{}}
	now := time.Now()
	first, second, last := waitqueue.RankOf(now, 0, 5), waitqueue.RankOf(now, time.Second, 0), waitqueue.RankOf(now, time.Second, 2)
	s.SetLimit(1)
	is.Equal(s.Take(t.Context(), waitqueue.Rank{}, time.Second), waitqueue.VerdictAdmitted)
	order := make(chan waitqueue.Rank, 3)
	for _, r := range []waitqueue.Rank{last, second, first} {
		go func() {
			if s.Take(t.Context(), r, time.Second) == waitqueue.VerdictAdmitted {
				order <- r
				s.Release(0)
			}
		}()
		time.Sleep(20 * time.Millisecond)
	}
	s.Release(0)
	is.Equal(<-order, first)
	is.Equal(<-order, second)
	is.Equal(<-order, last)
}

// A call whose turn comes too late is turned away at once, not held.
func TestTurnedAwayAtOnce(t *testing.T) {
	is := is.New(t)
	s := &Slots{Clock: clock.System{}}
	s.SetLimit(1)
	is.Equal(s.Take(t.Context(), waitqueue.Rank{}, 0), waitqueue.VerdictAdmitted)
	for range 200 {
		s.Release(100 * time.Millisecond)
		is.Equal(s.Take(t.Context(), waitqueue.Rank{}, 0), waitqueue.VerdictAdmitted)
	}
	go s.Take(t.Context(), waitqueue.Rank{}, time.Second)
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	is.Equal(s.Take(t.Context(), waitqueue.Rank{}, 50*time.Millisecond), waitqueue.VerdictFull)
	is.True(time.Since(began) < 20*time.Millisecond)
}

// Whatever the order of messages about one attempt, it runs once at most, and
// never after anyone was told that it did not.
func TestAttemptRunsOnceAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := attempts{Clock: &clock.Fake{}}
		ran, told := 0, false
		for range rapid.IntRange(1, 8).Draw(rt, "messages") {
			if rapid.Bool().Draw(rt, "ask") {
				a := table.ask(1)
				if a == nil || a.outcome != nil && a.outcome.Fate == linkrpc.Fate_FATE_NOT_RUN {
					told = true
				}
				continue
			}
			a, fresh := table.begin(1, func() {})
			if !fresh {
				continue
			}
			if told {
				rt.Fatal("ran after it was said not to have run")
			}
			ran++
			table.end(1, a, &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_ANSWERED})
		}
		if ran > 1 {
			rt.Fatal("ran twice")
		}
	})
}

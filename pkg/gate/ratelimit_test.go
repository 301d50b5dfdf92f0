package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// named returns what a response says whose call was sent and whose header was read so many
// milliseconds after the start; a rate of -1 names no limit.
func named(rate float64, sentMs, readMs int) instance.Announcement {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	a := instance.Announcement{Instance: "i-1", Sent: at(sentMs), Read: at(readMs)}
	if rate >= 0 {
		a.Limited, a.RateLimit = true, rate
	}
	return a
}

// Responses are read in another order than they were written. A limit counts until a
// response to a call that was sent after it was read names another, or none.
func TestLimitCountsUntilALaterResponse(t *testing.T) {
	is := is.New(t)
	l := &rateLimit{}
	is.True(l.observe(named(20, 0, 100)))
	is.Equal(l.rate(), 20.0)
	is.True(!l.observe(named(-1, 50, 120))) // may have been written before the first
	is.True(!l.observe(named(5, 90, 130)))
	is.Equal(l.rate(), 20.0)
	is.True(!l.observe(named(20, 110, 140)))
	is.True(l.observe(named(8, 120, 150))) // a lower limit at once
	is.Equal(l.rate(), 8.0)
	is.True(l.observe(named(-1, 160, 200)))
	is.Equal(l.rate(), 0.0)
}

// A limit that cannot be read changes nothing, and one of zero is the lowest that lets a
// call through.
func TestUnreadableLimitChangesNothing(t *testing.T) {
	is := is.New(t)
	l := &rateLimit{}
	is.True(l.observe(named(20, 0, 100)))
	unreadable := named(-1, 200, 300)
	unreadable.Err = &instance.InvalidRateLimitError{Text: "some"}
	is.True(!l.observe(unreadable))
	is.Equal(l.rate(), 20.0)
	is.True(l.observe(named(0, 400, 500)))
	is.True(l.rate() > 0 && l.rate() < 1)
	is.True(l.observe(named(1e300, 600, 700)))
	is.Equal(l.rate(), 0.0)
}

// Guards against a restarted node that knows no limit and against a limit that stays
// although the instance names none any more.
func TestLimitOfOtherNodeCountsUntilAResponse(t *testing.T) {
	is := is.New(t)
	l := &rateLimit{}
	l.adopt(30)
	is.Equal(l.rate(), 30.0)
	is.True(l.observe(named(-1, 0, 100)))
	is.Equal(l.rate(), 0.0)
	l.adopt(30)
	is.Equal(l.rate(), 0.0)
}

// limitedUpstream answers at once, with a rate limit while it has one.
type limitedUpstream struct {
	limit    atomic.Pointer[string]
	arrivals atomic.Int64
	// reject makes it reject all calls.
	reject atomic.Bool
}

func (u *limitedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.arrivals.Add(1)
	w.Header().Set("Id", r.Header.Get("Id"))
	if limit := u.limit.Load(); limit != nil {
		w.Header().Set("Limit", *limit)
	}
	if u.reject.Load() {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func newLimitedGate(t *testing.T, u *limitedUpstream) *Gate {
	t.Helper()
	server := httptest.NewServer(u)
	t.Cleanup(server.Close)
	g := newGate(t, &countingUpstream{})
	g.Instance = &instance.Client{
		Address: strings.TrimPrefix(server.URL, "http://"), Clock: clock.System{}, MaxBodyBytes: 1 << 20,
		Headers: instance.Headers{RequestID: "Id", NotExecuted: "Not-Run", InstanceID: "Instance", RateLimit: "Limit"},
	}
	g.Init()
	return g
}

// runMany runs n calls that cannot wait, one after another, and returns how many reached
// the instance.
func runMany(g *Gate, u *limitedUpstream, firstAttempt uint64, n int) int64 {
	before := u.arrivals.Load()
	for i := range n {
		run := newRun(firstAttempt + uint64(i))
		run.PatienceUs = 0
		g.Run(context.Background(), context.Background(), run)
	}
	return u.arrivals.Load() - before
}

// The limit is that of all calls, also of those that the instance rejects. Once no response
// names it, and for another instance at the same address, there is none.
func TestGateKeepsTheLimitOfItsInstance(t *testing.T) {
	is := is.New(t)
	u := &limitedUpstream{}
	g := newLimitedGate(t, u)
	is.Equal(runMany(g, u, 1, 50), int64(50))
	limit := "10"
	u.limit.Store(&limit)
	u.reject.Store(true)
	is.True(runMany(g, u, 100, 50) <= 5)
	is.Equal(g.Load().RateLimit, 10.0)
	is.True(g.Load().RateFullness > 0.5)
	outcome := g.Run(t.Context(), t.Context(), newRun(200)) // waits for its time
	is.Equal(outcome.Reason, linkrpc.Reason_REASON_REJECTED)
	u.limit.Store(nil)
	u.reject.Store(false)
	is.Equal(g.Run(t.Context(), t.Context(), newRun(201)).Fate, linkrpc.Fate_FATE_ANSWERED)
	is.Equal(runMany(g, u, 300, 50), int64(50))
	u.limit.Store(&limit)
	is.True(runMany(g, u, 400, 50) <= 5)
	g.SetLocalInstance(&LocalInstance{ID: "i-1", StartUnixMs: 7, Service: "desk", Slots: 4, Open: true})
	is.Equal(g.Load().RateLimit, 0.0)
}

// A node that restarts beside a limited instance learns the limit from the first call of a
// node that knows it.
func TestGateAdoptsTheLimitThatAPeerKnows(t *testing.T) {
	is := is.New(t)
	u := &limitedUpstream{}
	g := newLimitedGate(t, u)
	limit := "10"
	u.limit.Store(&limit)
	run := newRun(1)
	run.KnownRateLimit = 10
	run.RemainingUs = 0 // expires before it is sent
	g.Run(t.Context(), t.Context(), run)
	is.Equal(g.Load().RateLimit, 10.0)
}

// rate returns the limit in calls per second that was last in force, or 0.
func (l *rateLimit) rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pacer.Rate()
}

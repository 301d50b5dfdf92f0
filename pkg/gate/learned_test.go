package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// newLearningGate returns a gate with slow start, whose instance is open and warm.
func newLearningGate(t *testing.T, u *limitedUpstream) *Gate {
	t.Helper()
	g := newLimitedGate(t, u)
	g.SlowStart = true
	g.Init()
	return g
}

// setOpen announces the instance as a heartbeat tracker does.
func setOpen(g *Gate, open bool) {
	g.SetLocalInstance(&LocalInstance{ID: "i-1", Service: "desk", Slots: 40, Open: open})
}

// Guards against a limit of an instance that has neither started nor recovered.
func TestSlowStartBeginsOnlyWithAStartOrARecovery(t *testing.T) {
	limit := "10"
	cases := []struct {
		name    string
		off     bool
		event   func(g *Gate, u *limitedUpstream)
		limited bool
	}{
		{"nothing", false, func(*Gate, *limitedUpstream) {}, false},
		{"reopened", false, func(g *Gate, _ *limitedUpstream) { setOpen(g, false); setOpen(g, true) }, true},
		{"still closed", false, func(g *Gate, _ *limitedUpstream) { setOpen(g, false) }, false},
		{"reopened, turned off", true, func(g *Gate, _ *limitedUpstream) { setOpen(g, false); setOpen(g, true) }, false},
		{"replaced after it left", false, func(g *Gate, _ *limitedUpstream) {
			g.SetLocalInstance(&LocalInstance{ID: "i-1", Service: "desk", Slots: 40, Leaving: true})
			g.SetLocalInstance(&LocalInstance{ID: "i-2", Service: "desk", Slots: 40, Open: true})
		}, false},
		{"says that it is cold", false, func(g *Gate, _ *limitedUpstream) { g.HandleColdHeartbeat(coldAt(0, time.Now(), time.Minute)) }, true},
		{"says that it is warm", false, func(g *Gate, _ *limitedUpstream) { g.HandleColdHeartbeat(coldAt(0, time.Now(), 0)) }, false},
		{"unknown", false, func(g *Gate, _ *limitedUpstream) { g.AssumeCold() }, false},
		{"a limit ends", false, func(g *Gate, u *limitedUpstream) {
			u.limit.Store(&limit)
			runMany(g, u, 500, 1)
			u.limit.Store(nil)
			time.Sleep(10 * time.Millisecond)
			runMany(g, u, 600, 1)
		}, true},
		{"a limit that only a peer knew ends", false, func(g *Gate, _ *limitedUpstream) {
			run := newRun(500)
			run.KnownRateLimit = 10
			g.Run(t.Context(), t.Context(), run)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &limitedUpstream{}
			g := newLearningGate(t, u)
			if c.off {
				g.limit.slots = nil
			}
			setOpen(g, true)
			c.event(g, u)
			is.Equal(g.Load().RateLimit > 0, c.limited)
		})
	}
}

// An instance recovers, and rejects calls. Guards against a rate that does not drop, and against
// one at which no call reaches the instance any more.
func TestRateDropsWhileTheInstanceRejects(t *testing.T) {
	is := is.New(t)
	u := &limitedUpstream{}
	g := newLearningGate(t, u)
	setOpen(g, true)
	setOpen(g, false)
	setOpen(g, true)
	first := g.Load().RateLimit
	is.True(first > 0)
	u.reject.Store(true)
	for i := range 10 {
		is.Equal(g.Run(t.Context(), t.Context(), newRun(uint64(1+i))).Reason, linkrpc.Reason_REASON_REJECTED)
	}
	is.True(g.Load().RateLimit < first)
	is.True(g.Load().RateLimit >= 1)
}

// A cold period with a configured rate ends. Guards against the full load at that moment.
func TestSlowStartFollowsTheColdRate(t *testing.T) {
	is := is.New(t)
	g := newLearningGate(t, &limitedUpstream{})
	g.ColdRate = func() (float64, bool) { return 5, false }
	g.Init()
	setOpen(g, true)
	g.HandleColdHeartbeat(coldAt(0, time.Now(), 200*time.Millisecond))
	is.Equal(g.Load().RateLimit, 5.0)
	time.Sleep(250 * time.Millisecond)
	is.True(g.Load().RateLimit > 5)
}

package gate

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// coldAt returns a report of a start of the instance, at a time, that it stays cold for
// remaining.
func coldAt(start int64, at time.Time, remaining time.Duration) ColdReport {
	r := ColdReport{Incarnation: fleet.Incarnation{Instance: "i-1", StartUnixMs: start}, Known: true, At: at}
	if remaining > 0 {
		r.Until = at.Add(remaining)
	}
	return r
}

// Guards against an instance that counts as warm while nothing is known of it, by what it said
// before a connection broke, or by a health check from before.
func TestUnknownInstanceIsColdUntilALaterReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	c := &coldState{}
	is.True(c.isCold(now))
	c.heartbeat(coldAt(1, now, 0))
	is.True(!c.isCold(now))
	c.assume(now.Add(time.Second), false)
	c.heartbeat(coldAt(1, now.Add(time.Second), 0))
	is.True(!c.healthCheck(coldAt(1, now, 0)))
	is.True(c.isCold(now.Add(time.Second)))
	is.True(c.healthCheck(coldAt(1, now.Add(2*time.Second), 0)))
	is.True(!c.isCold(now.Add(2 * time.Second)))
	c.assume(now.Add(3*time.Second), false)
	c.heartbeat(coldAt(1, now.Add(4*time.Second), 2*time.Second))
	is.True(c.isCold(now.Add(5 * time.Second)))
	is.True(!c.isCold(now.Add(6 * time.Second)))
}

// The process of an instance ends, and heartbeats that it sent before arrive late. Guards
// against the process that follows under the same id, which is flooded as they say that it is
// warm.
func TestLateHeartbeatOfAnEndedProcessSaysNothing(t *testing.T) {
	now := time.Unix(100, 0)
	at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	t.Run("refused a connection", func(t *testing.T) {
		is := is.New(t)
		c := &coldState{}
		c.heartbeat(coldAt(1, at(0), 0))
		c.assume(at(1), true)
		c.heartbeat(coldAt(1, at(2), 0))
		is.True(c.isCold(at(2)))
		c.heartbeat(coldAt(2, at(3), 3*time.Second))
		is.True(c.isCold(at(5)))
		is.True(!c.isCold(at(6)))
	})
	t.Run("health check says that it is cold", func(t *testing.T) {
		is := is.New(t)
		c := &coldState{}
		c.heartbeat(coldAt(1, at(0), 0))
		c.assume(at(1), false)
		is.True(c.healthCheck(coldAt(1, at(2), 3*time.Second)))
		c.heartbeat(coldAt(1, at(3), 0))
		is.True(c.isCold(at(3)))
		c.heartbeat(coldAt(1, at(4), 4*time.Second)) // cold again
		is.True(c.isCold(at(7)))
	})
	t.Run("sent later after all", func(t *testing.T) {
		is := is.New(t)
		c := &coldState{}
		c.heartbeat(coldAt(1, at(0), 0))
		c.assume(at(1), true)
		c.heartbeat(coldAt(1, at(1).Add(staleReportTime), 0))
		is.True(!c.isCold(at(12)))
	})
}

// Guards against a new start of the instance that inherits the state of the one before.
func TestNewStartThatSaysNothingIsUnknown(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	c := &coldState{}
	c.heartbeat(coldAt(1, now, 0))
	unknown := coldAt(1, now, 0)
	unknown.Known = false
	c.heartbeat(unknown)
	is.True(!c.isCold(now))
	unknown.Incarnation.StartUnixMs = 2
	c.heartbeat(unknown)
	is.True(c.isCold(now))
}

// The bound leaves room for the health checks of the node, which are never held back.
func TestCallsPerWindowStayWithinTheBound(t *testing.T) {
	for _, rate := range []float64{0.5, 1, 5, 17, 100} {
		is := is.New(t)
		b := ColdBound{Overage: 1.5, Slack: 8}
		is.True(float64(b.callsPerWindow(rate)+healthChecksPerWindow) <= rate*b.Overage+b.Slack)
		is.True(b.callsPerWindow(rate) >= 1)
		is.True(float64(ColdBound{}.callsPerWindow(rate)) >= rate)
	}
}

// newColdGate returns the gate of an instance that takes so many calls per second while cold.
func newColdGate(t *testing.T, u *limitedUpstream, rate float64) *Gate {
	t.Helper()
	g := newLimitedGate(t, u)
	g.ColdRate, g.ColdBound = func() (float64, bool) { return rate, false }, ColdBound{Overage: 1.5, Slack: 8}
	g.Init()
	return g
}

// Guards against a gate that sends a cold instance more than its rate, reports the capacity
// of all slots, or still limits it once it is warm.
func TestGateLimitsAColdInstance(t *testing.T) {
	is := is.New(t)
	u := &limitedUpstream{}
	g := newColdGate(t, u, 10)
	is.Equal(runMany(g, u, 1, 60), int64(60))
	g.SetLocalInstance(&LocalInstance{ID: "i-1", StartUnixMs: 2, Service: "desk", Slots: 40, Open: true, ColdUntil: time.Now().Add(time.Hour)})
	time.Sleep(coldWindow)
	reached := runMany(g, u, 100, 60)
	is.True(reached >= 1 && reached <= 4)
	is.Equal(g.Load().RateLimit, 10.0)
	is.True(g.Load().Limit < 30)
	g.SetLocalInstance(&LocalInstance{ID: "i-1", StartUnixMs: 3, Service: "desk", Slots: 40, Open: true})
	is.Equal(runMany(g, u, 200, 60), int64(60))
	is.Equal(g.Load().RateLimit, 0.0)
	g.AssumeCold()
	is.Equal(g.Load().RateLimit, 10.0)
	g.HandleColdHeartbeat(coldAt(3, time.Now(), 0))
	is.Equal(g.Load().RateLimit, 0.0)
}

// Calls wait for a slot of a warm instance that becomes cold. Guards against calls that are
// sent at the rate at which they were admitted, and against calls that are dropped.
func TestCallAdmittedAtAHigherRateIsReturned(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{callTime: 100 * time.Millisecond}
	g := newGate(t, upstream)
	g.ColdRate, g.ColdBound = func() (float64, bool) { return 2, false }, ColdBound{Overage: 1.5, Slack: 8}
	g.Init()
	outcomes := make(chan *linkrpc.Outcome, 30)
	for i := range 30 {
		go func() { outcomes <- g.Run(context.Background(), context.Background(), newRun(uint64(i+1))) }()
	}
	time.Sleep(50 * time.Millisecond)
	g.AssumeCold()
	answered, full := 0, 0
	for range 30 {
		switch o := <-outcomes; {
		case o.Fate == linkrpc.Fate_FATE_ANSWERED:
			answered++
		case o.Fate == linkrpc.Fate_FATE_NOT_RUN && o.Reason == linkrpc.Reason_REASON_FULL:
			full++
		}
	}
	is.Equal(answered+full, 30)
	is.Equal(upstream.executions.Load(), int64(answered))
	is.True(answered <= 4+g.ColdBound.callsPerWindow(2))
}

// Guards against an instance that restarts unnoticed: it refuses a connection, ends one that
// carries a call, or ends one that is kept for later calls.
func TestBrokenConnectionMakesTheStateUnknown(t *testing.T) {
	warm := func(g *Gate) { g.HandleColdHeartbeat(coldAt(0, time.Now(), 0)) }
	known := func(g *Gate) bool { _, known := g.Cold(); return known }
	t.Run("kept connection ended", func(t *testing.T) {
		is := is.New(t)
		g := newColdGate(t, &limitedUpstream{}, 10)
		var conns []net.Conn
		g.Instance.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			conns = append(conns, c)
			return c, err
		}
		warm(g)
		is.Equal(g.Run(t.Context(), t.Context(), newRun(1)).Fate, linkrpc.Fate_FATE_ANSWERED)
		is.True(known(g))
		is.NoErr(conns[0].(*net.TCPConn).CloseRead()) // reads as an end of the input
		is.Equal(g.Run(t.Context(), t.Context(), newRun(2)).Fate, linkrpc.Fate_FATE_ANSWERED)
		is.True(!known(g))
	})
	t.Run("refused", func(t *testing.T) {
		is := is.New(t)
		g := newColdGate(t, &limitedUpstream{}, 10)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		is.NoErr(l.Close())
		g.Instance.Address = l.Addr().String()
		warm(g)
		var unknown atomic.Int64
		g.OnColdUnknown = func() { unknown.Add(1) }
		is.Equal(g.Run(t.Context(), t.Context(), newRun(1)).Reason, linkrpc.Reason_REASON_BROKEN)
		is.True(!known(g))
		is.Equal(unknown.Load(), int64(1))
	})
	t.Run("ended during a call", func(t *testing.T) {
		is := is.New(t)
		g := newColdGate(t, &limitedUpstream{}, 10)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		go func() {
			if c, err := l.Accept(); err == nil {
				_, _ = c.Read(make([]byte, 1024))
				_ = c.Close()
			}
		}()
		g.Instance.Address = l.Addr().String()
		warm(g)
		is.Equal(g.Run(t.Context(), t.Context(), newRun(1)).Fate, linkrpc.Fate_FATE_LOST)
		is.True(!known(g))
	})
	t.Run("cancelled by the caller", func(t *testing.T) {
		is := is.New(t)
		upstream := &countingUpstream{callTime: time.Minute}
		g := newGate(t, upstream)
		warm(g)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		g.Run(ctx, t.Context(), newRun(1))
		is.True(known(g))
	})
}

// Health checks of the node count as calls, and are not held back.
func TestHealthChecksCountAsCalls(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	l := &rateLimit{coldRate: func() (float64, bool) { return 2, false }, bound: ColdBound{Overage: 1.5, Slack: 8}}
	for range l.bound.callsPerWindow(2) {
		is.NoErr(l.checkSend(now, true))
	}
	is.True(l.checkSend(now, false) != nil)
	is.NoErr(l.checkSend(now, true))
	is.True(l.checkSend(now.Add(coldWindow-1), false) != nil)
	is.NoErr(l.checkSend(now.Add(coldWindow), false))
}

// A node starts, and the first heartbeat that it gets is a late one of a process that has ended.
// Guards against the process that follows under the same id, which is flooded as nobody asks it.
func TestFirstHeartbeatThatSaysWarmIsVerified(t *testing.T) {
	now := time.Unix(100, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	t.Run("the instance says that it is cold", func(t *testing.T) {
		is := is.New(t)
		c := &coldState{}
		c.heartbeat(coldAt(1, at(0), 0))
		is.True(!c.isCold(at(0)) && c.isCheckDue())
		is.True(c.healthCheck(coldAt(1, at(1), 3*time.Second)))
		c.heartbeat(coldAt(1, at(2), 0))
		is.True(c.isCold(at(2)) && !c.isCheckDue())
	})
	t.Run("the instance says that it is warm", func(t *testing.T) {
		is := is.New(t)
		c := &coldState{}
		c.heartbeat(coldAt(1, at(0), 0))
		is.True(c.healthCheck(coldAt(1, at(1), 0)))
		c.heartbeat(coldAt(1, at(2), 0))
		is.True(!c.isCold(at(2)) && !c.isCheckDue())
	})
	t.Run("a heartbeat that says cold needs no check", func(t *testing.T) {
		is := is.New(t)
		c := &coldState{}
		c.heartbeat(coldAt(1, at(0), time.Second))
		is.True(c.isCold(at(0)) && !c.isCheckDue())
	})
	t.Run("another instance answers", func(t *testing.T) {
		is := is.New(t)
		g := newColdGate(t, &limitedUpstream{}, 10)
		g.HandleColdHeartbeat(coldAt(1, time.Now(), 0))
		g.HandleColdCheckFailed(true)
		cold, known := g.Cold()
		is.True(cold && !known)
		g.HandleColdHeartbeat(coldAt(2, time.Now(), 0))
		g.HandleColdCheckFailed(false)
		cold, _ = g.Cold()
		is.True(!cold && !g.ColdCheckDue())
	})
}

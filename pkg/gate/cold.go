package gate

import (
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/instance"
)

const (
	// staleReportTime is how long heartbeats that a process of the instance sent before it
	// ended may still arrive.
	staleReportTime = 10 * time.Second
	// coldWindow is the length of the window in which the calls to a cold instance are
	// counted.
	coldWindow = time.Second
	// windowBurstFraction is the fraction of the rate that may be sent in a window on top of
	// it: the pacer lets as much pass at once after an idle time.
	windowBurstFraction = 0.25
	// healthChecksPerWindow is the number of health checks of the node in a window while none of
	// them finds the instance warm.
	// They are counted, but never held back, as the state of the instance depends on them.
	healthChecksPerWindow = 6
)

type (
	// ColdReport is what the instance says on how long it stays cold.
	ColdReport struct {
		Incarnation fleet.Incarnation
		// Known is false for a heartbeat that does not say whether the instance is cold.
		Known bool
		// Until is when the cold period ends; zero if the instance is warm.
		Until time.Time
		// At is when the heartbeat arrived, or when the health check was sent.
		At time.Time
	}

	// ColdBound is the highest number of calls per second to a cold instance: Overage times
	// its rate, plus Slack. The zero value is no bound.
	ColdBound struct {
		Overage, Slack float64
	}

	// coldState is what the gate knows of the cold period of the instance. Unknown is
	// treated as cold. The zero value is unknown.
	coldState struct {
		known bool
		// until is valid if known.
		until time.Time
		// unknownSince is when the state last became unknown.
		unknownSince time.Time
		// unverified reports that the state became known by a heartbeat that said "warm". It
		// may have been sent long before, by a process that has ended since, so that a health
		// check is to confirm it.
		unverified bool
		// reported sent the last report that was applied.
		reported fleet.Incarnation
		// ended is an incarnation whose process has ended, and endedAt when that was seen
		// last. Its heartbeats may still be in transit.
		ended   fleet.Incarnation
		endedAt time.Time
	}

	// sendWindow holds the times at which calls were sent in the last window.
	sendWindow struct {
		times []time.Time
	}
)

// ColdLimitError reports a call that was not sent, as a cold instance had got all the calls
// that it takes in a second.
type ColdLimitError struct{}

// Error implements error.
func (e *ColdLimitError) Error() string {
	return "the cold instance takes no more calls in this second"
}

// isCold reports whether the instance is cold or may be.
func (c *coldState) isCold(now time.Time) bool { return !c.known || now.Before(c.until) }

// isReportedCold reports whether the instance has said that it is cold.
func (c *coldState) isReportedCold(now time.Time) bool { return c.known && now.Before(c.until) }

// assume makes the state unknown. ended reports whether the process of the instance has
// ended, so that what it has sent says nothing of the one that follows.
func (c *coldState) assume(now time.Time, ended bool) {
	c.known, c.unverified, c.unknownSince = false, false, now
	if ended {
		c.noteEnd(now)
	}
}

func (c *coldState) noteEnd(now time.Time) { c.ended, c.endedAt = c.reported, now }

// heartbeat applies what a heartbeat says. If it does not say whether a new incarnation is cold,
// the state is unknown. A heartbeat that arrived before the state became unknown, or whose sender
// has ended since, is inconclusive: it can only prolong a cold period.
func (c *coldState) heartbeat(r ColdReport) {
	stale := r.Incarnation == c.ended && r.At.Sub(c.endedAt) < staleReportTime
	switch {
	case !r.Known:
		if r.Incarnation != c.reported {
			c.assume(r.At, false)
			c.reported = r.Incarnation
		}
		return
	case !c.known && (stale || !r.At.After(c.unknownSince)):
		return
	case stale && !r.Until.After(c.until):
		return
	}
	c.unverified = r.Until.IsZero() && (!c.known || c.unverified)
	c.known, c.until, c.reported = true, r.Until, r.Incarnation
}

// isCheckDue reports whether a health check is to tell the state.
func (c *coldState) isCheckDue() bool { return !c.known || c.unverified }

// healthCheck applies the response to a health check that was sent after the state became
// unknown. One to an earlier check, or one that is not due any more, is inconclusive.
func (c *coldState) healthCheck(r ColdReport) bool {
	if !c.isCheckDue() || !r.At.After(c.unknownSince) {
		return false
	}
	c.known, c.unverified, c.until = true, false, r.Until
	if !r.Until.IsZero() {
		// It was warm or unknown before, so it may have started anew under the same id.
		c.noteEnd(r.At)
	}
	return true
}

// add counts a call that is sent now.
func (w *sendWindow) add(now time.Time) { w.times = append(w.times, now) }

// count returns the number of calls sent in the window that ends now.
func (w *sendWindow) count(now time.Time) int {
	expired := 0
	for expired < len(w.times) && now.Sub(w.times[expired]) >= coldWindow {
		expired++
	}
	w.times = w.times[expired:]
	return len(w.times)
}

// callsPerWindow returns how many calls may be sent to a cold instance in a window, health
// checks included.
func (b ColdBound) callsPerWindow(rate float64) int {
	calls := int(rate*(1+windowBurstFraction)) + 1
	if b.Overage > 0 {
		calls = min(calls, int(rate*b.Overage+b.Slack)-healthChecksPerWindow)
	}
	return max(1, calls)
}

// checkSend counts a call that is about to be sent. It returns *ColdLimitError if the
// instance is cold and the call does not fit into the present window: it may have been
// admitted while the instance was warm.
func (l *rateLimit) checkSend(now time.Time, healthCheck bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate, applies := l.coldRateOf(now)
	if rate == 0 {
		l.sent = sendWindow{}
		return nil
	}
	sent := l.sent.count(now)
	if !healthCheck && applies && sent >= l.bound.callsPerWindow(rate) {
		return &ColdLimitError{}
	}
	l.sent.add(now)
	return nil
}

// begin applies the state of an incarnation that was announced without a heartbeat.
func (l *rateLimit) begin(r ColdReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cold.reported != r.Incarnation {
		l.cold.heartbeat(r)
		l.applyCold(r.At, false)
	}
}

// applyCold applies a report on the cold period. A cold period that begins calls for a slow
// start. The caller holds mu.
func (l *rateLimit) applyCold(now time.Time, wasCold bool) {
	if !wasCold && l.cold.isReportedCold(now) {
		l.beginSlowStart()
	}
	l.refresh(now)
}

// assumeCold makes the state of the instance unknown.
func (l *rateLimit) assumeCold(now time.Time, ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.assume(now, ended)
	l.refresh(now)
}

// coldRateOf returns the calls per second that a cold instance takes, or 0, and whether that
// limit applies now. The caller holds mu.
func (l *rateLimit) coldRateOf(now time.Time) (rate float64, applies bool) {
	if l.coldRate == nil {
		return 0, false
	}
	rate, evenIfWarm := l.coldRate()
	return rate, rate > 0 && (evenIfWarm || l.cold.isCold(now))
}

// AssumeCold treats the instance as cold until a heartbeat that arrives later, or a health
// check that is sent later, says otherwise.
func (g *Gate) AssumeCold() { g.assumeCold(false) }

func (g *Gate) assumeCold(ended bool) {
	g.limit.assumeCold(g.Clock.Now(), ended)
	if g.OnColdUnknown != nil {
		g.OnColdUnknown()
	}
}

// HandleColdHeartbeat applies what a heartbeat says on the cold period. It must be called
// before the gate opens for the sender.
func (g *Gate) HandleColdHeartbeat(r ColdReport) {
	g.limit.mu.Lock()
	defer g.limit.mu.Unlock()
	now := g.Clock.Now()
	wasCold := g.limit.cold.isReportedCold(now)
	g.limit.cold.heartbeat(r)
	g.limit.applyCold(now, wasCold)
	if g.limit.cold.unverified && g.OnColdUnknown != nil {
		g.OnColdUnknown()
	}
}

// HandleColdHealthCheck applies the response of the instance to a health check. It returns
// false if that was inconclusive.
func (g *Gate) HandleColdHealthCheck(r ColdReport) bool {
	g.limit.mu.Lock()
	defer g.limit.mu.Unlock()
	now := g.Clock.Now()
	wasCold := g.limit.cold.isReportedCold(now)
	applied := g.limit.cold.healthCheck(r)
	g.limit.applyCold(now, wasCold)
	return applied
}

// HandleColdCheckFailed applies a health check that was inconclusive. replaced reports whether
// another instance answered it.
func (g *Gate) HandleColdCheckFailed(replaced bool) {
	g.limit.mu.Lock()
	defer g.limit.mu.Unlock()
	if replaced && g.limit.cold.unverified {
		g.limit.cold.assume(g.Clock.Now(), true)
	}
	g.limit.cold.unverified = false
	g.limit.refresh(g.Clock.Now())
}

// ColdCheckDue reports whether a health check is to tell whether the instance is cold.
func (g *Gate) ColdCheckDue() bool {
	g.limit.mu.Lock()
	defer g.limit.mu.Unlock()
	return g.limit.cold.isCheckDue()
}

// Cold reports whether the instance is treated as cold, and whether it is known to be so.
func (g *Gate) Cold() (cold, known bool) {
	g.limit.mu.Lock()
	defer g.limit.mu.Unlock()
	return g.limit.cold.isCold(g.Clock.Now()), g.limit.cold.known
}

// checkSend checks a call at the moment it is sent.
func (g *Gate) checkSend(call *instance.Call) error {
	return g.limit.checkSend(g.Clock.Now(), call.HealthCheck)
}

// handleBroken treats the instance as cold after it has ended a connection: it may have
// restarted. If nothing listens at its address, its process has ended.
func (g *Gate) handleBroken(err error) { g.assumeCold(errors.Is(err, syscall.ECONNREFUSED)) }

// noteRejection treats the instance as cold if another one has responded in its place.
func (g *Gate) noteRejection(err *instance.RejectedError) {
	if g.isReplaced(err) {
		g.assumeCold(true)
	}
}

// isReplaced reports whether a call was rejected by another instance than the local one.
func (g *Gate) isReplaced(err *instance.RejectedError) bool {
	return err.Status == http.StatusMisdirectedRequest && err.RespondedBy != string(g.local.Load().ID)
}

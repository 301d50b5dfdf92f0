// Package failurerate measures which fractions of the recent calls of an instance were
// rejected or failed. It answers the load pattern of an instance that rejects or fails
// calls at once: it looks idle, so that balancing by load alone sends it more calls than
// the other instances of its service.
package failurerate

import (
	"math"
	"time"
)

const (
	// window is the time over which the calls of a busy instance are counted.
	window = 700 * time.Millisecond
	// minCalls is the number of calls that the fractions rest on where fewer arrive within
	// window. Fewer would let an instance that rejects half of its calls pass for
	// recovered after some calls that it ran by chance; more would delay the recovery of an
	// instance that gets probe traffic only.
	minCalls = 8.0
	// recoveryCalls is the number of calls in a row that an instance with few calls, up to
	// probedCalls within window, must have run until its earlier failures count for
	// recoveryFactor only, with each further one again. An instance that has failed all calls
	// would otherwise need twice as many.
	recoveryCalls  = 6
	probedCalls    = 2 * minCalls
	recoveryFactor = 0.5
	// idleWindow is the time over which calls are forgotten where fewer than minCalls are
	// counted.
	idleWindow = 4 * time.Second
)

// Result is how a call ended.
type Result int

const (
	// ResultDone is a call that the instance ran.
	ResultDone Result = iota
	// ResultRejected is a call that the instance rejected without running it.
	ResultRejected
	// ResultFailed is a call that failed through the fault of the instance.
	ResultFailed
)

// Meter measures the fractions of the calls of one instance. The zero value has seen no
// calls. It is not safe for concurrent use.
type Meter struct {
	calls, rejected, failed float64
	updated                 time.Time
	// doneInRow is the number of calls that the instance has run since the last other one.
	doneInRow int
}

// Observe counts a call that has ended.
func (m *Meter) Observe(now time.Time, r Result) {
	m.forget(now)
	m.calls++
	switch r {
	case ResultRejected:
		m.rejected++
	case ResultFailed:
		m.failed++
	}
	if r != ResultDone {
		m.doneInRow = 0
		return
	}
	m.doneInRow++
	if m.doneInRow >= recoveryCalls && m.calls <= probedCalls {
		m.rejected *= recoveryFactor
		m.failed *= recoveryFactor
	}
}

// Fractions returns the fractions of the recent calls that were rejected and that failed.
// Calls that are missing to minCalls count as run.
func (m *Meter) Fractions(now time.Time) (rejected, failed float64) {
	m.forget(now)
	counted := max(m.calls, minCalls)
	return m.rejected / counted, m.failed / counted
}

// forget lowers the counts by the time that has passed.
func (m *Meter) forget(now time.Time) {
	elapsed := now.Sub(m.updated)
	if elapsed <= 0 {
		return
	}
	m.updated = now
	if m.calls > minCalls {
		untilMin := time.Duration(float64(window) * math.Log(m.calls/minCalls))
		if elapsed <= untilMin {
			m.scale(decay(elapsed, window))
			return
		}
		m.scale(minCalls / m.calls)
		elapsed -= untilMin
	}
	m.scale(decay(elapsed, idleWindow))
}

func (m *Meter) scale(factor float64) {
	m.calls *= factor
	m.rejected *= factor
	m.failed *= factor
}

func decay(elapsed, over time.Duration) float64 { return math.Exp(-elapsed.Seconds() / over.Seconds()) }

package gate

import (
	"errors"
	"net/http"
	"time"

	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/slowstart"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// beginSlowStart asks for a slow start, which begins once the slots of the instance are known
// and while its cold rate does not apply. The caller holds mu.
func (l *rateLimit) beginSlowStart() {
	if l.slots != nil {
		l.slowStartDue = true
	}
}

// learnedRate returns the learned rate in calls per second, or 0 if there is none. coldRate is
// the rate of the cold instance, or 0 if it does not apply. The caller holds mu.
func (l *rateLimit) learnedRate(now time.Time, coldRate float64) float64 {
	if !l.slowStartDue || coldRate > 0 {
		return l.learned.Rate(now)
	}
	if slots, runTime := l.slots(); slots > 0 {
		l.slowStartDue = false
		l.learned.Begin(now, slots, runTime)
	}
	return l.learned.Rate(now)
}

// observeCall applies a call that was sent to the instance.
func (l *rateLimit) observeCall(now time.Time, s slowstart.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learned.Observe(now, s)
}

// reopen begins a slow start, as the gate opens after the instance was silent or unreachable.
func (l *rateLimit) reopen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beginSlowStart()
}

// expectedRun returns the slots of the instance and the mean time of a call; the latter is 0
// if none was measured.
func (g *Gate) expectedRun() (slots int, runTime time.Duration) {
	load := g.Slots.Load()
	return load.Limit, load.MeanSlotTime
}

// learnFrom applies a call that has ended to the learned rate. A call that its caller or the
// end of the node cancelled says nothing of the instance, and neither does one that another
// instance answered, that was not sent in the end, or whose response the node had no memory for.
func (g *Gate) learnFrom(d *Decision, cancelled bool) {
	if d.SentAt.IsZero() || cancelled || g.givenUp.Load() {
		return
	}
	now := g.Clock.Now()
	s := slowstart.Sample{RunTime: now.Sub(d.SentAt)}
	var noMemory *memory.NoMemoryError
	switch {
	case d.Outcome.Fate == linkrpc.Fate_FATE_ANSWERED && d.Outcome.Status >= http.StatusInternalServerError:
		s.Outcome = slowstart.OutcomeError
	case d.Outcome.Fate == linkrpc.Fate_FATE_ANSWERED:
	case d.Outcome.Reason == linkrpc.Reason_REASON_EXPIRED:
		// A call of the instance may have taken the time. It counts as slow.
	case errors.As(d.Cause, &noMemory), d.Outcome.Fate == linkrpc.Fate_FATE_NOT_RUN && d.Outcome.Reason != linkrpc.Reason_REASON_REJECTED:
		return
	case d.Outcome.Reason != linkrpc.Reason_REASON_REJECTED:
		s.Outcome = slowstart.OutcomeFailed
	case g.isAnsweredByOther(d):
		return
	default:
		s.Outcome = slowstart.OutcomeRejected
	}
	g.limit.observeCall(now, s)
}

// isAnsweredByOther reports whether another instance rejected the call in place of the local one.
func (g *Gate) isAnsweredByOther(d *Decision) bool {
	var rejected *instance.RejectedError
	return errors.As(d.Cause, &rejected) && g.isReplaced(rejected)
}

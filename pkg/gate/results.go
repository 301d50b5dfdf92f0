package gate

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/failurerate"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// fastDivisor divides the usual run time to give the run time below which an error
	// response makes the instance look idle.
	fastDivisor = 4
	// hangFactor is the number of usual run times after which a call without a response
	// counts as failed. A caller that waits for less says nothing about the instance.
	hangFactor = 4
	// fullFraction is the fraction of the slots in use from which rejections are expected
	// while other calls run: they show as fullness already.
	fullFraction = 0.9
)

// resultMeter measures the results of the calls of the local instance. The zero value has
// seen no calls. It is safe for concurrent use.
type resultMeter struct {
	mu    sync.Mutex
	meter failurerate.Meter
}

func (m *resultMeter) observe(now time.Time, r failurerate.Result) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter.Observe(now, r)
}

func (m *resultMeter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.meter = failurerate.Meter{}
}

// applyTo adds the fractions of rejected and failed calls to a load.
func (m *resultMeter) applyTo(load *linkrpc.Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rejected, failed := m.meter.Fractions(now)
	load.RejectedFraction, load.FailedFraction = float32(rejected), float32(failed)
}

// measure counts the result of a call that held a slot, and returns the time for which the
// slot counts as held: 0 if it says nothing about the usual run time. The call still
// holds its slot.
func (g *Gate) measure(ctx context.Context, d *Decision) time.Duration {
	slots := g.Slots.Load()
	full := slots.InFlight > 1 && float64(slots.InFlight) >= fullFraction*float64(slots.Limit)
	if result, counts := g.resultOf(ctx, d, slots.MeanSlotTime, full); counts {
		g.results.observe(g.Clock.Now(), result)
	}
	if d.Outcome.Fate != linkrpc.Fate_FATE_ANSWERED || isFastError(d, slots.MeanSlotTime) {
		return 0
	}
	return d.Ran
}

// resultOf returns the result of a call, or false if it is not certain whose fault it is.
func (g *Gate) resultOf(ctx context.Context, d *Decision, usual time.Duration, full bool) (failurerate.Result, bool) {
	switch {
	case d.SentAt.IsZero():
		return 0, false
	case d.Outcome.Fate == linkrpc.Fate_FATE_ANSWERED && isFastError(d, usual):
		return failurerate.ResultFailed, !g.Outgoing.mayExplain(d.SentAt)
	case d.Outcome.Fate == linkrpc.Fate_FATE_ANSWERED:
		return failurerate.ResultDone, true
	case d.Outcome.Reason == linkrpc.Reason_REASON_REJECTED:
		return failurerate.ResultRejected, !full && !g.isAnsweredByOther(d)
	}
	return failurerate.ResultFailed, isFault(ctx, d, usual) && !g.Outgoing.mayExplain(d.SentAt)
}

// isFault reports whether a lost call was lost through the fault of the instance: it sent no
// valid response, or none for much longer than usual.
func isFault(ctx context.Context, d *Decision, usual time.Duration) bool {
	var givenUp *GivenUpError
	var noResponse *instance.ResponseError
	var noMemory *memory.NoMemoryError
	switch {
	case errors.As(d.Cause, &noMemory):
		// The node lacks the memory for the response.
		return false
	case ctx.Err() != nil || errors.As(d.Cause, &givenUp) || !errors.As(d.Cause, &noResponse):
		return false
	case d.Outcome.Reason == linkrpc.Reason_REASON_EXPIRED:
		return usual > 0 && d.Ran >= hangFactor*usual
	}
	return true
}

// isFastError reports whether the instance answered with a server error much faster than
// usual. Before the first other response there is no usual run time, and any is fast.
func isFastError(d *Decision, usual time.Duration) bool {
	return d.Outcome.Status >= http.StatusInternalServerError && (usual <= 0 || d.Ran*fastDivisor < usual)
}

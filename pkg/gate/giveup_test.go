package gate

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against running calls that outlive the gate or end as expired, and against a change of those that have ended or never ran.
func TestGivenUpGateEndsOnlyRunningAttempts(t *testing.T) {
	const (
		answered uint64 = iota + 1
		fenced
		running
		late
	)
	is := is.New(t)
	upstream := &countingUpstream{}
	g := newGate(t, upstream)
	var causes []error
	g.OnDecision = func(d *Decision) {
		causes = append(causes, d.Cause)
	}
	is.Equal(g.Run(t.Context(), t.Context(), newRun(answered)).Fate, linkrpc.Fate_FATE_ANSWERED)
	is.Equal(g.QueryOutcome(t.Context(), &linkrpc.Ask{Attempt: fenced}).Fate, linkrpc.Fate_FATE_NOT_RUN)
	upstream.callTime = time.Minute
	outcomes := make(chan *linkrpc.Outcome, 1)
	go func() { outcomes <- g.Run(t.Context(), t.Context(), newRun(running)) }()
	for upstream.running.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	g.Drain()
	started := time.Now()
	g.GiveUp()
	lost := <-outcomes
	is.True(time.Since(started) < 500*time.Millisecond)
	is.Equal(lost.Fate, linkrpc.Fate_FATE_LOST)
	is.Equal(lost.Reason, linkrpc.Reason_REASON_BROKEN)
	var givenUp *GivenUpError
	var noResponse *instance.ResponseError
	is.True(errors.As(causes[1], &givenUp) && errors.As(causes[1], &noResponse))
	is.Equal(g.QueryOutcome(t.Context(), &linkrpc.Ask{Attempt: running}), lost)
	kept := g.QueryOutcome(t.Context(), &linkrpc.Ask{Attempt: answered})
	is.Equal(kept.Fate, linkrpc.Fate_FATE_ANSWERED)
	is.Equal(kept.Status, uint32(http.StatusOK))
	is.Equal(g.Run(t.Context(), t.Context(), newRun(fenced)).Reason, linkrpc.Reason_REASON_SEALED)
	is.Equal(g.Run(t.Context(), t.Context(), newRun(late)).Reason, linkrpc.Reason_REASON_CLOSED)
}

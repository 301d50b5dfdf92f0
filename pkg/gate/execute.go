package gate

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// GivenUpError is the cause of the outcome of a call that GiveUp ended.
type GivenUpError struct {
	// Cause is the error of the call.
	Cause error
}

// Error implements error.
func (e *GivenUpError) Error() string { return "given up as the node stops: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *GivenUpError) Unwrap() error { return e.Cause }

// execute sends the call to the instance and returns the outcome.
func (g *Gate) execute(ctx context.Context, d *Decision) (*linkrpc.Outcome, error) {
	run := d.Run
	remaining := time.Duration(run.RemainingUs)*time.Microsecond - g.Clock.Now().Sub(d.Arrived)
	if remaining < minRemaining {
		return NotRunOutcome(linkrpc.Reason_REASON_EXPIRED), nil
	}
	ctx, cancel := context.WithTimeout(ctx, remaining+responseMargin)
	defer cancel()
	if g.OnStart != nil {
		defer g.OnStart(run, g.Clock.Now().Add(remaining))()
	}
	local := g.local.Load()
	call := &instance.Call{
		Method: run.Method, Target: run.Target, Host: run.Host, Body: run.Body,
		Idempotent: run.Idempotent, RequestID: run.Request, ExpectedInstance: string(local.ID), Headers: g.instanceHeaders(run, local, remaining),
	}
	response, err := g.Instance.Do(ctx, call)
	d.SentAt = call.SentAt
	var notSent *instance.NotSentError
	var rejected *instance.RejectedError
	switch {
	case err == nil:
		return &linkrpc.Outcome{
			Fate: linkrpc.Fate_FATE_ANSWERED, Status: uint32(response.Status), Headers: response.Headers, Body: response.Body,
		}, nil
	case errors.As(err, &notSent):
		return g.unsentOutcome(ctx), err
	case errors.As(err, &rejected):
		return NotRunOutcome(linkrpc.Reason_REASON_REJECTED), err
	case g.givenUp.Load() && errors.Is(ctx.Err(), context.Canceled):
		return LostOutcome(linkrpc.Reason_REASON_BROKEN), &GivenUpError{Cause: err}
	case ctx.Err() != nil:
		return LostOutcome(linkrpc.Reason_REASON_EXPIRED), err
	}
	return LostOutcome(linkrpc.Reason_REASON_BROKEN), err
}

// unsentOutcome returns the outcome of a call that was not sent to the instance, whose
// context may have ended.
func (g *Gate) unsentOutcome(ctx context.Context) *linkrpc.Outcome {
	switch {
	case ctx.Err() == nil, g.givenUp.Load():
		return NotRunOutcome(linkrpc.Reason_REASON_BROKEN)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return NotRunOutcome(linkrpc.Reason_REASON_EXPIRED)
	}
	return NotRunOutcome(linkrpc.Reason_REASON_CANCELLED)
}

// instanceHeaders returns the headers of a call with those that the gate adds.
func (g *Gate) instanceHeaders(run *linkrpc.Run, local *LocalInstance, remaining time.Duration) []string {
	headers := make([]string, len(run.Headers), len(run.Headers)+8)
	copy(headers, run.Headers)
	headers = append(headers, g.Headers.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10),
		g.Headers.ExpectedInstance, string(local.ID), g.Headers.CallerService, run.CallerService)
	if run.Organisation != "" {
		headers = append(headers, g.Headers.Organisation, run.Organisation)
	}
	return headers
}

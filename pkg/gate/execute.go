package gate

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/link"
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
		Method: link.DecodeText(run.Method), Target: link.DecodeText(run.Target), Host: link.DecodeText(run.Host), Body: run.Body,
		KeepsReservation: true, Idempotent: run.Idempotent, RequestID: link.DecodeText(run.Request), ExpectedInstance: string(local.ID), Headers: g.instanceHeaders(run, local, remaining),
	}
	response, err := g.Instance.Do(ctx, call)
	d.SentAt = call.SentAt
	var notSent *instance.NotSentError
	var rejected *instance.RejectedError
	var overLimit *ColdLimitError
	switch {
	case err == nil:
		return &linkrpc.Outcome{
			Fate: linkrpc.Fate_FATE_ANSWERED, Status: uint32(response.Status), Headers: encodedHeaders(response.Headers), Body: response.Body,
		}, nil
	case errors.As(err, &overLimit):
		return NotRunOutcome(linkrpc.Reason_REASON_FULL), err
	case errors.As(err, &notSent):
		return g.unsentOutcome(ctx), err
	case errors.As(err, &rejected):
		g.noteRejection(rejected)
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

// encodedHeaders encodes the headers of a response, in place, for the outcome.
func encodedHeaders(headers []string) []string {
	for i, text := range headers {
		headers[i] = link.EncodeText(text)
	}
	return headers
}

// instanceHeaders returns the headers of a call with those that the gate adds.
func (g *Gate) instanceHeaders(run *linkrpc.Run, local *LocalInstance, remaining time.Duration) []string {
	headers := make([]string, len(run.Headers), len(run.Headers)+8)
	for i, text := range run.Headers {
		headers[i] = link.DecodeText(text)
	}
	headers = append(headers, g.Headers.Deadline, strconv.FormatInt(remaining.Milliseconds(), 10),
		g.Headers.ExpectedInstance, string(local.ID), g.Headers.CallerService, run.CallerService)
	if run.Organisation != "" {
		headers = append(headers, g.Headers.Organisation, run.Organisation)
	}
	return headers
}

package entrance

import (
	"errors"
	"net/http"

	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// responses returns the writer of responses to callers.
func (e *Entrance) responses() connection.Responses {
	return connection.Responses{Clock: e.Clock, Small: e.SmallResponses, Large: e.Responses, Margin: e.WriteMargin}
}

// limitWrite sets the time until which the response to a request may be written.
func (e *Entrance) limitWrite(w http.ResponseWriter, r *Request) {
	expires := r.Expires
	if expires.IsZero() {
		expires = r.Arrived.Add(defaultTimeout)
	}
	responses := e.responses()
	responses.Limit(w, r.Arrived, expires)
}

// holdResponse reserves memory for a response until releaseResponse. If there is none,
// it returns a refusal that says that the request was executed.
func (e *Entrance) holdResponse(w http.ResponseWriter, r *Request, outcome *linkrpc.Outcome) *problem.Error {
	responses := e.responses()
	hold, held := responses.Hold(w, len(outcome.Body))
	if !held {
		return noMemoryError()
	}
	r.held = hold
	return nil
}

// noMemoryError returns the refusal of a request for whose response there is no memory.
func noMemoryError() *problem.Error {
	return problem.NewUncertain(problem.KindUncertain, "the node has no memory for the response; the request has run")
}

// isDiscarded reports whether the reply of a gate was discarded for lack of memory. Only replies
// with a response are that large, so that the request was executed.
func isDiscarded(err error) bool {
	var discarded *link.ReplyDiscardedError
	return errors.As(err, &discarded)
}

// releaseOutcome ends the reservation for the body of the last outcome. That of holdResponse
// replaces it.
func releaseOutcome(r *Request) {
	if r.outcome != nil {
		r.runBy.ReleaseBody(r.outcome)
		r.outcome = nil
	}
}

// releaseResponse ends the reservation for the response to a request.
func (e *Entrance) releaseResponse(r *Request) {
	if r.held != nil {
		r.held.Release()
	}
}

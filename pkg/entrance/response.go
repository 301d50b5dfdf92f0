package entrance

import (
	"errors"
	"net/http"
	"time"

	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// defaultWriteMargin is the value of Entrance.WriteMargin where none is set.
	defaultWriteMargin = 10 * time.Second
	// writeChunkBytes is the size of the pieces in which a large response is written.
	writeChunkBytes = 64 << 10
)

// limitWrite sets the time until which the response to a request may be written. Until its
// caller stops waiting, the caller may read at any pace. One that reads later gets WriteMargin
// for each piece.
func (e *Entrance) limitWrite(w http.ResponseWriter, r *Request, now time.Time) {
	expires := r.Expires
	if expires.IsZero() {
		expires = r.Arrived.Add(defaultTimeout)
	}
	if now.After(expires) {
		expires = now
	}
	margin := e.WriteMargin
	if margin == 0 {
		margin = defaultWriteMargin
	}
	setWriteDeadline(w, expires.Add(margin))
}

// setWriteDeadline sets the write deadline of a connection, if it has one.
func setWriteDeadline(w http.ResponseWriter, deadline time.Time) {
	if c, ok := w.(interface{ SetWriteDeadline(time.Time) error }); ok {
		_ = c.SetWriteDeadline(deadline)
	}
}

// holdResponse reserves memory for a large response until releaseResponse. If there is none,
// it returns a refusal that says that the request was executed.
func (e *Entrance) holdResponse(w http.ResponseWriter, r *Request, outcome *linkrpc.Outcome) *problem.Error {
	size := memory.Large(len(outcome.Body))
	if e.Responses == nil || size == 0 {
		return nil
	}
	r.held = e.Responses.Hold(size, func() { setWriteDeadline(w, r.Arrived) })
	if r.held == nil {
		return noMemoryError()
	}
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

// releaseResponse ends the reservation for the response to a request.
func (e *Entrance) releaseResponse(r *Request) {
	if r.held != nil {
		r.held.Release()
	}
}

// writeBody writes the body of a response. It ends the connection if the caller does not take
// it whole, so that a truncated response does not look complete.
func (e *Entrance) writeBody(w http.ResponseWriter, r *Request, body []byte) {
	for len(body) > writeChunkBytes {
		writePiece(w, body[:writeChunkBytes])
		body = body[writeChunkBytes:]
		if now := e.Clock.Now(); now.After(r.Expires) {
			e.limitWrite(w, r, now)
		}
		if r.held != nil && !r.held.Progress() {
			panic(http.ErrAbortHandler)
		}
	}
	writePiece(w, body)
}

func writePiece(w http.ResponseWriter, piece []byte) {
	if _, err := w.Write(piece); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		panic(http.ErrAbortHandler)
	}
}

package connection

import (
	"errors"
	"net/http"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

const (
	// defaultWriteMargin is the value of Responses.Margin where none is set.
	defaultWriteMargin = 10 * time.Second
	// maxHoldWait bounds how long a small response waits for memory.
	maxHoldWait = 250 * time.Millisecond
	// writeChunkBytes is the size of the pieces in which a large response is written.
	writeChunkBytes = 64 << 10
)

// Responses writes responses to callers that may not read them. Set Clock.
type Responses struct {
	Clock clock.Clock
	// Small and Large bound the memory for responses that callers have not read, by their size
	// as memory.Tiers does; nil means no bound.
	Small, Large *memory.HeldBudget
	// Margin is how long after the time at which its caller stops waiting a response is still
	// written; 0 means defaultWriteMargin.
	Margin time.Duration
}

// Limit sets the time until which the response to a caller that waits until expires may be
// written. Until then the caller may read at any pace. One that reads later gets Margin for
// each piece.
func (r *Responses) Limit(w http.ResponseWriter, now, expires time.Time) {
	if now.After(expires) {
		expires = now
	}
	margin := r.Margin
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

// Hold reserves memory for a response of size bytes. The caller ends the reservation, which
// is nil for a tiny response. A small response waits for room for up to maxHoldWait. Hold returns
// false if there is no memory.
func (r *Responses) Hold(w http.ResponseWriter, size int) (*memory.Hold, bool) {
	budget, maxWait := r.Large, time.Duration(0)
	if size <= memory.SmallBytes {
		budget, maxWait = r.Small, maxHoldWait
	}
	n := memory.Counted(size)
	if budget == nil || n == 0 {
		return nil, true
	}
	past := r.Clock.Now()
	hold := budget.AwaitHold(n, func() { setWriteDeadline(w, past) }, maxWait)
	return hold, hold != nil
}

// Write writes the body of a response with the reservation of Hold. It panics with
// http.ErrAbortHandler, which ends the connection, if the caller does not take it whole, so
// that a truncated response does not look complete.
func (r *Responses) Write(w http.ResponseWriter, body []byte, expires time.Time, hold *memory.Hold) {
	for len(body) > writeChunkBytes {
		writePiece(w, body[:writeChunkBytes])
		body = body[writeChunkBytes:]
		if now := r.Clock.Now(); now.After(expires) {
			r.Limit(w, now, expires)
		}
		if hold != nil && !hold.Progress() {
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

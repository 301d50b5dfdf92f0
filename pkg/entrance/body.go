package entrance

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

const (
	// defaultMaxBodyBytes bounds a request body if the configuration sets no
	// limit.
	defaultMaxBodyBytes = 8 << 20
	// maxBodyBytes bounds a request body whatever the configuration says, as the
	// node keeps the body in memory.
	maxBodyBytes = 16 << 20
	// smallBodyBytes is the size up to which a body needs no reservation, so that small
	// requests are served while the memory for large ones is used up.
	smallBodyBytes = 32 << 10
	// tinyBodyBytes is the size up to which a body needs no memory beyond that of its
	// connection, also while it is read.
	tinyBodyBytes = 4 << 10
	// unreadBodyTimeout bounds the wait for the rest of a small body whose request was
	// refused, so that its connection can be kept.
	unreadBodyTimeout = 200 * time.Millisecond
	// bodyReservationBytes is the step in which memory is reserved for a body of unknown
	// length.
	bodyReservationBytes = 256 << 10
)

// bodyWriter collects the body of a request and reserves memory for it.
type bodyWriter struct {
	entrance *Entrance
	request  *Request
	body     bytes.Buffer
}

// readBody reads the body of a request until the deadline or until the node gives the
// request up, and up to the limit of the configuration. A body that exceeds a limit is
// refused before it is read, if its length is known.
func (e *Entrance) readBody(w http.ResponseWriter, hr *http.Request, r *Request) ([]byte, *problem.Error) {
	limit := r.View.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	limit = min(limit, maxBodyBytes)
	switch {
	case hr.ContentLength > limit:
		return nil, tooLargeError(limit)
	case hr.ContentLength == 0:
		return nil, nil
	case hr.ContentLength > smallBodyBytes && !e.reserve(r, hr.ContentLength):
		return nil, bodiesFullError()
	}
	controller := http.NewResponseController(w)
	hold, held := e.holdSmallBody(controller, hr.ContentLength, r)
	if !held {
		return nil, bodiesFullError()
	}
	r.heldBody = hold
	if err := controller.SetReadDeadline(r.Deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, problem.New(problem.KindMalformed, "the body could not be read whole: "+err.Error())
	}
	stopWatching := context.AfterFunc(hr.Context(), func() {
		if isStopped(hr.Context()) {
			_ = controller.SetReadDeadline(e.Clock.Now())
		}
	})
	body, err := e.readWhole(http.MaxBytesReader(w, hr.Body, limit), hr.ContentLength, r)
	stopWatching()
	// What ends the reservation changes the deadline.
	evicted := hold != nil && !hold.Pin()
	if err != nil {
		return nil, bodyError(hr.Context(), err, limit)
	}
	if evicted {
		return nil, bodiesFullError()
	}
	// While the request runs, the server reads on to notice that the caller leaves.
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// holdSmallBody reserves memory for a body that reserve does not cover, until releaseBody. The
// reservation is nil if the body needs none. If there is no memory, the bodies that have been
// read longest are refused, or else holdSmallBody returns false.
func (e *Entrance) holdSmallBody(controller *http.ResponseController, length int64, r *Request) (hold *memory.Hold, held bool) {
	if e.SmallBodies == nil || 0 <= length && length <= tinyBodyBytes || length > smallBodyBytes {
		return nil, true
	}
	if length < 0 {
		length = smallBodyBytes
	}
	hold = e.SmallBodies.Hold(length, func() { _ = controller.SetReadDeadline(r.Arrived) })
	return hold, hold != nil
}

// readWhole reads a body of the given length, or to its end if the length is negative.
// Memory for a large one is taken as the data arrives.
func (e *Entrance) readWhole(source io.Reader, length int64, r *Request) ([]byte, error) {
	if 0 < length && length <= smallBodyBytes {
		body := make([]byte, length)
		_, err := io.ReadFull(source, body)
		return body, err
	}
	writer := &bodyWriter{entrance: e, request: r}
	_, err := io.Copy(writer, source)
	return writer.body.Bytes(), err
}

// bodyError returns the refusal of a request whose body could not be read.
func bodyError(ctx context.Context, err error, limit int64) *problem.Error {
	var refusal *problem.Error
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &tooLarge):
		return tooLargeError(limit)
	case errors.Is(err, os.ErrDeadlineExceeded) && isStopped(ctx):
		return unsentError(ctx)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return problem.New(problem.KindBodyTimeout, "the body did not arrive in time")
	}
	return problem.New(problem.KindMalformed, "the body could not be read whole: "+err.Error())
}

// Write implements io.Writer. It returns the refusal of the request if there is no memory
// for the data.
func (b *bodyWriter) Write(data []byte) (int, error) {
	size := int64(b.body.Len() + len(data))
	if size > smallBodyBytes && size > b.request.reservedBytes && !b.entrance.reserve(b.request, max(bodyReservationBytes, int64(len(data)))) {
		return 0, bodiesFullError()
	}
	return b.body.Write(data)
}

// leaveBody prepares the response to a request whose body was not read whole. The server
// would read the rest before it responds, however slowly that arrives. A connection with
// much unread data is closed after the response instead.
func (e *Entrance) leaveBody(w http.ResponseWriter, hr *http.Request) {
	if 0 < hr.ContentLength && hr.ContentLength <= smallBodyBytes {
		_ = http.NewResponseController(w).SetReadDeadline(e.Clock.Now().Add(unreadBodyTimeout))
		return
	}
	w.Header().Set("Connection", "close")
}

// reserve reserves memory for the body of a request until releaseBody.
func (e *Entrance) reserve(r *Request, n int64) bool {
	if e.Bodies == nil {
		return true
	}
	if !e.Bodies.Reserve(n) {
		return false
	}
	r.reservedBytes += n
	return true
}

// releaseBody ends the reservation for the body of a request.
func (e *Entrance) releaseBody(r *Request) {
	if r.heldBody != nil {
		r.heldBody.Release()
	}
	if e.Bodies != nil {
		e.Bodies.Release(r.reservedBytes)
	}
}

func tooLargeError(limit int64) *problem.Error {
	return problem.New(problem.KindTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
}

func bodiesFullError() *problem.Error {
	return shedError("the node has no memory for another large body")
}

package instance

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/plantainramp/plantainramp/pkg/memory"
)

// maxBudgetWait bounds how long the body of a response waits for memory. Its bytes stay in
// the buffers of the system meanwhile, and the call keeps its slot.
const maxBudgetWait = 250 * time.Millisecond

// NoMemoryError reports a response for whose body there is no memory.
type NoMemoryError struct{}

// Error implements error.
func (e *NoMemoryError) Error() string { return "no memory for the response body" }

// readBody reads the body of a response, up to MaxBodyBytes. The response to a HEAD call has
// none, whatever its length says. It reserves memory.Counted bytes for the body that it returns,
// and none if it fails.
func (c *Client) readBody(response *http.Response) ([]byte, error) {
	if response.Request.Method == http.MethodHead {
		return nil, nil
	}
	if response.ContentLength > c.MaxBodyBytes {
		return nil, &ResponseTooLargeError{LimitBytes: c.MaxBodyBytes}
	}
	if response.ContentLength < 0 {
		return c.readUnknownLength(response.Body)
	}
	size := memory.Counted(int(response.ContentLength))
	if !c.reserve(0, size) {
		return nil, &NoMemoryError{}
	}
	body := make([]byte, response.ContentLength)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		c.Budgets.Release(size)
		return nil, err
	}
	return body, nil
}

// readUnknownLength reads a body to its end.
func (c *Client) readUnknownLength(source io.Reader) ([]byte, error) {
	w := &bodyWriter{client: c}
	_, err := io.Copy(w, io.LimitReader(source, c.MaxBodyBytes+1))
	body := w.buffer.Bytes()
	if err == nil && int64(len(body)) > c.MaxBodyBytes {
		err = &ResponseTooLargeError{LimitBytes: c.MaxBodyBytes}
	}
	if err != nil {
		c.Budgets.Release(w.reserved)
		return nil, err
	}
	return body, nil
}

// bodyWriter collects a body of unknown length.
type bodyWriter struct {
	client   *Client
	buffer   bytes.Buffer
	reserved int64
}

// Write implements io.Writer. It returns *NoMemoryError if there is no memory for the data.
func (w *bodyWriter) Write(data []byte) (int, error) {
	size := memory.Counted(w.buffer.Len() + len(data))
	if !w.client.reserve(w.reserved, size) {
		return 0, &NoMemoryError{}
	}
	w.reserved = size
	return w.buffer.Write(data)
}

// reserve changes the reservation for the body of a response.
func (c *Client) reserve(from, to int64) bool {
	return c.Budgets.AwaitResize(c.Clock, from, to, maxBudgetWait)
}

// ReleaseBody ends the reservation for the body of a response.
func (c *Client) ReleaseBody(body []byte) { c.Budgets.Release(memory.Counted(len(body))) }

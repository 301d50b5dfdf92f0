package upstream

import (
	"bytes"
	"io"
	"time"

	"github.com/plantainramp/plantainramp/pkg/memory"
)

// maxBudgetWait bounds how long a response waits for memory. Its bytes stay in the buffers of
// the system meanwhile.
const maxBudgetWait = 250 * time.Millisecond

// NoMemoryError reports a response for which there is no memory.
type NoMemoryError struct{}

// Error implements error.
func (e *NoMemoryError) Error() string { return "no memory for the answer of the upstream" }

// bodyReader reads the body of a response and reserves memory for it.
type bodyReader struct {
	client   *Client
	buffer   bytes.Buffer
	reserved int64
}

// readAll reads a body to its end.
func (b *bodyReader) readAll(source io.Reader) ([]byte, error) {
	_, err := io.Copy(b, source)
	return b.buffer.Bytes(), err
}

// Write implements io.Writer. It returns *NoMemoryError if there is no memory for the data.
func (b *bodyReader) Write(data []byte) (int, error) {
	size := memory.Counted(b.buffer.Len() + len(data))
	if !b.client.Budgets.AwaitResize(b.client.Clock, b.reserved, size, maxBudgetWait) {
		return 0, &NoMemoryError{}
	}
	b.reserved = size
	return b.buffer.Write(data)
}

// release ends the reservation.
func (b *bodyReader) release() { b.client.Budgets.Release(b.reserved) }

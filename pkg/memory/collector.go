package memory

import (
	"bytes"
	"io"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// NoMemoryError reports a message for which there is no memory.
type NoMemoryError struct {
	// Bytes is the size up to which the message had arrived.
	Bytes int
}

// Error implements error.
func (e *NoMemoryError) Error() string { return "no memory for the message" }

// Collector reads a message whose length may not be known, and reserves memory for it as it
// arrives. Set Clock. It belongs to one goroutine.
type Collector struct {
	Clock clock.Clock
	Tiers Tiers
	// MaxWait bounds how long the message waits for memory. Its bytes stay in the buffers of
	// the system meanwhile.
	MaxWait time.Duration

	buffer   bytes.Buffer
	reserved int64
}

// ReadAll reads a message to its end. It returns *NoMemoryError, or the error of source. The
// memory stays reserved until Release in any case.
func (c *Collector) ReadAll(source io.Reader) ([]byte, error) {
	_, err := io.Copy(c, source)
	return c.buffer.Bytes(), err
}

// Write implements io.Writer. It returns *NoMemoryError if there is no memory for the data.
func (c *Collector) Write(data []byte) (int, error) {
	size := c.buffer.Len() + len(data)
	if !c.Tiers.AwaitResize(c.Clock, c.reserved, Counted(size), c.MaxWait) {
		return 0, &NoMemoryError{Bytes: c.buffer.Len()}
	}
	c.reserved = Counted(size)
	return c.buffer.Write(data)
}

// Release ends the reservation.
func (c *Collector) Release() {
	c.Tiers.Release(c.reserved)
	c.reserved = 0
}

package instance

import (
	"io"
	"net/http"
	"time"

	"github.com/plantainramp/plantainramp/pkg/memory"
)

// maxBudgetWait bounds how long the body of a response waits for memory. Its bytes stay in
// the buffers of the system meanwhile, and the call keeps its slot.
const maxBudgetWait = 250 * time.Millisecond

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
	if !c.reserve(size) {
		return nil, &memory.NoMemoryError{}
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
	collector := memory.Collector{Clock: c.Clock, Tiers: c.Budgets, MaxWait: maxBudgetWait}
	body, err := collector.ReadAll(io.LimitReader(source, c.MaxBodyBytes+1))
	if err == nil && int64(len(body)) > c.MaxBodyBytes {
		err = &ResponseTooLargeError{LimitBytes: c.MaxBodyBytes}
	}
	if err != nil {
		collector.Release()
		return nil, err
	}
	return body, nil
}

// reserve reserves memory for the body of a response. It waits for that only while no more than
// MaxWaiting others do: those that wait keep their slots, and other calls need these.
func (c *Client) reserve(size int64) bool {
	if c.Budgets.TryReserve(size) {
		return true
	}
	waiting := c.waiting.Add(1)
	defer c.waiting.Add(-1)
	if c.MaxWaiting != nil && waiting > int64(c.MaxWaiting()) {
		return false
	}
	return c.Budgets.AwaitResize(c.Clock, 0, size, maxBudgetWait)
}

// ReleaseBody ends the reservation for the body of a response.
func (c *Client) ReleaseBody(body []byte) { c.Budgets.Release(memory.Counted(len(body))) }

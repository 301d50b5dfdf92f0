package instance

import (
	"context"
	"errors"
	"io"
	"syscall"

	"github.com/plantainramp/plantainramp/pkg/connection"
)

// IdleConnClosedError reports that the instance closed an idle connection before it expired.
type IdleConnClosedError struct{}

// Error implements error.
func (e *IdleConnClosedError) Error() string {
	return "the instance closed an idle connection before it expired"
}

// checkSend returns an error if a call must not be sent any more.
func (c *Client) checkSend(ctx context.Context, call *Call) error {
	if err := ctx.Err(); err != nil || c.BeforeSend == nil {
		return err
	}
	return c.BeforeSend(call)
}

// noteBroken reports the error of a call if the instance ended its connection. A connection
// that this client closed, as ctx ended, was not broken by the instance.
func (c *Client) noteBroken(ctx context.Context, err error) {
	if err != nil && c.OnBroken != nil && ctx.Err() == nil && endsConnection(err) {
		c.OnBroken(err)
	}
}

// noteNotConnected reports that no connection could be opened, unless the call was cancelled or
// the node lacks descriptors or memory, which says nothing about the instance.
func (c *Client) noteNotConnected(ctx context.Context, err error) {
	if c.OnBroken != nil && ctx.Err() == nil && !connection.IsResourceShortage(err) {
		c.OnBroken(err)
	}
}

// endsConnection reports whether an error means that the other end closed the connection.
func endsConnection(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

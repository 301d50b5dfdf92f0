package gate

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against a call that the gate sends to its instance although it was cancelled
// before the gate began to handle it.
func TestCancelledCallIsNotSent(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{}
	g := newGate(t, upstream)
	is.Equal(g.Run(t.Context(), t.Context(), newRun(1)).Fate, linkrpc.Fate_FATE_ANSWERED)
	for i := range 200 {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(&link.CancelledError{})
		outcome := g.Run(ctx, t.Context(), newRun(uint64(i+2)))
		is.Equal(outcome.Fate, linkrpc.Fate_FATE_NOT_RUN)
		is.Equal(outcome.Reason, linkrpc.Reason_REASON_CANCELLED)
	}
	is.Equal(upstream.executions.Load(), int64(1))
}

// Guards against a call that is sent on a connection that was opened for it, although it
// was cancelled meanwhile.
func TestCallCancelledWhileItConnectsIsNotSent(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{}
	for range 50 {
		// A new gate has no connection to reuse.
		g := newGate(t, upstream)
		ctx, cancel := context.WithCancelCause(t.Context())
		g.Instance.Dial = func(_ context.Context, address string) (net.Conn, error) {
			conn, err := net.Dial("tcp", address)
			cancel(&link.CancelledError{})
			return conn, err
		}
		outcome := g.Run(ctx, t.Context(), newRun(1))
		is.Equal(outcome.Fate, linkrpc.Fate_FATE_NOT_RUN)
		is.Equal(outcome.Reason, linkrpc.Reason_REASON_CANCELLED)
	}
	is.Equal(upstream.executions.Load(), int64(0))
}

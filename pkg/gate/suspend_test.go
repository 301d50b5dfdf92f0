package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// The gate is suspended while its slots are in use and a call waits. Guards against calls that
// are aborted or wait on, and against a gate that opens with a word of the instance.
func TestSuspendedGate(t *testing.T) {
	is := is.New(t)
	upstream := &countingUpstream{callTime: 150 * time.Millisecond}
	g := newGate(t, upstream)
	outcomes := make(chan *linkrpc.Outcome, 10)
	slots := g.Slots.Load().Limit
	for attempt := range uint64(slots + 1) {
		go func() { outcomes <- g.Run(t.Context(), t.Context(), newRun(attempt+1)) }()
	}
	for upstream.running.Load() < int64(slots) || g.Slots.Load().Queued < 1 {
		time.Sleep(time.Millisecond)
	}
	is.True(g.SetSuspended(true))
	is.True(!g.SetSuspended(true))
	returned := <-outcomes
	is.Equal(returned.Fate, linkrpc.Fate_FATE_NOT_RUN)
	is.Equal(returned.Reason, linkrpc.Reason_REASON_CLOSED)
	is.True(returned.Load.Closed)
	for range slots {
		is.Equal((<-outcomes).Fate, linkrpc.Fate_FATE_ANSWERED)
	}
	g.SetLocalInstance(&LocalInstance{ID: "i-1", Service: "desk", Slots: 5, Open: true})
	is.True(!g.IsOpen())
	is.Equal(g.Run(t.Context(), t.Context(), newRun(20)).Reason, linkrpc.Reason_REASON_CLOSED)
	is.True(g.SetSuspended(false))
	is.True(g.IsOpen())
	is.Equal(g.Run(t.Context(), t.Context(), newRun(21)).Fate, linkrpc.Fate_FATE_ANSWERED)
	g.Drain()
	g.SetSuspended(true)
	g.SetSuspended(false)
	is.True(!g.IsOpen())
}

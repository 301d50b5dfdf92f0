package link

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against a request that is sent although nobody waits for it any more.
func TestCallWithEndedContextIsNotSent(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	l := newLink(t, newServer(t, func(ctx context.Context, r Request) proto.Message {
		received.Add(1)
		return echo(ctx, r)
	}))
	is.NoErr(l.Connect(t.Context()))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		_, err := l.Call(ctx, KindRun, &linkrpc.Run{})
		var unsent *NotSentError
		is.True(errors.As(err, &unsent))
		is.True(errors.Is(err, context.Canceled))
	}
	_, err := l.Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
	is.Equal(received.Load(), int64(1))
}

// appendFrame appends a message of a peer in its encoded form.
func appendFrame(frames []byte, kind Kind, stream StreamID, payload []byte) []byte {
	frames = binary.BigEndian.AppendUint32(frames, uint32(len(payload)))
	frames = append(frames, byte(kind))
	frames = binary.BigEndian.AppendUint32(frames, uint32(stream))
	return append(frames, payload...)
}

// A peer's requests and their cancellations lie unread together. Guards against a request
// that is handled as if its caller still waited.
func TestRequestReadWithItsCancellationIsCancelled(t *testing.T) {
	is := is.New(t)
	const requests = 100
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	encodedHello, err := proto.Marshal(hello())
	is.NoErr(err)
	frames := appendFrame(nil, KindHello, 0, encodedHello)
	for i := range requests {
		frames = appendFrame(frames, KindRun, StreamID(i+1), make([]byte, 300))
	}
	for i := range requests {
		frames = appendFrame(frames, KindCancel, StreamID(i+1), nil)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write(frames)
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // all of it has arrived before the server reads
	cancelled := make(chan bool, requests)
	s := &Server{Clock: clock.System{}, Hello: hello, Handle: func(ctx context.Context, _ Request) proto.Message {
		cancelled <- ctx.Err() != nil
		return nil
	}}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Close)
	for range requests {
		select {
		case isCancelled := <-cancelled:
			is.True(isCancelled)
		case <-time.After(5 * time.Second):
			t.Fatal("a request was not handled")
		}
	}
}

package link

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// replyBytes is the size of a large reply.
const replyBytes = 1 << 20

// largeReplier returns the address of a server that answers with large bodies, each of which
// it reserves from the budget.
func largeReplier(t *testing.T, replies *memory.Budget) string {
	t.Helper()
	return replier(t, replies, replyBytes)
}

// replier is largeReplier for bodies of any size.
func replier(t *testing.T, replies *memory.Budget, size int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &Server{Clock: clock.System{}, Hello: hello, Replies: memory.Tiers{Small: replies, Large: replies}, Handle: func(_ context.Context, r Request) proto.Message {
		if r.Kind == KindRun && !replies.Reserve(int64(size)) {
			t.Error("no room for the reply")
		}
		return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_ANSWERED, Body: make([]byte, size)}
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return listener.Addr().String()
}

// Guards against reservations for replies that are not released once these are written, read,
// discarded, given up by their caller, or lost with the connection.
func TestReservationsForRepliesEnd(t *testing.T) {
	is := is.New(t)
	var replies memory.Budget
	address := largeReplier(t, &replies)
	incoming := &memory.Budget{Limit: replyBytes * 3 / 2}
	l := &Link{Address: address, Clock: clock.System{}, Hello: hello, Budget: incoming}
	t.Cleanup(l.Close)
	first, err := l.Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
	is.True(incoming.Used() > replyBytes)
	var discarded *ReplyDiscardedError
	_, err = l.Call(t.Context(), KindRun, &linkrpc.Run{})
	is.True(errors.As(err, &discarded))
	// A reply with records needs no reservation.
	_, err = l.Call(t.Context(), KindTopicRead, &linkrpc.TopicRead{})
	is.NoErr(err)
	first.Release()
	is.Equal(incoming.Used(), int64(0))
	for range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		if reply, err := l.Call(ctx, KindRun, &linkrpc.Run{}); err == nil {
			reply.Release()
		}
		cancel()
	}
	is.True(awaitZero(incoming))
	reply, err := l.Call(t.Context(), KindAsk, &linkrpc.Ask{})
	is.NoErr(err)
	reply.Release()
	is.True(awaitZero(&replies))
	is.True(awaitZero(incoming))
}

// A peer does not read. Guards against reservations that outlast its connection.
func TestReservationsForRepliesEndWithTheConnection(t *testing.T) {
	is := is.New(t)
	var replies memory.Budget
	address := largeReplier(t, &replies)
	resume := make(chan struct{})
	l := newPausedLink(t, address, resume)
	is.NoErr(l.Connect(t.Context()))
	for range 12 {
		go func() { _, _ = l.Call(t.Context(), KindRun, &linkrpc.Run{}) }()
	}
	await(func() bool { return replies.Used() >= 4*replyBytes })
	is.True(replies.Used() >= 4*replyBytes)
	l.Close()
	close(resume)
	is.True(awaitZero(&replies))
}

// A peer does not read, and small replies to it wait in the send queue. Guards against memory
// that is held there without a reservation, and against reservations that outlast the connection.
func TestSmallRepliesInTheQueueAreReservedFor(t *testing.T) {
	is := is.New(t)
	const (
		size  = 20 << 10
		calls = 1000
	)
	var replies memory.Budget
	address := replier(t, &replies, size)
	resume := make(chan struct{})
	l := newPausedLink(t, address, resume)
	is.NoErr(l.Connect(t.Context()))
	for range calls {
		go func() { _, _ = l.Call(t.Context(), KindRun, &linkrpc.Run{}) }()
	}
	await(func() bool { return replies.Used() >= calls/2*size })
	is.True(replies.Used() >= calls/2*size)
	l.Close()
	close(resume)
	is.True(awaitZero(&replies))
}

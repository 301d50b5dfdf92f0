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
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// unencodable is no string that a message can hold.
const unencodable = "\xff"

// Guards against a caller that waits until its deadline for a reply that cannot be encoded,
// against one that is told that its call has not run, and against a fault that nobody sees.
func TestReplyThatCannotBeEncodedLeavesNoCallerWaiting(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	errs := make(chan error, 3)
	s := &Server{Clock: clock.System{}, Hello: hello, OnUnencodable: func(err error) { errs <- err }}
	s.Handle = func(_ context.Context, r Request) proto.Message {
		if r.Kind == KindTopicRead {
			return &linkrpc.TopicRecords{Known: true, Records: []*linkrpc.TopicRecord{{Key: unencodable}}}
		}
		return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_ANSWERED, Headers: []string{"Name", unencodable}}
	}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); s.Close() })
	l := newLink(t, listener.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	for _, kind := range []Kind{KindRun, KindAsk, KindTopicRead} {
		reply, err := l.Call(ctx, kind, &linkrpc.Run{})
		is.NoErr(err)
		if kind == KindTopicRead {
			is.Equal(len(reply.Payload), 0) // nothing is known
		} else {
			outcome := &linkrpc.Outcome{}
			is.NoErr(proto.Unmarshal(reply.Payload, outcome))
			is.Equal(outcome.Fate, linkrpc.Fate_FATE_LOST)
		}
		var encodeError *EncodeError
		is.True(errors.As(<-errs, &encodeError))
		is.Equal(encodeError.Kind, KindReply)
	}
}

// Guards against a message that is never sent and of which nobody hears.
func TestMessageThatCannotBeEncodedIsReported(t *testing.T) {
	is := is.New(t)
	l := newLink(t, newServer(t, echo))
	var kinds []Kind
	l.OnUnencodable = func(err error) {
		var encodeError *EncodeError
		is.True(errors.As(err, &encodeError))
		kinds = append(kinds, encodeError.Kind)
	}
	_, err := l.Call(t.Context(), KindRun, &linkrpc.Run{Target: unencodable})
	var notSent *NotSentError
	is.True(errors.As(err, &notSent))
	is.Equal(l.Notify(KindStatus, &linkrpc.Status{Node: unencodable}), false)
	is.Equal(kinds, []Kind{KindRun, KindStatus})
	_, err = l.Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
}

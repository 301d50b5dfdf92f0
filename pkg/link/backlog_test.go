package link

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// A peer reads late, and the replies to its requests exceed the send queue. Guards against
// replies that are dropped without a word, so that their requests wait until their time has
// passed.
func TestRepliesThatExceedTheQueueAreNotDropped(t *testing.T) {
	is := is.New(t)
	const (
		requests = 60
		// pause is less than writeTimeout.
		pause = 500 * time.Millisecond
	)
	_, address := serve(t, func(context.Context, Request) proto.Message {
		return &linkrpc.Outcome{Body: make([]byte, 1<<20)}
	})
	resume := make(chan struct{})
	l := newPausedLink(t, address, resume)
	is.NoErr(l.Connect(t.Context()))
	time.AfterFunc(pause, func() { close(resume) })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	results := make([]error, requests)
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() { _, results[i] = l.Call(ctx, KindRun, &linkrpc.Run{}) })
	}
	calls.Wait()
	for _, err := range results {
		is.NoErr(err)
	}
}

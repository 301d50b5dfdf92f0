package link

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	ownReplyCallers = 32
	ownReplyCalls   = 150
	// maxOwnReplyBytes makes half of the bodies too long for one frame.
	maxOwnReplyBytes = 2 * partBytes
)

// echoRun replies with the id and the body of a call after a random time.
func echoRun(ctx context.Context, r Request) proto.Message {
	run := &linkrpc.Run{}
	if proto.Unmarshal(r.Payload, run) != nil {
		return &linkrpc.Outcome{Reason: linkrpc.Reason_REASON_BROKEN}
	}
	select {
	case <-time.After(rand.N(2 * time.Millisecond)):
	case <-ctx.Done():
	}
	return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_ANSWERED, Status: uint32(run.Attempt), Headers: []string{run.Request}, Body: run.Body}
}

// isOwnReply reports whether a reply is that to a call.
func isOwnReply(run *linkrpc.Run, reply Reply) bool {
	outcome := &linkrpc.Outcome{}
	return proto.Unmarshal(reply.Payload, outcome) == nil && outcome.Status == uint32(run.Attempt) &&
		len(outcome.Headers) == 1 && outcome.Headers[0] == run.Request && bytes.Equal(outcome.Body, run.Body)
}

// Callers send small and large calls over one link, cancel some at any time, and lose the
// connection. Guards against the reply to another call, or one with bytes of another.
func TestEachReplyIsThatToItsCall(t *testing.T) {
	is := is.New(t)
	proxy := newRelay(t, newServer(t, echoRun))
	l := newLink(t, proxy.listen.Addr().String())
	var own, failed atomic.Int64
	var group sync.WaitGroup
	for caller := range ownReplyCallers {
		group.Go(func() {
			r := rand.New(rand.NewPCG(36, uint64(caller)))
			for i := range ownReplyCalls {
				number := caller*ownReplyCalls + i
				body := bytes.Repeat(fmt.Appendf(nil, "%08d", number), r.IntN(maxOwnReplyBytes/8))
				run := &linkrpc.Run{Attempt: uint64(number), Request: fmt.Sprint(number), Body: body}
				ctx, cancel := context.WithCancel(t.Context())
				if r.IntN(3) == 0 {
					time.AfterFunc(time.Duration(r.IntN(3000))*time.Microsecond, cancel)
				}
				reply, err := l.Call(ctx, KindRun, run)
				cancel()
				switch {
				case err != nil:
					failed.Add(1)
				case isOwnReply(run, reply):
					own.Add(1)
				default:
					t.Errorf("call %d got another reply", number)
				}
				if r.IntN(500) == 0 {
					proxy.closeConns()
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d calls with their own reply, %d with none", own.Load(), failed.Load())
	is.True(own.Load() > ownReplyCallers*ownReplyCalls/4)
}

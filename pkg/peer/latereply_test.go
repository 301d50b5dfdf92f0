package peer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// echoPeer is a peer whose replies name the request that they belong to.
type echoPeer struct {
	peerrpc.Peer
}

// Recall implements peerrpc.Peer.
func (echoPeer) Recall(_ context.Context, req *peerrpc.RecallRequest) (*peerrpc.RecallReply, error) {
	return &peerrpc.RecallReply{Found: true, Answer: &peerrpc.RunReply{Body: []byte(req.GetIntentId())}}, nil
}

// Intend implements peerrpc.Peer.
func (echoPeer) Intend(_ context.Context, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error) {
	return &peerrpc.IntendReply{Verdicts: []*peerrpc.Verdict{{Id: req.GetIntents()[0].GetId(), Decided: true}}}, nil
}

// Borrow implements peerrpc.Peer.
func (echoPeer) Borrow(_ context.Context, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
	return &peerrpc.BorrowReply{Granted: []*peerrpc.Granted{{Organisation: req.GetWanted()[0].GetOrganisation(), Tokens: 1}}}, nil
}

// serveWithLateCopies serves a handler over TCP. Once the next request has arrived on a
// connection, it sends the previous response once more, before that of the request. It
// returns the address.
func serveWithLateCopies(t *testing.T, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		var previous bytes.Buffer
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			response := recorder.Result()
			response.ContentLength = int64(recorder.Body.Len())
			_, _ = c.Write(previous.Bytes())
			previous.Reset()
			_ = response.Write(&previous)
			_, _ = c.Write(previous.Bytes())
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String()
}

// TestLateReplyIsNotTakenForNextOne guards against a message that gets the reply to
// another one, which the peer sends once more after the next message has reached it: the
// stored response of another organisation's action, a verdict on another intent, or
// tokens of another organisation. Such a message fails, or gets its own reply.
func TestLateReplyIsNotTakenForNextOne(t *testing.T) {
	const messages = 40
	cases := map[string]func(ctx context.Context, p peerrpc.Peer, name string) (string, error){
		"recall": func(ctx context.Context, p peerrpc.Peer, name string) (string, error) {
			reply, err := p.Recall(ctx, &peerrpc.RecallRequest{IntentId: name})
			return string(reply.GetAnswer().GetBody()), err
		},
		"intend": func(ctx context.Context, p peerrpc.Peer, name string) (string, error) {
			reply, err := p.Intend(ctx, &peerrpc.IntendRequest{Intents: []*peerrpc.Intent{{Id: name}}})
			if err != nil {
				return "", err
			}
			return reply.GetVerdicts()[0].GetId(), nil
		},
		"borrow": func(ctx context.Context, p peerrpc.Peer, name string) (string, error) {
			reply, err := p.Borrow(ctx, &peerrpc.BorrowRequest{Wanted: []*peerrpc.Want{{Organisation: name}}})
			if err != nil {
				return "", err
			}
			return reply.GetGranted()[0].GetOrganisation(), nil
		},
	}
	for name, send := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			secret := Secret("the secret of the test fleet")
			address := serveWithLateCopies(t, newVerifier(secret).Handler(peerrpc.NewPeerServer(echoPeer{})))
			pool := &Pool{Secret: secret, Clock: clock.System{}}
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			own, failed, mixed := 0, 0, 0
			for i := range messages {
				id := fmt.Sprintf("m%d", i)
				got, err := send(ctx, pool.Get(address).Client(), id)
				switch {
				case err != nil:
					failed++
				case got == id:
					own++
				default:
					mixed++
				}
			}
			t.Logf("of %d messages, %d got their own reply, %d another one, %d none", messages, own, mixed, failed)
			is.Equal(mixed, 0) // replies to another message
			is.True(own > 0)
		})
	}
}

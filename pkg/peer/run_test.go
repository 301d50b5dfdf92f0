package peer

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// fakePeer is a peer that replies to Run with reply. Other methods must not be called.
type fakePeer struct {
	peerrpc.Peer
	reply *peerrpc.RunReply
}

// Run implements peerrpc.Peer.
func (p *fakePeer) Run(context.Context, *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	return p.reply, nil
}

// TestRunRejectsInvalidReplies guards against replies that are passed to the caller
// though they are truncated, belong to another call or name no call.
func TestRunRejectsInvalidReplies(t *testing.T) {
	body := []byte("whole")
	cases := map[string]struct {
		reply       *peerrpc.RunReply
		wantInvalid bool
	}{
		"own reply":           {&peerrpc.RunReply{CallId: "c1", Body: body, BodyHash: xxhash.Sum64(body)}, false},
		"reply of other call": {&peerrpc.RunReply{CallId: "c2", Body: body, BodyHash: xxhash.Sum64(body)}, true},
		"truncated body":      {&peerrpc.RunReply{CallId: "c1", Body: body[:2], BodyHash: xxhash.Sum64(body)}, true},
		"no call ID":          {&peerrpc.RunReply{Body: body, BodyHash: xxhash.Sum64(body)}, true},
		"body of other call":  {&peerrpc.RunReply{CallId: "c1", Body: []byte("other"), BodyHash: xxhash.Sum64(body)}, true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			secret := Secret("the secret of the test fleet")
			server := httptest.NewServer(Verify(secret, peerrpc.NewPeerServer(&fakePeer{reply: tt.reply})))
			defer server.Close()
			pool := &Pool{Secret: secret, Clock: clock.System{}}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := pool.Get(server.Listener.Addr().String()).Run(ctx, clock.System{}, &peerrpc.RunRequest{CallId: "c1"})
			var invalid *InvalidReplyError
			is.Equal(eris.As(err, &invalid), tt.wantInvalid)
			is.Equal(err == nil, !tt.wantInvalid)
		})
	}
}

// TestForgedRequestIsRejected guards against requests that are accepted with an
// authentication code of another secret.
func TestForgedRequestIsRejected(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(Verify(Secret("the secret of the test fleet"), peerrpc.NewPeerServer(&fakePeer{reply: &peerrpc.RunReply{CallId: "c1"}})))
	defer server.Close()
	pool := &Pool{Secret: Secret("another secret of 28 letters"), Clock: clock.System{}}
	_, err := pool.Get(server.Listener.Addr().String()).Run(t.Context(), clock.System{}, &peerrpc.RunRequest{CallId: "c1"})
	is.True(err != nil)
}

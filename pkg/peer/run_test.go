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

// scripted is a peer whose Run answers as told; all else is not expected.
type scripted struct {
	peerrpc.Peer
	reply *peerrpc.RunReply
}

// Run implements peerrpc.Peer.
func (s *scripted) Run(context.Context, *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	return s.reply, nil
}

func TestRunTakesOnlyItsOwnWholeAnswer(t *testing.T) {
	whole := []byte("whole")
	cases := map[string]struct {
		reply   *peerrpc.RunReply
		damaged bool
	}{
		"its own":            {&peerrpc.RunReply{CallId: "c1", Body: whole, BodyHash: xxhash.Sum64(whole)}, false},
		"of another call":    {&peerrpc.RunReply{CallId: "c2", Body: whole, BodyHash: xxhash.Sum64(whole)}, true},
		"cut short":          {&peerrpc.RunReply{CallId: "c1", Body: whole[:2], BodyHash: xxhash.Sum64(whole)}, true},
		"without a call":     {&peerrpc.RunReply{Body: whole, BodyHash: xxhash.Sum64(whole)}, true},
		"body of other call": {&peerrpc.RunReply{CallId: "c1", Body: []byte("other"), BodyHash: xxhash.Sum64(whole)}, true},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			secret := Secret("the secret of the test fleet")
			server := httptest.NewServer(Verify(secret, peerrpc.NewPeerServer(&scripted{reply: tt.reply})))
			defer server.Close()
			pool := &Pool{Secret: secret, Clock: clock.System{}}
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			_, err := pool.At(server.Listener.Addr().String()).Run(ctx, clock.System{}, &peerrpc.RunRequest{CallId: "c1"})
			var damaged *DamagedError
			is.Equal(eris.As(err, &damaged), tt.damaged)
			is.Equal(err == nil, !tt.damaged)
		})
	}
}

func TestForgedMessageIsRefused(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(Verify(Secret("the secret of the test fleet"), peerrpc.NewPeerServer(&scripted{reply: &peerrpc.RunReply{CallId: "c1"}})))
	defer server.Close()
	pool := &Pool{Secret: Secret("another secret of 28 letters"), Clock: clock.System{}}
	_, err := pool.At(server.Listener.Addr().String()).Run(t.Context(), clock.System{}, &peerrpc.RunRequest{CallId: "c1"})
	is.True(err != nil)
}

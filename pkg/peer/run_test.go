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
			server := httptest.NewServer(newVerifier(secret).Handler(peerrpc.NewPeerServer(&fakePeer{reply: tt.reply})))
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
	server := httptest.NewServer(newVerifier(Secret("the secret of the test fleet")).Handler(peerrpc.NewPeerServer(&fakePeer{reply: &peerrpc.RunReply{CallId: "c1"}})))
	defer server.Close()
	pool := &Pool{Secret: Secret("another secret of 28 letters"), Clock: clock.System{}}
	_, err := pool.Get(server.Listener.Addr().String()).Run(t.Context(), clock.System{}, &peerrpc.RunRequest{CallId: "c1"})
	is.True(err != nil)
}

// slowReplyPeer is a peer that shares the clock of its caller, and whose replies to Run
// are read delay after the peer has read its clock.
type slowReplyPeer struct {
	peerrpc.Peer
	clock *clock.Fake
	start time.Time
	delay time.Duration
	// suspended is how far the clock of the peer is behind.
	suspended time.Duration
}

// Run implements peerrpc.Peer.
func (p *slowReplyPeer) Run(_ context.Context, req *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	reply := &peerrpc.RunReply{CallId: req.GetCallId(), BodyHash: xxhash.Sum64(nil), Clock: p.nanos(p.clock.Now())}
	p.clock.Advance(p.delay)
	return reply, nil
}

// nanos returns what the clock of the peer shows at t, a time of its caller.
func (p *slowReplyPeer) nanos(t time.Time) int64 { return int64(t.Sub(p.start) - p.suspended) }

// TestReplyReadLateDoesNotShortenDeadlines guards against calls that a peer refuses as
// past their deadline because an earlier reply was read late, and against times that
// stay late on a peer whose clock has stood still.
func TestReplyReadLateDoesNotShortenDeadlines(t *testing.T) {
	type step struct {
		// wait passes before the call.
		wait, delay, suspended time.Duration
	}
	cases := map[string]struct {
		steps []step
		// want is how early a time is on the clock of the peer after the steps.
		want time.Duration
	}{
		"first reply read late":             {[]step{{0, 700 * time.Millisecond, 0}}, 700 * time.Millisecond},
		"second reply read late":            {[]step{{0, 0, 0}, {0, 700 * time.Millisecond, 0}}, 0},
		"read late after a window":          {[]step{{0, 0, 0}, {clockWindow, 700 * time.Millisecond, 0}}, 0},
		"read late twice":                   {[]step{{0, 0, 0}, {clockWindow, 700 * time.Millisecond, 0}, {0, 500 * time.Millisecond, 0}}, 0},
		"read late after two windows":       {[]step{{0, 0, 0}, {2 * clockWindow, 700 * time.Millisecond, 0}}, 700 * time.Millisecond},
		"better after late":                 {[]step{{0, 700 * time.Millisecond, 0}, {0, 0, 0}}, 0},
		"clock stood still":                 {[]step{{0, 0, 0}, {0, 0, 300 * time.Millisecond}}, 0},
		"clock stood still after a window":  {[]step{{0, 0, 0}, {clockWindow, 0, 0}, {0, 0, 300 * time.Millisecond}}, 0},
		"clock stood still, reply late too": {[]step{{0, 0, 0}, {0, 200 * time.Millisecond, 300 * time.Millisecond}}, 200 * time.Millisecond},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			fake := &clock.Fake{}
			remote := &slowReplyPeer{clock: fake, start: fake.Now()}
			fake.Advance(time.Hour)
			secret := Secret("the secret of the test fleet")
			server := httptest.NewServer(newVerifier(secret).Handler(peerrpc.NewPeerServer(remote)))
			defer server.Close()
			p := (&Pool{Secret: secret, Clock: fake}).Get(server.Listener.Addr().String())
			for _, s := range tt.steps {
				fake.Advance(s.wait)
				remote.delay, remote.suspended = s.delay, s.suspended
				_, err := p.Run(t.Context(), fake, &peerrpc.RunRequest{CallId: "c1"})
				is.NoErr(err)
			}
			deadline := fake.Now().Add(time.Second)
			converted, known := p.ToPeerClock(deadline)
			is.True(known)
			is.Equal(time.Duration(remote.nanos(deadline)-converted), tt.want)
		})
	}
}

func newVerifier(secret Secret) *Verifier { return &Verifier{Secret: secret, Clock: clock.System{}} }

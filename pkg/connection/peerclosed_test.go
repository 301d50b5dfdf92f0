package connection

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// A caller sends a request ahead of the response to another one, and closes its connection. Guards
// against a request that goes on for a caller that has left, as its close is behind unread data.
func TestCloseBehindRequestSentAheadIsNoticed(t *testing.T) {
	// maxNoticeTime is a requirement of the users.
	const maxNoticeTime = 500 * time.Millisecond
	is := is.New(t)
	handling, ended := make(chan struct{}, 2), make(chan error, 2)
	tracker := &Tracker{Clock: clock.System{}, Limits: func() Limits { return generousLimits }}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		handling <- struct{}{}
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
		ended <- r.Context().Err()
	})}
	tracker.Track(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go func() { _ = server.Serve(tracker.Bound(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	sendRequest(t, conn)
	<-handling
	sendRequest(t, conn)
	select {
	case <-ended:
		t.Fatal("the request ended before its caller left")
	case <-time.After(maxNoticeTime):
	}
	is.NoErr(conn.Close())
	left := time.Now()
	is.True(<-ended != nil)
	is.True(time.Since(left) < maxNoticeTime)
}

package connection

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// A request has arrived on a connection, and the server has not come to read it. Guards
// against a connection that is closed as one that waits, so that its caller gets no answer.
func TestCloseWaitingKeepsConnectionWithUnreadRequest(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = caller.Close() }()
	conn, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	fake := &clock.Fake{}
	tracker := &Tracker{Clock: fake}
	tracker.Track(&http.Server{Handler: http.NotFoundHandler()})
	tracker.accept(t.Context(), conn)
	sendRequest(t, caller)
	for deadline := time.Now().Add(5 * time.Second); !isUnread(rawConn(conn)) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	fake.Advance(time.Second)
	tracker.CloseWaiting(time.Second)
	is.Equal(tracker.Counts(), Counts{Unused: 1})
	_, err = conn.Read(make([]byte, 1024))
	is.NoErr(err)
	tracker.CloseWaiting(time.Second)
	is.Equal(tracker.Counts(), Counts{})
}

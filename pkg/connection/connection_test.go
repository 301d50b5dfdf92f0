package connection

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// testServer is a tracked HTTP server whose handler waits for release.
type testServer struct {
	tracker *Tracker
	clock   *clock.Fake
	address string
	// uses receives the use of the connection of each request, and release lets its
	// handler return.
	uses    chan Use
	release chan struct{}
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &testServer{clock: &clock.Fake{}, address: listener.Addr().String(), uses: make(chan Use), release: make(chan struct{})}
	s.tracker = &Tracker{Clock: s.clock}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.uses <- Of(r.Context())
		<-s.release
	})}
	s.tracker.Track(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func (s *testServer) awaitCounts(t *testing.T, want Counts) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); s.tracker.Counts() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("counts are %+v, want %+v", s.tracker.Counts(), want)
		}
	}
}

func sendRequest(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.New(t).NoErr(err)
}

func readResponse(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}

// Each connection is counted in its state, and a request knows how long its connection
// waited for it.
func TestStatesOfConnections(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	conn, reader := s.dial(t)
	s.awaitCounts(t, Counts{Unused: 1})
	s.clock.Advance(3 * time.Second)
	sendRequest(t, conn)
	is.Equal(<-s.uses, Use{Requests: 1, Idle: 3 * time.Second})
	s.awaitCounts(t, Counts{Busy: 1})
	s.release <- struct{}{}
	readResponse(t, reader)
	s.awaitCounts(t, Counts{Idle: 1})
	s.clock.Advance(2 * time.Second)
	sendRequest(t, conn)
	is.Equal(<-s.uses, Use{Requests: 2, Idle: 2 * time.Second})
	s.release <- struct{}{}
	readResponse(t, reader)
	is.NoErr(conn.Close())
	s.awaitCounts(t, Counts{})
}

// A connection that waits longer than others is closed alone. One that carries a request
// stays open until it is answered.
func TestCloseWaiting(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	_, waiting := s.dial(t)
	s.awaitCounts(t, Counts{Unused: 1})
	s.clock.Advance(time.Second)
	conn, busy := s.dial(t)
	s.awaitCounts(t, Counts{Unused: 2})
	sendRequest(t, conn)
	<-s.uses
	s.dial(t)
	s.awaitCounts(t, Counts{Unused: 2, Busy: 1})
	s.tracker.CloseWaiting(time.Second)
	_, err := waiting.ReadByte()
	is.True(err != nil)
	s.awaitCounts(t, Counts{Unused: 1, Busy: 1})
	s.release <- struct{}{}
	readResponse(t, busy)
}

// Requests are sent at the moment at which their connections are closed. Guards against
// a request that the handler executes although its connection is closed.
func TestRequestDuringCloseIsAnsweredOrNotHandled(t *testing.T) {
	is := is.New(t)
	for range 300 {
		s := newTestServer(t)
		conn, reader := s.dial(t)
		s.awaitCounts(t, Counts{Unused: 1})
		handled := make(chan bool, 1)
		finished := make(chan struct{})
		go func() {
			select {
			case <-s.uses:
				handled <- true
				s.release <- struct{}{}
			case <-finished:
				handled <- false
			}
		}()
		go s.tracker.CloseWaiting(0)
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		response, err := http.ReadResponse(reader, nil)
		close(finished)
		answered := err == nil
		if answered {
			is.NoErr(response.Body.Close())
		}
		is.Equal(<-handled, answered)
		is.True(s.tracker.Counts().Dropped == 0 || !answered)
	}
}

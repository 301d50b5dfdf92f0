package connection

import (
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// newBoundServer starts a server that answers each request once release receives, within
// the bounds of the tracker.
func newBoundServer(t *testing.T, tracker *Tracker, wrap func(net.Listener) net.Listener) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &testServer{tracker: tracker, address: listener.Addr().String(), uses: make(chan Use, 10), release: make(chan struct{}, 10)}
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		s.uses <- Of(r.Context())
		<-s.release
	})}
	tracker.Track(server)
	go func() { _ = server.Serve(tracker.Bound(wrap(listener))) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func unwrapped(l net.Listener) net.Listener { return l }

// Connections that wait for a further request are closed in the order in which they began
// to wait, once there are more than MaxIdle.
func TestLongestIdleConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	s := newBoundServer(t, &Tracker{Clock: clock.System{}, MaxIdle: 2}, unwrapped)
	first, firstReader := s.dial(t)
	second, secondReader := s.dial(t)
	sendRequest(t, second)
	s.release <- struct{}{}
	readResponse(t, secondReader)
	s.awaitCounts(t, Counts{Unused: 1, Idle: 1})
	for range 2 {
		sendRequest(t, first)
		s.release <- struct{}{}
		readResponse(t, firstReader)
	}
	s.awaitCounts(t, Counts{Idle: 2})
	third, thirdReader := s.dial(t)
	sendRequest(t, third)
	s.release <- struct{}{}
	readResponse(t, thirdReader)
	s.awaitCounts(t, Counts{Idle: 2, Evicted: 1})
	_, err := secondReader.ReadByte()
	is.True(err != nil)
	sendRequest(t, first)
	s.release <- struct{}{}
	readResponse(t, firstReader)
}

// With MaxOpen connections open, an idle one makes room for a new one. While all carry
// requests, a new one waits until one of them is free.
func TestNewConnectionWaitsWhileAllCarryRequests(t *testing.T) {
	is := is.New(t)
	s := newBoundServer(t, &Tracker{Clock: clock.System{}, MaxOpen: func() int { return 2 }}, unwrapped)
	first, firstReader := s.dial(t)
	sendRequest(t, first)
	<-s.uses
	second, _ := s.dial(t)
	sendRequest(t, second)
	<-s.uses
	third, thirdReader := s.dial(t)
	sendRequest(t, third)
	select {
	case <-s.uses:
		t.Fatal("a third connection was accepted")
	case <-time.After(100 * time.Millisecond):
	}
	s.release <- struct{}{}
	readResponse(t, firstReader)
	<-s.uses
	s.release <- struct{}{}
	s.release <- struct{}{}
	readResponse(t, thirdReader)
	_, err := firstReader.ReadByte()
	is.True(err != nil)
}

// failingListener fails the first calls of Accept for lack of descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends, or pauses for long, because a descriptor was
// lacking for a moment.
func TestAcceptGoesOnAfterAShortage(t *testing.T) {
	is := is.New(t)
	failures := 0
	tracker := &Tracker{Clock: clock.System{}, OnAcceptError: func(error) { failures++ }}
	s := newBoundServer(t, tracker, func(l net.Listener) net.Listener { return &failingListener{Listener: l, failures: 8} })
	began := time.Now()
	conn, reader := s.dial(t)
	sendRequest(t, conn)
	s.release <- struct{}{}
	readResponse(t, reader)
	is.Equal(failures, 8)
	is.True(time.Since(began) < 500*time.Millisecond)
}

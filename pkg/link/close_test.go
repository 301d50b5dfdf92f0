package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// unbufferedBytes is the size of a reply that no socket buffer holds as a whole.
	unbufferedBytes = 12 << 20
	// bufferedBytes is the size of a reply that the sender's socket buffer holds, but not the
	// receiver's.
	bufferedBytes = 2 << 20
	// closingTime is enough for Close to have begun, and less than defaultCloseTimeout.
	closingTime = 50 * time.Millisecond
	// noWaitTime is how long a close may take that waits for nothing. It is less than
	// defaultCloseTimeout and dialTimeout.
	noWaitTime = 200 * time.Millisecond
	// boundedTime is how long a close may take whose peers do not read. It is less than
	// defaultCloseTimeout for each of two connections, and than writeTimeout.
	boundedTime = 450 * time.Millisecond
	// awaitTimeout is longer than what a test waits for takes on a busy machine.
	awaitTimeout = 5 * time.Second
	// slowReadInterval is the time between two reads of slowConn, which take readBufferBytes
	// at most, and slowReadBufferBytes is what its socket holds.
	slowReadInterval    = 3 * time.Millisecond
	slowReadBufferBytes = 64 << 10
	// slowCloseTimeout is long enough for a slow reader on a busy machine to read some.
	slowCloseTimeout = time.Second
)

// serve returns a server with a handler and its address.
func serve(t *testing.T, handle Handler) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	s := &Server{Clock: clock.System{}, Hello: hello, Handle: handle}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

// pausedConn delivers no data that follows the first read until resume is closed.
type pausedConn struct {
	net.Conn
	started bool
	resume  <-chan struct{}
}

func (c *pausedConn) Read(b []byte) (int, error) {
	if c.started {
		<-c.resume
	}
	c.started = true
	return c.Conn.Read(b)
}

// newPausedLink returns a link that reads its handshake, and replies once resume is
// closed.
func newPausedLink(t *testing.T, address string, resume <-chan struct{}) *Link {
	t.Helper()
	l := &Link{Address: address, Clock: clock.System{}, Hello: hello, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := DialTCP(ctx, address)
		return &pausedConn{Conn: conn, resume: resume}, err
	}}
	t.Cleanup(l.Close)
	return l
}

// Guards against a close that cuts a reply that is being written: its work was done, and the entrance reads that the connection was lost.
func TestClosingServerWritesReplyBeingWritten(t *testing.T) {
	is := is.New(t)
	handled := make(chan struct{})
	s, address := serve(t, func(context.Context, Request) proto.Message {
		defer close(handled)
		return &linkrpc.Outcome{Body: make([]byte, unbufferedBytes)}
	})
	s.CloseTimeout = slowCloseTimeout
	resume := make(chan struct{})
	go func() {
		<-handled
		time.Sleep(closingTime)
		go s.Close()
		awaitClosing(s)
		close(resume)
	}()
	reply, err := newPausedLink(t, address, resume).Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
	is.True(len(reply.Payload) > unbufferedBytes)
}

// noLimit returns a time that no close in a test takes.
func noLimit() time.Duration { return time.Minute }

// slowConn reads a few bytes at a time, and waits before each read.
type slowConn struct{ net.Conn }

func (c *slowConn) Read(b []byte) (int, error) {
	time.Sleep(slowReadInterval)
	return c.Conn.Read(b)
}

// newSlowLink returns a link that reads steadily, and takes much longer than
// slowCloseTimeout for a reply of unbufferedBytes.
func newSlowLink(t *testing.T, address string) *Link {
	t.Helper()
	l := &Link{Address: address, Clock: clock.System{}, Hello: hello, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := DialTCP(ctx, address)
		if c, ok := conn.(*net.TCPConn); ok {
			_ = c.SetReadBuffer(slowReadBufferBytes)
		}
		return &slowConn{conn}, err
	}}
	t.Cleanup(l.Close)
	return l
}

// Guards against a close that cuts a reply at a fixed time although its peer reads on.
func TestClosingServerWritesReplyToPeerThatReadsSlowly(t *testing.T) {
	is := is.New(t)
	handled := make(chan struct{})
	s, address := serve(t, func(context.Context, Request) proto.Message {
		defer close(handled)
		return &linkrpc.Outcome{Body: make([]byte, unbufferedBytes)}
	})
	s.CloseTimeout, s.CloseLimit = slowCloseTimeout, noLimit
	go func() {
		<-handled
		s.Close()
	}()
	reply, err := newSlowLink(t, address).Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
	is.True(len(reply.Payload) > unbufferedBytes)
}

// Guards against a close that a peer which reads slowly holds up for as long as it likes.
func TestClosingServerCutsSlowReplyAtItsLimit(t *testing.T) {
	is := is.New(t)
	handled := make(chan struct{})
	s, address := serve(t, func(context.Context, Request) proto.Message {
		defer close(handled)
		return &linkrpc.Outcome{Body: make([]byte, unbufferedBytes)}
	})
	s.CloseLimit = func() time.Duration { return defaultCloseTimeout }
	go func() {
		<-handled
		s.Close()
	}()
	_, err := newSlowLink(t, address).Call(t.Context(), KindRun, &linkrpc.Run{})
	var lost *ConnectionLostError
	is.True(errors.As(err, &lost))
}

// Guards against a close that pings hold up, which a peer sends for as long as it waits for
// a reply.
func TestPingsDoNotHoldUpClose(t *testing.T) {
	is := is.New(t)
	begun := make(chan struct{})
	s, address := serve(t, func(ctx context.Context, _ Request) proto.Message {
		close(begun)
		<-ctx.Done()
		return nil
	})
	s.CloseLimit = noLimit
	l := newLink(t, address)
	var group sync.WaitGroup
	group.Go(func() { _, _ = l.Call(t.Context(), KindRun, &linkrpc.Run{}) })
	<-begun
	ctx, cancel := context.WithCancel(t.Context())
	group.Go(func() {
		clock.Every(ctx, clock.System{}, clock.FixedPeriod(defaultCloseTimeout/10), func(context.Context) { l.Notify(KindPing, nil) })
	})
	started := time.Now()
	s.Close()
	is.True(time.Since(started) < noLimit()/2)
	cancel()
	group.Wait()
}

// Guards against TCP discarding a written reply that the peer has not received, because the peer sends something to a closed connection.
func TestClosingServerDeliversReplyToPeerThatSends(t *testing.T) {
	is := is.New(t)
	handled := make(chan struct{})
	s, address := serve(t, func(context.Context, Request) proto.Message {
		defer close(handled)
		return &linkrpc.Outcome{Body: make([]byte, bufferedBytes)}
	})
	resume := make(chan struct{})
	l := newPausedLink(t, address, resume)
	go func() {
		<-handled
		go s.Close()
		time.Sleep(closingTime)
		l.Notify(KindPing, nil)
		time.Sleep(closingTime)
		close(resume)
	}()
	_, err := l.Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
}

// Guards against a close that comes between the return of a handler and the queueing of its reply.
func TestClosingServerSendsReplyOfReturnedHandler(t *testing.T) {
	const attempts = 300
	lost := 0
	for range attempts {
		handled := make(chan struct{})
		s, address := serve(t, func(context.Context, Request) proto.Message {
			defer close(handled)
			return &linkrpc.Outcome{}
		})
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			<-handled
			s.Close()
		}()
		if _, err := newLink(t, address).Call(t.Context(), KindRun, &linkrpc.Run{}); err != nil {
			lost++
		}
		<-closed
	}
	is.New(t).Equal(lost, 0)
}

// Guards against a close that cuts the reply of a request being handled, and against new work of a closing connection.
func TestClosingServerTakesNoNewRequests(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int64
	begun, release := make(chan struct{}), make(chan struct{})
	s, address := serve(t, func(context.Context, Request) proto.Message {
		if handled.Add(1) == 1 {
			close(begun)
			<-release
		}
		return &linkrpc.Outcome{}
	})
	// The time that Close waits is not what is tested.
	s.CloseTimeout = noLimit()
	l := newLink(t, address)
	firstErr, laterErr := make(chan error, 1), make(chan error, 1)
	call := func(result chan<- error) {
		_, err := l.Call(t.Context(), KindRun, &linkrpc.Run{})
		result <- err
	}
	go call(firstErr)
	<-begun
	go s.Close()
	awaitClosing(s)
	go call(laterErr)
	awaitReceipt(l, 2)
	close(release)
	is.NoErr(<-firstErr)
	var lost *ConnectionLostError
	is.True(errors.As(<-laterErr, &lost))
	is.Equal(handled.Load(), int64(1))
}

// awaitClosing waits until a server takes no more requests.
func awaitClosing(s *Server) {
	await(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		closing := s.closed
		for c := range s.conns {
			c.mu.Lock()
			closing = closing && c.closing
			c.mu.Unlock()
		}
		return closing
	})
}

// awaitReceipt waits until the peer of a link has read so many requests that have no reply
// yet: it answers a ping that was sent after them.
func awaitReceipt(l *Link, requests int) {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	await(func() bool {
		c.streams.Lock()
		defer c.streams.Unlock()
		sent := 0
		for _, pending := range c.streams.pending {
			if pending.sent {
				sent++
			}
		}
		return sent == requests
	})
	before := c.lastRead.Load()
	l.Notify(KindPing, nil)
	await(func() bool { return c.lastRead.Load() > before })
}

// await waits for a condition that the test brings about, and gives up after awaitTimeout.
func await(condition func() bool) {
	for started := time.Now(); !condition() && time.Since(started) < awaitTimeout; {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a close that peers which do not read hold up, one after another.
func TestClosingServerDoesNotWaitForPeersThatDoNotRead(t *testing.T) {
	is := is.New(t)
	var handled, ended sync.WaitGroup
	s, address := serve(t, func(context.Context, Request) proto.Message {
		defer handled.Done()
		return &linkrpc.Outcome{Body: make([]byte, unbufferedBytes)}
	})
	resume := make(chan struct{})
	for range 3 {
		handled.Add(1)
		l := newPausedLink(t, address, resume)
		ended.Go(func() { _, _ = l.Call(t.Context(), KindRun, &linkrpc.Run{}) })
	}
	handled.Wait()
	time.Sleep(closingTime)
	started := time.Now()
	s.Close()
	is.True(time.Since(started) < boundedTime)
	close(resume)
	ended.Wait()
}

// Guards against connections that outlive the server because their handshake was under way, or because they came later.
func TestClosingServerEndsHandshakes(t *testing.T) {
	is := is.New(t)
	s, address := serve(t, echo)
	early, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = early.Close() }()
	time.Sleep(closingTime)
	started := time.Now()
	s.Close()
	late, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = late.Close() }()
	for _, conn := range []net.Conn{early, late} {
		_, err = conn.Read(make([]byte, 1))
		is.Equal(err, io.EOF)
	}
	is.True(time.Since(started) < noWaitTime)
}

// Guards against a close that needs a connection, or a clock, where there is nothing to close.
func TestCloseOfUnusedServer(*testing.T) {
	s := &Server{}
	s.Close()
	s.Close()
}

// shortListener fails the first calls of Accept for lack of descriptors.
type shortListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a node that ends because descriptors are used up for a moment.
func TestServerGoesOnAfterAShortageOfDescriptors(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	short := &shortListener{Listener: listener}
	short.failures.Store(5)
	s := &Server{Clock: clock.System{}, Hello: hello, Handle: echo}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(short) }()
	t.Cleanup(s.Close)
	_, err = newLink(t, listener.Addr().String()).Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
	is.NoErr(listener.Close())
	is.True(errors.Is(<-ended, net.ErrClosed))
}

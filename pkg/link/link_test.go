package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/internal/clocktest"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/recovery"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

func hello() *linkrpc.Hello { return &linkrpc.Hello{Incarnation: 7} }

// relay is a TCP proxy between a link and its server. It can close its
// connections, or drop all data while they stay open.
type relay struct {
	// mu guards muted and conns.
	mu     sync.Mutex
	muted  bool
	conns  []net.Conn
	listen net.Listener
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	r := &relay{listen: l}
	go func() {
		for {
			from, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = from.Close()
				continue
			}
			r.mu.Lock()
			r.conns = append(r.conns, from, out)
			muted := &r.muted
			r.mu.Unlock()
			go r.forward(from, out, muted)
			go r.forward(out, from, muted)
		}
	}()
	return r
}

func (r *relay) forward(from, to net.Conn, muted *bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			_ = to.Close()
			return
		}
		r.mu.Lock()
		drop := *muted
		r.mu.Unlock()
		if drop {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (r *relay) setMuted(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.muted = on
}

func (r *relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

func newServer(t *testing.T, handle Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Clock: clock.System{}, Hello: hello, Handle: handle}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return l.Addr().String()
}

func newLink(t *testing.T, address string) *Link {
	t.Helper()
	link := &Link{Address: address, Clock: clock.System{}, Hello: hello}
	t.Cleanup(link.Close)
	go clock.Every(t.Context(), clock.System{}, clock.FixedPeriod(100*time.Millisecond), func(context.Context) { link.CheckLiveness() })
	return link
}

func echo(_ context.Context, r Request) proto.Message {
	run := &linkrpc.Run{}
	if proto.Unmarshal(r.Payload, run) != nil {
		return nil
	}
	return &linkrpc.Outcome{Body: run.Body}
}

func TestConcurrentCalls(t *testing.T) {
	is := is.New(t)
	l := newLink(t, newServer(t, echo))
	var group sync.WaitGroup
	for i := range 200 {
		group.Go(func() {
			body := make([]byte, i*50)
			reply, err := l.Call(t.Context(), KindRun, &linkrpc.Run{Body: body})
			is.NoErr(err)
			o := &linkrpc.Outcome{}
			is.NoErr(proto.Unmarshal(reply.Payload, o))
			is.Equal(len(o.Body), len(body))
			is.Equal(reply.Incarnation, uint64(7))
		})
	}
	group.Wait()
}

// blockUntilCancelled returns a handler that blocks until its context ends and
// then sends the cause to ended. It never replies.
func blockUntilCancelled(ended chan<- error) Handler {
	return func(ctx context.Context, _ Request) proto.Message {
		<-ctx.Done()
		ended <- context.Cause(ctx)
		return nil
	}
}

func TestConnectionLostAfterSend(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	r := newRelay(t, newServer(t, blockUntilCancelled(ended)))
	l := newLink(t, r.listen.Addr().String())
	time.AfterFunc(100*time.Millisecond, r.closeConns)
	_, err := l.Call(t.Context(), KindRun, &linkrpc.Run{})
	var lost *ConnectionLostError
	is.True(errors.As(err, &lost))
	is.Equal(lost.Incarnation, uint64(7))
	var cancelled *CancelledError
	is.True(!errors.As(<-ended, &cancelled))
}

// When data stops arriving while the connection stays open, pending calls fail
// within 1.5 seconds instead of at their deadline.
func TestUnresponsivePeerIsDetected(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	r := newRelay(t, newServer(t, blockUntilCancelled(ended)))
	l := newLink(t, r.listen.Addr().String())
	time.AfterFunc(100*time.Millisecond, func() { r.setMuted(true) })
	began := time.Now()
	_, err := l.Call(t.Context(), KindRun, &linkrpc.Run{})
	var lost *ConnectionLostError
	is.True(errors.As(err, &lost))
	is.True(time.Since(began) < 1500*time.Millisecond)
}

func TestNotSentWhenPeerIsUnreachable(t *testing.T) {
	is := is.New(t)
	_, err := newLink(t, "127.0.0.1:1").Call(t.Context(), KindRun, &linkrpc.Run{})
	var unsent *NotSentError
	is.True(errors.As(err, &unsent))
}

func TestCancelIsSentToPeer(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	l := newLink(t, newServer(t, blockUntilCancelled(ended)))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := l.Call(ctx, KindRun, &linkrpc.Run{})
	is.Equal(err, context.DeadlineExceeded)
	var cancelled *CancelledError
	is.True(errors.As(<-ended, &cancelled))
}

func TestLinkReconnects(t *testing.T) {
	is := is.New(t)
	r := newRelay(t, newServer(t, echo))
	l := newLink(t, r.listen.Addr().String())
	_, err := l.Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
	r.closeConns()
	time.Sleep(50 * time.Millisecond)
	_, err = l.Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
}

// Malformed input closes the connection and has no other effect.
// A handler panics on some requests and messages. Guards against an unexpected error that
// ends the process, or the connection that others use.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	is := is.New(t)
	panics := make(chan error, 2)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	server := &Server{
		Clock: clock.System{}, Hello: hello, OnPanic: func(err error) { panics <- err },
		OnStatus: func(*linkrpc.Status) { panic("status") },
		Handle: func(ctx context.Context, r Request) proto.Message {
			if r.Kind == KindAsk {
				panic("ask")
			}
			return echo(ctx, r)
		},
	}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Close)
	l := newLink(t, listener.Addr().String())
	is.NoErr(l.Connect(t.Context()))
	is.True(l.Notify(KindStatus, &linkrpc.Status{}))
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err = l.Call(ctx, KindAsk, &linkrpc.Ask{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = l.Call(t.Context(), KindRun, &linkrpc.Run{})
	is.NoErr(err)
	for range 2 {
		var panicked *recovery.PanicError
		is.True(errors.As(<-panics, &panicked))
	}
}

func FuzzServer(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0, 0, 0, 0, byte(KindHello), 0, 0, 0, 0, 0, 0, 0, 1, byte(KindRun), 0, 0, 0, 1, 255})
	f.Add([]byte{255, 255, 255, 255, 1, 0, 0, 0, 0})
	f.Fuzz(func(t *testing.T, raw []byte) {
		near, far := net.Pipe()
		s := &Server{Clock: clock.System{}, Hello: hello, Handle: echo}
		done := make(chan struct{})
		go func() { s.serveConn(far, func() {}); close(done) }()
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_ = near.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = near.Write(raw)
		_ = near.Close()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatal("the server did not end the connection")
		}
	})
}

// Jumps of the wall clock must neither close a healthy connection nor delay the
// detection of an unresponsive peer: liveness is based on monotonic time.
func TestWallClockJumps(t *testing.T) {
	for _, jump := range []time.Duration{40 * time.Minute, -40 * time.Minute} {
		t.Run(jump.String(), func(t *testing.T) {
			is := is.New(t)
			ended := make(chan error, 1)
			r := newRelay(t, newServer(t, blockUntilCancelled(ended)))
			jumpingClock := &clocktest.Stepped{}
			l := &Link{Address: r.listen.Addr().String(), Clock: jumpingClock, Hello: hello}
			t.Cleanup(l.Close)
			is.NoErr(l.Connect(t.Context()))
			callErr := make(chan error, 1)
			go func() {
				_, err := l.Call(t.Context(), KindRun, &linkrpc.Run{})
				callErr <- err
			}()
			checkFor := func(d time.Duration) {
				for began := time.Now(); time.Since(began) < d; time.Sleep(20 * time.Millisecond) {
					l.CheckLiveness()
				}
			}
			checkFor(500 * time.Millisecond)
			jumpingClock.Step(jump)
			checkFor(500 * time.Millisecond)
			is.True(l.Connected())
			r.setMuted(true)
			checkFor(1500 * time.Millisecond)
			is.True(!l.Connected())
			var lost *ConnectionLostError
			is.True(errors.As(<-callErr, &lost))
		})
	}
}

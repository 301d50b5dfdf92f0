package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// uploadBytes is the size of a large request body.
const uploadBytes = 1 << 20

// steppedConn lets each Write of at least partBytes wait for a step of the test.
type steppedConn struct {
	net.Conn
	// waiting receives a value when a large Write begins, and step lets it go on.
	waiting, step chan struct{}
}

func (c *steppedConn) Write(b []byte) (int, error) {
	if len(b) >= partBytes {
		c.waiting <- struct{}{}
		<-c.step
	}
	return c.Conn.Write(b)
}

// pacedConn writes at a fixed rate.
type pacedConn struct {
	net.Conn
	bytesPerSecond float64
}

func (c *pacedConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(float64(len(b)) / c.bytesPerSecond * float64(time.Second)))
	return c.Conn.Write(b)
}

// bodyServer handles requests with the length of their body as the status, and counts
// the large ones.
type bodyServer struct {
	address string
	budget  memory.Budget
	large   atomic.Int64
	// discarded is the number of requests without their payload.
	discarded atomic.Int64
	// release lets large requests end if it is set.
	release chan struct{}
}

func newBodyServer(t testing.TB, limit int64) *bodyServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &bodyServer{address: listener.Addr().String()}
	s.budget.Limit = limit
	server := &Server{Clock: clock.System{}, Hello: hello, Handle: s.handle, Budget: &s.budget}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() {
		_ = listener.Close()
		server.Close()
	})
	return s
}

func (s *bodyServer) handle(_ context.Context, r Request) proto.Message {
	if r.Discarded {
		s.discarded.Add(1)
		return &linkrpc.Outcome{Reason: linkrpc.Reason_REASON_FULL}
	}
	run := &linkrpc.Run{}
	if err := proto.Unmarshal(r.Payload, run); err != nil {
		return &linkrpc.Outcome{Reason: linkrpc.Reason_REASON_BROKEN}
	}
	if len(run.Body) > partBytes {
		s.large.Add(1)
		if s.release != nil {
			<-s.release
		}
	}
	return &linkrpc.Outcome{Status: uint32(len(run.Body)), Body: run.Body}
}

func newPartsLink(t testing.TB, s *bodyServer, wrap func(net.Conn) net.Conn) *Link {
	t.Helper()
	l := &Link{Address: s.address, Clock: clock.System{}, Hello: hello}
	l.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := DialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		return wrap(conn), nil
	}
	t.Cleanup(l.Close)
	return l
}

func unwrapped(conn net.Conn) net.Conn { return conn }

func call(ctx context.Context, l *Link, body []byte) (*linkrpc.Outcome, error) {
	reply, err := l.Call(ctx, KindRun, &linkrpc.Run{Body: body})
	if err != nil {
		return nil, err
	}
	outcome := &linkrpc.Outcome{}
	return outcome, proto.Unmarshal(reply.Payload, outcome)
}

// testBody returns a body whose parts differ.
func testBody(size int) []byte {
	body := make([]byte, size)
	for i := range len(body) / 4 {
		binary.BigEndian.PutUint32(body[4*i:], uint32(i))
	}
	return body
}

// Many large and small requests and replies share a connection. Guards against parts of
// one message in another, and against reservations that are not released.
func TestLargeMessagesArriveWhole(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t, 0)
	l := newPartsLink(t, s, unwrapped)
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			body := testBody(i * 9973)
			outcome, err := call(t.Context(), l, body)
			if err != nil || !bytes.Equal(outcome.Body, body) {
				t.Errorf("body %d: error %v", i, err)
			}
		})
	}
	group.Wait()
	is.True(s.large.Load() > 0)
	is.True(awaitZero(&s.budget))
}

func awaitZero(b *memory.Budget) bool {
	for deadline := time.Now().Add(2 * time.Second); b.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// An upload is under way on a slow connection. Guards against small calls that wait for
// the whole body: a call that is made while a part is written is written after that part.
func TestSmallCallOvertakesUpload(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t, 0)
	conn := &steppedConn{waiting: make(chan struct{}), step: make(chan struct{})}
	l := newPartsLink(t, s, func(c net.Conn) net.Conn {
		conn.Conn = c
		return conn
	})
	uploaded := make(chan error, 1)
	go func() {
		_, err := call(t.Context(), l, testBody(uploadBytes))
		uploaded <- err
	}()
	<-conn.waiting
	answered := make(chan error, 1)
	go func() {
		_, err := call(t.Context(), l, []byte("small"))
		answered <- err
	}()
	time.Sleep(20 * time.Millisecond)
	conn.step <- struct{}{}
	// The second write holds the small call and the next part, the third is not let go.
	<-conn.waiting
	conn.step <- struct{}{}
	select {
	case err := <-answered:
		is.NoErr(err)
	case <-time.After(2 * time.Second):
		t.Fatal("the small call waits for the upload")
	}
	is.Equal(s.large.Load(), int64(0))
	go func() {
		for range conn.waiting {
			conn.step <- struct{}{}
		}
	}()
	is.NoErr(<-uploaded)
}

// The caller leaves, or the connection ends, in the middle of a body. Guards against a
// request that is reported as possibly run although the peer never had it whole, and
// against one that runs with half a body.
func TestUploadEndsInTheMiddle(t *testing.T) {
	for name, end := range map[string]func(cancel func(), conn net.Conn){
		"caller leaves":   func(cancel func(), _ net.Conn) { cancel() },
		"connection lost": func(_ func(), conn net.Conn) { _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newBodyServer(t, 0)
			conn := &steppedConn{waiting: make(chan struct{}), step: make(chan struct{})}
			l := newPartsLink(t, s, func(c net.Conn) net.Conn {
				conn.Conn = c
				return conn
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			uploaded := make(chan error, 1)
			go func() {
				_, err := call(ctx, l, testBody(uploadBytes))
				uploaded <- err
			}()
			for range 3 {
				<-conn.waiting
				conn.step <- struct{}{}
			}
			<-conn.waiting
			end(cancel, conn.Conn)
			time.Sleep(20 * time.Millisecond)
			close(conn.step)
			go func() {
				for range conn.waiting {
				}
			}()
			var unsent *NotSentError
			is.True(errors.As(<-uploaded, &unsent))
			is.True(awaitZero(&s.budget))
			is.Equal(s.large.Load(), int64(0))
		})
	}
}

// A burst of uploads exceeds the memory for them. Guards against a node that takes them
// all, and against small requests that are refused with them.
func TestUploadsBeyondBudgetAreDiscarded(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t, 2*uploadBytes+uploadBytes/2)
	s.release = make(chan struct{})
	l := newPartsLink(t, s, unwrapped)
	reasons := make(chan linkrpc.Reason, 8)
	for range cap(reasons) {
		go func() {
			outcome, err := call(t.Context(), l, testBody(uploadBytes))
			if err != nil {
				t.Error(err)
			}
			reasons <- outcome.GetReason()
		}()
	}
	for range cap(reasons) - 2 {
		is.Equal(<-reasons, linkrpc.Reason_REASON_FULL)
	}
	outcome, err := call(t.Context(), l, testBody(partBytes-100))
	is.NoErr(err)
	is.Equal(outcome.Status, uint32(partBytes-100))
	close(s.release)
	is.Equal(<-reasons, linkrpc.Reason_REASON_NONE)
	is.Equal(<-reasons, linkrpc.Reason_REASON_NONE)
	is.Equal(s.large.Load(), int64(2))
	is.Equal(s.discarded.Load(), int64(cap(reasons)-2))
	is.True(awaitZero(&s.budget))
}

// Guards against a large frame in parts to a node of a build that does not know them.
func TestPeerWithoutPartsGetsWholeMessages(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	f := newFramer(near, clock.System{}, nil)
	go f.writeLoop()
	t.Cleanup(func() { f.closeWithError(net.ErrClosed) })
	is.NoErr(f.send(KindRun, 1, &linkrpc.Run{Body: testBody(uploadBytes)}, true))
	var header [headerBytes]byte
	_, err := io.ReadFull(far, header[:])
	is.NoErr(err)
	is.Equal(Kind(header[4]), KindRun)
	is.True(binary.BigEndian.Uint32(header[:]) > uploadBytes)
}

// Guards against parts that lie about their message: the connection ends, and nothing
// stays reserved.
func TestLyingPartsEndConnection(t *testing.T) {
	part := func(length uint32, data int) []byte {
		return append(binary.BigEndian.AppendUint32(nil, length), make([]byte, data)...)
	}
	cases := map[string][]byte{
		"other length":  slices.Concat(appendFrame(nil, KindPart, 1, part(100, 10)), appendFrame(nil, KindPart, 1, part(101, 10))),
		"too long":      appendFrame(nil, KindPart, 1, part(maxMessageBytes+1, 10)),
		"too many":      appendFrame(nil, KindPart, 1, part(5, 10)),
		"no length":     appendFrame(nil, KindPart, 1, []byte{1, 2}),
		"ends too soon": slices.Concat(appendFrame(nil, KindPart, 1, part(100, 10)), appendFrame(nil, KindRun, 1, make([]byte, 10))),
	}
	for name, frames := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newBodyServer(t, 1<<20)
			conn, err := net.Dial("tcp", s.address)
			is.NoErr(err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = conn.Write(append(appendFrame(nil, KindHello, 0, nil), frames...))
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * time.Second)))
			_, err = io.Copy(io.Discard, conn)
			var timeout net.Error
			is.True(!errors.As(err, &timeout) || !timeout.Timeout())
			is.True(awaitZero(&s.budget))
			is.Equal(s.large.Load(), int64(0))
		})
	}
}

// BenchmarkSmallCallBesideUploads reports the latency of small calls while uploads of 360 KB
// follow each other on the same link.
func BenchmarkSmallCallBesideUploads(b *testing.B) {
	for name, bitsPerSecond := range map[string]float64{"200Mbit": 200e6, "1000Mbit": 1000e6} {
		for _, uploads := range []bool{false, true} {
			b.Run(name+map[bool]string{false: "/alone", true: "/besideUploads"}[uploads], func(b *testing.B) {
				s := newBodyServer(b, 0)
				l := newPartsLink(b, s, func(c net.Conn) net.Conn { return &pacedConn{Conn: c, bytesPerSecond: bitsPerSecond / 8} })
				ctx, stop := context.WithCancel(b.Context())
				defer stop()
				if uploads {
					go func() {
						for ctx.Err() == nil {
							_, _ = call(ctx, l, testBody(360<<10))
						}
					}()
				}
				var took []time.Duration
				for b.Loop() {
					started := time.Now()
					if _, err := call(ctx, l, []byte("small")); err != nil {
						b.Fatal(err)
					}
					took = append(took, time.Since(started))
				}
				slices.Sort(took)
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
			})
		}
	}
}

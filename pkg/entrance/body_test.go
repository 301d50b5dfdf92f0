package entrance

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// photoBytes is the size of an upload, and maxTestBodyBytes the limit of the test
	// configuration.
	photoBytes       = 200 << 10
	maxTestBodyBytes = 1 << 20
)

// uploadServer serves an entrance to callers over TCP.
type uploadServer struct {
	*testCluster
	address string
}

func newUploadServer(t *testing.T, budgetBytes int64) *uploadServer {
	t.Helper()
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1, Timeout: 3 * time.Second})
	cluster.entrance.Bodies = &memory.Budget{Limit: budgetBytes}
	server := httptest.NewServer(cluster.entrance)
	t.Cleanup(server.Close)
	return &uploadServer{testCluster: cluster, address: server.Listener.Addr().String()}
}

// caller is a connection of a caller.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

// open sends the head of a request.
func (s *uploadServer) open(t *testing.T, headers ...string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	is := is.New(t)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(5 * time.Second)))
	if !slices.ContainsFunc(headers, func(h string) bool { return strings.HasPrefix(h, "Left:") }) {
		headers = append(headers, "Left: 2000")
	}
	_, err = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\n%s\r\n\r\n", strings.Join(headers, "\r\n"))
	is.NoErr(err)
	return &caller{Conn: conn, reader: bufio.NewReader(conn)}
}

// status returns the status of the next response, interim ones included.
func (c *caller) status(t *testing.T) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	is := is.New(t)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return response
}

func (s *uploadServer) awaitReserved(t *testing.T, want int64) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); s.entrance.Bodies.Used() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are reserved, want %d", s.entrance.Bodies.Used(), want)
		}
	}
}

// Uploads arrive in many packets. Guards against a body that reaches the instance in part.
func TestUploadReachesInstanceWhole(t *testing.T) {
	for name, chunked := range map[string]bool{"length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newUploadServer(t, 4*photoBytes)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.address+"/x", nil)
			is.NoErr(err)
			request.Host = "h"
			request.Header.Set("Id", "1")
			request.Header.Set("Left", "2000")
			reader, writer := io.Pipe()
			request.Body = reader
			if !chunked {
				request.ContentLength = photoBytes
			}
			go func() {
				for range photoBytes / 2048 {
					_, _ = writer.Write(make([]byte, 2048))
					time.Sleep(100 * time.Microsecond)
				}
				_ = writer.Close()
			}()
			response, err := http.DefaultClient.Do(request)
			is.NoErr(err)
			is.NoErr(response.Body.Close())
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(s.bodyBytes.Load(), int64(photoBytes))
			is.Equal(s.executions.Load(), int64(1))
			s.awaitReserved(t, 0)
		})
	}
}

// Guards against a body over the limit that runs, takes memory or ends the connection
// before the caller has its answer.
func TestBodyOverLimitIsRefused(t *testing.T) {
	cases := map[string]struct {
		header string
		body   []byte
	}{
		"length":  {fmt.Sprintf("Content-Length: %d", 4*maxTestBodyBytes), make([]byte, 64<<10)},
		"chunked": {"Transfer-Encoding: chunked", append(fmt.Appendf(nil, "%x\r\n", maxTestBodyBytes+1), make([]byte, maxTestBodyBytes+1)...)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newUploadServer(t, 8*maxTestBodyBytes)
			conn := s.open(t, c.header)
			_, err := conn.Write(c.body)
			is.NoErr(err)
			response := conn.status(t)
			is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
			is.True(response.Close)
			is.Equal(s.executions.Load(), int64(0))
			s.awaitReserved(t, 0)
		})
	}
}

// Guards against a caller that waits for an interim response, or sends a body that is
// refused anyway.
func TestExpectContinue(t *testing.T) {
	is := is.New(t)
	s := newUploadServer(t, 4*photoBytes)
	conn := s.open(t, "Expect: 100-continue", fmt.Sprintf("Content-Length: %d", photoBytes))
	is.Equal(conn.status(t).StatusCode, http.StatusContinue)
	_, err := conn.Write(make([]byte, photoBytes))
	is.NoErr(err)
	is.Equal(conn.status(t).StatusCode, http.StatusOK)
	is.Equal(s.bodyBytes.Load(), int64(photoBytes))

	refused := s.open(t, "Expect: 100-continue", fmt.Sprintf("Content-Length: %d", 2*maxTestBodyBytes))
	is.Equal(refused.status(t).StatusCode, http.StatusRequestEntityTooLarge)
}

// A caller breaks off in the middle of a body. Guards against half a body that runs as if
// it were whole, and against memory that stays reserved.
func TestHalfBodyDoesNotRun(t *testing.T) {
	for name, header := range map[string]string{"length": fmt.Sprintf("Content-Length: %d", photoBytes), "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newUploadServer(t, 4*photoBytes)
			conn := s.open(t, header)
			_, err := conn.Write(fmt.Appendf(nil, "%x\r\n%s", photoBytes/2, make([]byte, photoBytes/2)))
			is.NoErr(err)
			is.NoErr(conn.Close())
			s.awaitReserved(t, 0)
			time.Sleep(20 * time.Millisecond)
			is.Equal(s.executions.Load(), int64(0))
		})
	}
}

// The rest of a body arrives after the time limit of its request. The response promises that
// the request does not run, and names the time limit also while the node stops.
func TestBodyAfterTheTimeLimitIsRefused(t *testing.T) {
	for name, takes := range map[string]bool{"while the node takes requests": true, "while it stops": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newUploadServer(t, 0)
			s.entrance.Takes = func(*Request) bool { return takes }
			conn := s.open(t, "Left: 100", "Content-Length: 2")
			_, err := conn.Write([]byte("s"))
			is.NoErr(err)
			is.Equal(conn.status(t).StatusCode, http.StatusRequestTimeout)
			_, _ = conn.Write([]byte("w")) // the node may have closed the connection
			time.Sleep(20 * time.Millisecond)
			is.Equal(s.executions.Load(), int64(0))
		})
	}
}

// The node gives a request up while its body arrives. Guards against a request that waits
// for the rest of its body until its connection is closed.
func TestRequestGivenUpBeforeItsBodyIsRefused(t *testing.T) {
	for name, header := range map[string]string{"small": "Content-Length: 1000", "large": "Content-Length: 100000", "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newUploadServer(t, 4*photoBytes)
			ctx, giveUp := context.WithCancelCause(t.Context())
			server := httptest.NewUnstartedServer(s.entrance)
			server.Config.BaseContext = func(net.Listener) context.Context { return ctx }
			server.Start()
			t.Cleanup(server.Close)
			s.address = server.Listener.Addr().String()
			s.entrance.Stopping = func() bool { return ctx.Err() != nil }
			conn := s.open(t, header)
			_, err := conn.Write([]byte("5\r\nbegin\r\n"))
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond)
			giveUp(&StoppedError{})
			began := time.Now()
			response := conn.status(t)
			is.True(time.Since(began) < time.Second)
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.True(response.Header.Get("Retry-After") != "")
			is.Equal(s.executions.Load(), int64(0))
			s.awaitReserved(t, 0)
		})
	}
}

// The rest of a body arrives late or never. Guards against a refusal that waits for it.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	for name, header := range map[string]string{"small": "Content-Length: 1000", "large": "Content-Length: 100000", "chunked": "Transfer-Encoding: chunked"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newUploadServer(t, 0)
			conn := s.open(t, "Left: never", header)
			started := time.Now()
			is.Equal(conn.status(t).StatusCode, http.StatusBadRequest)
			is.True(time.Since(started) < time.Second)
		})
	}
}

// Slow uploads use up the memory for bodies. Guards against a node that takes more, and
// against small requests that are turned away with them.
func TestUploadsBeyondMemoryAreTurnedAway(t *testing.T) {
	is := is.New(t)
	s := newUploadServer(t, 2*photoBytes)
	var slow []*caller
	for range 2 {
		slow = append(slow, s.open(t, fmt.Sprintf("Content-Length: %d", photoBytes)))
	}
	s.awaitReserved(t, 2*photoBytes)

	third := s.open(t, "Expect: 100-continue", fmt.Sprintf("Content-Length: %d", photoBytes))
	response := third.status(t)
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.True(response.Header.Get("Retry-After") != "")

	chunked := s.open(t, "Transfer-Encoding: chunked")
	_, err := chunked.Write(fmt.Appendf(nil, "%x\r\n%s", photoBytes, make([]byte, photoBytes)))
	is.NoErr(err)
	is.Equal(chunked.status(t).StatusCode, http.StatusServiceUnavailable)

	small := s.open(t, "Content-Length: 100")
	_, err = small.Write(make([]byte, 100))
	is.NoErr(err)
	is.Equal(small.status(t).StatusCode, http.StatusOK)

	for _, c := range slow {
		_, err := c.Write(bytes.Repeat([]byte("x"), photoBytes))
		is.NoErr(err)
		is.Equal(c.status(t).StatusCode, http.StatusOK)
	}
	is.Equal(s.executions.Load(), int64(3))
	s.awaitReserved(t, 0)
}

// A caller does not end its small body, and there is memory for one. Guards against callers
// that are refused instead of it, and against memory that such callers hold for long.
func TestUnendedSmallBodyMakesRoom(t *testing.T) {
	is := is.New(t)
	s := newUploadServer(t, 0)
	s.entrance.SmallBodies = &memory.HeldBudget{Budget: memory.Budget{Limit: 50_000}, Clock: clock.System{}}
	body := strings.Repeat("b", 30_000)
	unended := s.open(t, "Content-Length: 30000")
	_, err := io.WriteString(unended, body[1:])
	is.NoErr(err)
	for deadline := time.Now().Add(5 * time.Second); s.entrance.SmallBodies.Used() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	early := s.open(t, "Content-Length: 30000")
	is.Equal(early.status(t).StatusCode, http.StatusServiceUnavailable)
	time.Sleep(300 * time.Millisecond)
	for range 3 {
		other := s.open(t, "Content-Length: 30000")
		_, err = io.WriteString(other, body)
		is.NoErr(err)
		is.Equal(other.status(t).StatusCode, http.StatusOK)
	}
	is.Equal(unended.status(t).StatusCode, http.StatusRequestTimeout)
	is.Equal(s.entrance.SmallBodies.Used(), int64(0))
	is.Equal(s.executions.Load(), int64(3))
}

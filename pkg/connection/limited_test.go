package connection

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

// limitedServer is a server with limits whose handler answers with the path of the request.
type limitedServer struct {
	tracker *Tracker
	address string

	mu sync.Mutex
	// reasons holds the reasons of Tracker.OnClosed.
	reasons []string
}

func newLimitedServer(t *testing.T, limits Limits, budget *memory.Budget, maxOpen int) *limitedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &limitedServer{address: l.Addr().String()}
	s.tracker = &Tracker{Clock: clock.System{}, Limits: func() Limits { return limits }, Heads: budget, MaxOpen: func() int { return maxOpen }, OnClosed: func(reason string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reasons = append(s.reasons, reason)
	}}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, r.URL.Path)
	})}
	s.tracker.Track(server)
	go func() { _ = server.Serve(s.tracker.Bound(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *limitedServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	is := is.New(t)
	is.NoErr(err)
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// headOf returns a request whose header fields, apart from Host, have n bytes.
func headOf(path string, n int) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", n-len("X: \r\n")) + "\r\n\r\n"
}

func statusOf(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	is := is.New(t)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	return response.StatusCode
}

var generousLimits = Limits{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 3 * time.Second}

// Guards against heads over the limit that are served, and heads at the limit that are not,
// also on a connection that has carried requests.
func TestHeaderBytesAreLimited(t *testing.T) {
	cases := []struct {
		name          string
		bytes, status int
	}{
		{"small", 100, http.StatusOK},
		{"at the limit", 16384, http.StatusOK},
		{"over the limit", 16385, http.StatusRequestHeaderFieldsTooLarge},
		{"far over the limit", 200_000, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLimitedServer(t, generousLimits, nil, 100)
			conn, reader := s.dial(t)
			for range 3 {
				_, err := io.WriteString(conn, headOf("/a", 16384))
				is.NoErr(err)
				is.Equal(statusOf(t, reader), http.StatusOK)
			}
			_, _ = io.WriteString(conn, headOf("/a", c.bytes))
			is.Equal(statusOf(t, reader), c.status)
		})
	}
}

// Several requests are sent before the first is answered. Guards against heads that count
// towards the limit of another one.
func TestPipelinedHeadsAreLimitedOneByOne(t *testing.T) {
	is := is.New(t)
	s := newLimitedServer(t, generousLimits, nil, 100)
	conn, reader := s.dial(t)
	const requests = 8
	go func() { _, _ = io.WriteString(conn, strings.Repeat(headOf("/a", 12_000), requests)) }()
	for range requests {
		is.Equal(statusOf(t, reader), http.StatusOK)
	}
}

// Guards against a body that counts as part of the head.
func TestBodyIsNoHead(t *testing.T) {
	is := is.New(t)
	s := newLimitedServer(t, generousLimits, &memory.Budget{Limit: 1}, 100)
	conn, reader := s.dial(t)
	_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n"+strings.Repeat("b", 300_000))
	is.NoErr(err)
	is.Equal(statusOf(t, reader), http.StatusOK)
}

// Guards against a caller that holds a connection with a head that it does not end, and
// against the close of one that waits for a request within its time.
func TestTimeoutsAreThoseOfTheLimits(t *testing.T) {
	is := is.New(t)
	s := newLimitedServer(t, Limits{HeaderBytes: 16384, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second}, nil, 100)
	idle, idleReader := s.dial(t)
	slow, slowReader := s.dial(t)
	reused, reusedReader := s.dial(t)
	_, err := io.WriteString(reused, headOf("/a", 100)+"GET /a HTTP/1.1\r\n")
	is.NoErr(err)
	is.Equal(statusOf(t, reusedReader), http.StatusOK)
	_, err = io.WriteString(slow, "GET /a HTTP/1.1\r\n")
	is.NoErr(err)
	started := time.Now()
	_, err = slowReader.ReadByte()
	is.True(err != nil)
	is.True(time.Since(started) < 900*time.Millisecond)
	_, err = io.WriteString(idle, headOf("/a", 100))
	is.NoErr(err)
	is.Equal(statusOf(t, idleReader), http.StatusOK)
	_, err = idleReader.ReadByte()
	is.True(err != nil)
	is.True(time.Since(started) > 900*time.Millisecond)
	_, err = reusedReader.ReadByte()
	is.True(err != nil)
}

// The memory for heads is used up by one that is not ended. Guards against callers that
// are refused instead, and against small heads that need that memory.
func TestSlowHeadMakesRoom(t *testing.T) {
	is := is.New(t)
	budget := &memory.Budget{Limit: 80_000}
	s := newLimitedServer(t, generousLimits, budget, 100)
	slow, slowReader := s.dial(t)
	_, err := io.WriteString(slow, strings.TrimSuffix(headOf("/a", 15_000), "\r\n"))
	is.NoErr(err)
	for deadline := time.Now().Add(5 * time.Second); budget.Used() < 40_000 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	young, youngReader := s.dial(t)
	_, err = io.WriteString(young, headOf("/a", 15_000))
	is.NoErr(err)
	is.Equal(statusOf(t, youngReader), http.StatusServiceUnavailable)
	small, smallReader := s.dial(t)
	_, err = io.WriteString(small, headOf("/a", 1000))
	is.NoErr(err)
	is.Equal(statusOf(t, smallReader), http.StatusOK)
	time.Sleep(minHeadAge)
	other, otherReader := s.dial(t)
	_, err = io.WriteString(other, headOf("/a", 15_000))
	is.NoErr(err)
	is.Equal(statusOf(t, otherReader), http.StatusOK)
	_, err = slowReader.ReadByte()
	is.True(err != nil)
	counts := s.tracker.Counts()
	is.Equal(counts.HeadsEvicted, 1)
	is.Equal(counts.HeadsRefused, 1)
	for deadline := time.Now().Add(5 * time.Second); budget.Used() != 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(budget.Used(), int64(0))
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.reasons, []string{headRefused, headEvicted})
}

// Connections without a whole request take all the room. Guards against callers that are
// not accepted meanwhile.
func TestUnusedConnectionsMakeRoom(t *testing.T) {
	is := is.New(t)
	s := newLimitedServer(t, generousLimits, nil, 4)
	for range 4 {
		conn, _ := s.dial(t)
		_, err := io.WriteString(conn, "GET /a HTTP/1.1\r\n")
		is.NoErr(err)
	}
	conn, reader := s.dial(t)
	_, err := io.WriteString(conn, headOf("/a", 100))
	is.NoErr(err)
	started := time.Now()
	is.Equal(statusOf(t, reader), http.StatusOK)
	is.True(time.Since(started) < generousLimits.HeaderTimeout)
	is.True(s.tracker.Counts().Evicted > 0)
}

// All connections carry requests whose callers do not read their responses, one large or many
// small ones. Guards against callers that are not accepted until these have ended, and
// against the close of one that reads slowly.
func TestStalledConnectionsMakeRoom(t *testing.T) {
	for name, requests := range map[string]string{
		"large response": headOf("/large", 100), "many small responses": strings.Repeat(headOf("/small", 100), 4000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			var maxOpen atomic.Int64
			maxOpen.Store(100)
			tracker := &Tracker{Clock: clock.System{}, MaxOpen: func() int { return int(maxOpen.Load()) }}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				size := 2000
				if r.URL.Path == "/large" {
					size = 64 << 20
				}
				_, _ = w.Write(make([]byte, size))
			})}
			tracker.Track(server)
			go func() { _ = server.Serve(tracker.Bound(l)) }()
			t.Cleanup(func() { _ = server.Close() })
			s := &limitedServer{address: l.Addr().String()}
			slow, slowReader := s.dial(t)
			_, err = io.WriteString(slow, headOf("/large", 100))
			is.NoErr(err)
			stalled, _ := s.dial(t)
			go func() { _, _ = io.WriteString(stalled, requests) }()
			// Between two responses the connection is idle, and would be closed as such.
			time.Sleep(500 * time.Millisecond)
			last, lastReader := s.dial(t)
			_, err = io.WriteString(last, headOf("/a", 100))
			is.NoErr(err)
			is.Equal(statusOf(t, lastReader), http.StatusOK)
			maxOpen.Store(2)
			other, reader := s.dial(t)
			_, err = io.WriteString(other, headOf("/a", 100))
			is.NoErr(err)
			answered := make(chan int, 1)
			go func() { answered <- statusOf(t, reader) }()
			for status := 0; status == 0; {
				select {
				case status = <-answered:
					is.Equal(status, http.StatusOK)
				case <-time.After(20 * time.Millisecond):
					_, err := io.CopyN(io.Discard, slowReader, 200<<10)
					is.NoErr(err)
				}
			}
			is.Equal(tracker.Counts().Stalled, 1)
			_, err = io.CopyN(io.Discard, slowReader, 1<<20)
			is.NoErr(err)
		})
	}
}

// Connections whose bodies arrive slowly take all the room. Guards against callers that are not
// accepted until these have ended.
func TestSlowBodiesMakeRoom(t *testing.T) {
	is := is.New(t)
	s := newLimitedServer(t, generousLimits, nil, 2)
	for range 2 {
		conn, _ := s.dial(t)
		_, err := io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\nb")
		is.NoErr(err)
	}
	for deadline := time.Now().Add(5 * time.Second); s.tracker.Counts().Busy < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	conn, reader := s.dial(t)
	_, err := io.WriteString(conn, headOf("/a", 100))
	is.NoErr(err)
	is.Equal(statusOf(t, reader), http.StatusOK)
	is.Equal(s.tracker.Counts().Stalled, 1)
}

// Guards against connections that stay open for empty lines in place of a request: the first ones
// end their connection, before a request and after one.
func TestEmptyLinesEndTheConnection(t *testing.T) {
	for name, before := range map[string]string{"new connection": "", "after a request": headOf("/a", 100)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newLimitedServer(t, generousLimits, nil, 100)
			conn, reader := s.dial(t)
			_, err := io.WriteString(conn, before+"\r\n\r\n")
			is.NoErr(err)
			if before != "" {
				is.Equal(statusOf(t, reader), http.StatusOK)
			}
			is.Equal(statusOf(t, reader), http.StatusBadRequest)
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}

package connection

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

// serveHTTP2 starts a server with a tracker, and returns its address and a client.
func serveHTTP2(t *testing.T, tracker *Tracker, handle http.HandlerFunc) (address string, client *http.Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Protocols: &http.Protocols{}, Handler: handle}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	tracker.Track(server)
	go func() { _ = server.Serve(tracker.Bound(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	return "http://" + listener.Addr().String() + "/a", &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

// Guards against an HTTP/2 connection that is limited as if all that arrives on it were one head,
// or is closed by the deadline of a head while its requests run.
func TestHTTP2ConnectionIsNoHead(t *testing.T) {
	is := is.New(t)
	limits := Limits{HeaderBytes: 1 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: time.Second}
	tracker := &Tracker{Clock: clock.System{}, Limits: func() Limits { return limits }, MaxOpen: func() int { return 10 }}
	address, client := serveHTTP2(t, tracker, func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.ProtoMajor, 2)
		time.Sleep(2 * limits.HeaderTimeout)
		_, _ = io.Copy(w, r.Body)
	})
	body := make([]byte, 50_000)
	for range 3 {
		response, err := client.Post(address, "text/plain", bytes.NewReader(body))
		is.NoErr(err)
		got, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(len(got), len(body))
	}
	is.Equal(tracker.Counts().HeadsTooLarge, 0)
	is.Equal(tracker.Counts().Idle, 1)
}

// Requests with large heads run on one HTTP/2 connection. Guards against heads that are not counted
// there, and against reservations that outlast their requests.
func TestHeadsOfHTTP2RequestsAreCounted(t *testing.T) {
	is := is.New(t)
	const headBytes = 8 << 10
	release := make(chan struct{})
	running := make(chan struct{}, 10)
	budget := &memory.Budget{Limit: 2*headCostFactor*headBytes + headBytes}
	tracker := &Tracker{Clock: clock.System{}, Limits: func() Limits { return generousLimits }, Heads: budget, MaxOpen: func() int { return 10 }}
	address, client := serveHTTP2(t, tracker, func(http.ResponseWriter, *http.Request) {
		running <- struct{}{}
		<-release
	})
	get := func() int {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, address, nil)
		is.NoErr(err)
		request.Header.Set("X", strings.Repeat("x", headBytes))
		response, err := client.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	statuses := make(chan int, 2)
	for range 2 {
		go func() { statuses <- get() }()
		<-running
	}
	is.Equal(get(), http.StatusServiceUnavailable)
	is.Equal(tracker.Counts().HeadsRefused, 1)
	close(release)
	is.Equal(<-statuses, http.StatusOK)
	is.Equal(<-statuses, http.StatusOK)
	for deadline := time.Now().Add(5 * time.Second); budget.Used() != 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(budget.Used(), int64(0))
}

// Callers begin a connection like one of HTTP/2 and then send heads over the limit. Guards against
// limits that do not apply any more.
func TestBeginningOfHTTP2DoesNotLiftLimits(t *testing.T) {
	head := "X: " + strings.Repeat("x", 60_000)
	cases := []struct {
		name, sent string
		http2      bool
		// answered is the number of requests that are handled: a server of HTTP/1 takes the
		// preface for one, and closes the connection after it.
		answered int
	}{
		{"method, HTTP/1 only", "PRI /a HTTP/1.1\r\nHost: h\r\n" + head, false, 0},
		{"method, HTTP/2 too", "PRI /a HTTP/1.1\r\nHost: h\r\n" + head, true, 0},
		{"preface, HTTP/1 only", http2Preface + "GET /a HTTP/1.1\r\nHost: h\r\n" + head, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newLimitedServer(t, generousLimits, &memory.Budget{Limit: 1 << 20}, 100)
			s.tracker.servesHTTP2 = c.http2
			conn, reader := s.dial(t)
			go func() { _, _ = io.WriteString(conn, c.sent) }()
			read, _ := io.ReadAll(reader)
			is.Equal(strings.Count(string(read), "200 OK"), c.answered)
			is.Equal(s.tracker.Counts().HeadsTooLarge, 1-c.answered)
		})
	}
}

// The preface arrives in pieces. Guards against an HTTP/2 connection that is taken for HTTP/1.
func TestPrefaceInPieces(t *testing.T) {
	is := is.New(t)
	c := &limitedConn{tracker: &Tracker{servesHTTP2: true}}
	read := 0
	for _, piece := range []string{http2Preface[:3], http2Preface[3:20], http2Preface[20:] + "settings"} {
		is.True(!c.isHTTP2.Load())
		c.matchPreface(int64(read), []byte(piece))
		read += len(piece)
	}
	is.True(c.isHTTP2.Load())
	other := &limitedConn{tracker: &Tracker{servesHTTP2: true}}
	other.matchPreface(0, []byte("PRI * "))
	other.matchPreface(6, []byte("HTTP/1.1"))
	other.matchPreface(14, []byte(http2Preface[14:]))
	is.True(!other.isHTTP2.Load())
}

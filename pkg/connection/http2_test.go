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

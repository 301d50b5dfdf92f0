package entrance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// largeResponseBytes is the size of a response that the buffers of the system do not hold
	// for a caller that does not read.
	largeResponseBytes = 1 << 20
	// smallBudgetBytes has room for one small response of smallResponseBytes. unreadResponses of
	// these exceed the buffers of a connection.
	smallBudgetBytes, smallResponseBytes = 40 << 10, 32 << 10
	unreadResponses                      = 20
	// smallStall is how long a caller of the tests may leave a small response unread.
	smallStall = 10 * time.Millisecond
	// responseMargin is the write margin of the tests.
	responseMargin = 300 * time.Millisecond
)

// smallBufferListener accepts connections whose system buffers hold little that was not read.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
	}
	return conn, err
}

// responseServer serves an entrance whose instances answer with large responses.
type responseServer struct {
	*testCluster
	address string
}

func newResponseServer(t *testing.T, budgetBytes int64) *responseServer {
	t.Helper()
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	cluster.entrance.Responses = &memory.HeldBudget{Budget: memory.Budget{Limit: budgetBytes, AdmitsFirst: true}, Clock: clock.System{}}
	cluster.entrance.SmallResponses = &memory.HeldBudget{Budget: memory.Budget{Limit: smallBudgetBytes}, MinStall: smallStall, Clock: clock.System{}}
	cluster.entrance.WriteMargin = responseMargin
	cluster.answer = func(w http.ResponseWriter, r *http.Request) {
		size, err := strconv.Atoi(r.URL.Path[1:])
		if err != nil {
			t.Error(err)
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	}
	server := httptest.NewUnstartedServer(cluster.entrance)
	server.Listener = smallBufferListener{server.Listener}
	server.Start()
	t.Cleanup(server.Close)
	return &responseServer{testCluster: cluster, address: server.Listener.Addr().String()}
}

// ask sends a request for a response of size bytes, whose caller waits for left.
func (s *responseServer) ask(t *testing.T, size int, left time.Duration) *bufio.Reader {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	is := is.New(t)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(64 << 10))
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = fmt.Fprintf(conn, "GET /%d HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: %d\r\n\r\n", size, left.Milliseconds())
	is.NoErr(err)
	return bufio.NewReader(conn)
}

// receive reads a response and returns its status and the length of its body, or the error
// of a body that breaks off.
func receive(t *testing.T, reader *bufio.Reader) (status, size int, err error) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	is.New(t).NoErr(err)
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, len(body), err
}

// awaitHeld waits until responses of n bytes in all are held.
func (s *responseServer) awaitHeld(t *testing.T, n int64) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); s.entrance.Responses.Used() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes are held, want %d", s.entrance.Responses.Used(), n)
		}
	}
}

// One caller does not read its large response, and others ask for some. Guards against memory
// beyond the budget, against an executed request that is reported as not executed, against a
// truncated response that looks complete, and against small responses that need the budget.
func TestUnreadResponseMakesRoom(t *testing.T) {
	is := is.New(t)
	s := newResponseServer(t, largeResponseBytes)
	unread := s.ask(t, largeResponseBytes, 20*time.Second)
	s.awaitHeld(t, largeResponseBytes)
	status, _, err := receive(t, s.ask(t, largeResponseBytes, 5*time.Second))
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	status, size, err := receive(t, s.ask(t, memory.SmallBytes, 5*time.Second))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(size, memory.SmallBytes)
	time.Sleep(300 * time.Millisecond)
	status, size, err = receive(t, s.ask(t, largeResponseBytes, 5*time.Second))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(size, largeResponseBytes)
	_, size, err = receive(t, unread)
	is.True(err != nil)
	is.True(size < largeResponseBytes)
	s.awaitHeld(t, 0)
}

// Guards against a response that is cut although its caller reads, slowly and for longer than
// it said that it would wait.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	is := is.New(t)
	s := newResponseServer(t, 0)
	reader := s.ask(t, largeResponseBytes, 200*time.Millisecond)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	size := 0
	for buffer := make([]byte, 32<<10); ; time.Sleep(30 * time.Millisecond) {
		n, err := io.ReadFull(response.Body, buffer)
		size += n
		if err != nil {
			break
		}
	}
	is.Equal(size, largeResponseBytes)
}

// Guards against a caller that does not read and keeps its connection for ever, and against
// one that is disconnected before the time that it said it would wait has passed.
func TestUnreadResponseIsCutAfterItsTime(t *testing.T) {
	is := is.New(t)
	s := newResponseServer(t, 0)
	started := time.Now()
	s.ask(t, largeResponseBytes, 500*time.Millisecond)
	s.awaitHeld(t, largeResponseBytes)
	s.awaitHeld(t, 0)
	is.True(time.Since(started) >= 500*time.Millisecond+responseMargin)
}

// Callers leave small responses unread, each of which takes all the memory for these. Guards
// against responses that are held beyond the budget, and against callers that read and get none.
func TestUnreadSmallResponsesMakeRoom(t *testing.T) {
	is := is.New(t)
	s := newResponseServer(t, largeResponseBytes)
	for range 4 {
		conn, err := net.Dial("tcp", s.address)
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() })
		is.NoErr(conn.(*net.TCPConn).SetReadBuffer(4 << 10))
		request := fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: 20000\r\n\r\n", smallResponseBytes)
		_, err = io.WriteString(conn, strings.Repeat(request, unreadResponses))
		is.NoErr(err)
	}
	for deadline := time.Now().Add(5 * time.Second); s.entrance.SmallResponses.Evicted() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(s.entrance.SmallResponses.Evicted() > 0)
	status, size, err := receive(t, s.ask(t, smallResponseBytes, 20*time.Second))
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(size, smallResponseBytes)
	is.True(s.entrance.SmallResponses.Used() <= smallBudgetBytes)
}

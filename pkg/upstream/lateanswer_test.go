package upstream_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/retry"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

// serveConnections serves each connection to a new TCP listener with serve and closes it
// when serve returns. It returns the address of the listener.
func serveConnections(t *testing.T, serve func(net.Conn, *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

// response encodes an answer with the path of its request as its body.
func response(status int, path, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(path), path)
}

// newCall returns an idempotent call that may last for five seconds.
func newCall(method, path string) *call.Call {
	return &call.Call{
		Request: fleet.RequestID(path), Method: method, Path: path, Route: &ticket.Route{Idempotent: true},
		Retries: retry.NewAllowance(0), Deadline: time.Now().Add(5 * time.Second),
	}
}

// TestLateSecondAnswerIsNotTakenForNextOne guards against a caller that gets the answer
// of another request: the upstream sends what is named in a case when the next request
// has reached it on the connection of an earlier one, and only then that request's own
// answer. Statuses alternate, so that such an answer also changes failure into success.
func TestLateSecondAnswerIsNotTakenForNextOne(t *testing.T) {
	const calls = 40
	cases := map[string]func(previous string) string{
		"whole second answer":     func(previous string) string { return previous },
		"cut in the status line":  func(previous string) string { return previous[:strings.Index(previous, "\r\n")] },
		"cut in a header value":   func(previous string) string { return previous[:strings.Index(previous, "\r\nContent")] },
		"cut in the body":         func(previous string) string { return previous[:len(previous)-1] },
		"no bytes of the earlier": func(string) string { return "" },
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := serveConnections(t, func(c net.Conn, r *bufio.Reader) {
				previous := ""
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if previous != "" {
						_, _ = c.Write([]byte(late(previous)))
					}
					previous = response(statusOf(request.URL.Path), request.URL.Path, "X-Served-By: a\r\n")
					_, _ = c.Write([]byte(previous))
				}
			})
			u := &upstream.Client{Address: address, Clock: clock.System{}, MaxResponseBytes: 1 << 10}
			failed, mixed := 0, 0
			for i := range calls {
				path := fmt.Sprintf("/%d", i)
				got, err := u.Handle(t.Context(), newCall(http.MethodGet, path))
				switch {
				case err != nil:
					failed++
				case got.Status != statusOf(path) || string(got.Body) != path:
					mixed++
				}
			}
			t.Logf("of %d calls, %d got an answer that is not theirs, %d none", calls, mixed, failed)
			is.Equal(mixed, 0)  // answers that are not those of their request
			is.Equal(failed, 0) // the upstream answered each call
		})
	}
}

// statusOf returns the status of the answer to a path: success for every other number.
func statusOf(path string) int {
	if path[len(path)-1]%2 == 0 {
		return http.StatusOK
	}
	return http.StatusGatewayTimeout
}

// TestActionIsSentOnceWhenItsConnectionBreaks guards against an action that runs twice:
// the upstream resets the connection of an earlier call after it has run the action, and
// the HTTP client sends a request with an idempotency key again by itself.
func TestActionIsSentOnceWhenItsConnectionBreaks(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	address := serveConnections(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if request.Method == http.MethodPost {
				runs.Add(1)
				_ = c.(*net.TCPConn).SetLinger(0) // close resets the connection
				return
			}
			_, _ = c.Write([]byte(response(http.StatusOK, request.URL.Path, "")))
		}
	})
	u := &upstream.Client{Address: address, Clock: clock.System{}, MaxResponseBytes: 1 << 10}
	_, err := u.Handle(t.Context(), newCall(http.MethodGet, "/read"))
	is.NoErr(err)
	action := newCall(http.MethodPost, "/action")
	action.Route, action.IdempotencyKey = &ticket.Route{}, "k1"
	_, err = u.Handle(t.Context(), action)
	p, refused := err.(*problem.Error)
	is.True(refused)
	is.Equal(p.Execution, problem.ExecutionUnknown)
	is.Equal(runs.Load(), int32(1)) // runs of the action
}

// BenchmarkCall measures calls that run one after another and at once.
func BenchmarkCall(b *testing.B) {
	address := startBenchmarkServer(b)
	u := &upstream.Client{Address: address, Clock: clock.System{}, MaxResponseBytes: 1 << 10}
	handle := func(b *testing.B) {
		if _, err := u.Handle(b.Context(), newCall(http.MethodGet, "/read")); err != nil {
			b.Fatal(err)
		}
	}
	b.Run("one", func(b *testing.B) {
		for b.Loop() {
			handle(b)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				handle(b)
			}
		})
	})
}

func startBenchmarkServer(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok"))
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

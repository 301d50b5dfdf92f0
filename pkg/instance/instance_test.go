package instance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// newServer starts a server that passes each connection and its number, from 1 on,
// to serve. It returns its address.
func newServer(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

func newClient(address string) *Client {
	return &Client{Address: address, Clock: clock.System{}, MaxBodyBytes: 1 << 20, Headers: Headers{
		RequestID: "Id", NotExecuted: "Not-Run", InstanceID: "Instance",
	}}
}

func newCall(id string) *Call {
	return &Call{Method: "GET", Target: "/x", Host: "h", Headers: []string{"Id", id}, RequestID: id, ExpectedInstance: "i-1"}
}

// readRequest reads one request and returns its id, or "" at the end of the input.
func readRequest(r *bufio.Reader) string {
	q, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, q.Body)
	return q.Header.Get("Id")
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func TestResponsesAndConnectionReuse(t *testing.T) {
	cases := []struct {
		name string
		// send writes the response to the request with the given id.
		send     func(c net.Conn, id string)
		wantBody string
		wantErr  bool
		// wantReuse is whether the next call uses the same connection.
		wantReuse bool
	}{
		{"whole", func(c net.Conn, id string) { writeResponse(c, id, "abc") }, "abc", false, true},
		{"interim first", func(c net.Conn, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			writeResponse(c, id, "abc")
		}, "abc", false, true},
		{"cut", func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nabc", id)
			_ = c.Close()
		}, "", true, false},
		{"truncated chunk", func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc", id)
			_ = c.Close()
		}, "", true, false},
		{"without Content-Length", func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nabc", id)
			_ = c.Close()
		}, "abc", false, false},
		{"without Content-Length, connection reset", func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\nabc", id)
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}, "", true, false},
		{"no bytes", func(c net.Conn, _ string) { _ = c.Close() }, "", true, false},
		{"not HTTP", func(c net.Conn, _ string) { _, _ = io.WriteString(c, "\x00\x01rubbish\r\n\r\n") }, "", true, false},
		{"id of another request", func(c net.Conn, _ string) { writeResponse(c, "other", "abc") }, "", true, false},
		{"without id", func(c net.Conn, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc")
		}, "", true, false},
		{"data after the response", func(c net.Conn, id string) {
			writeResponse(c, id, "abc")
			writeResponse(c, id, "again")
		}, "abc", false, false},
		{"closing", func(c net.Conn, id string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\nContent-Length: 3\r\n\r\nabc", id)
		}, "abc", false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			connNumbers := make(chan int, 2)
			client := newClient(newServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
				for {
					id := readRequest(r)
					if id == "" {
						return
					}
					connNumbers <- n
					if id == "1" {
						c.send(conn, id)
					} else {
						writeResponse(conn, id, "next")
					}
				}
			}))
			got, err := client.Do(t.Context(), newCall("1"))
			var responseErr *ResponseError
			is.Equal(errors.As(err, &responseErr), c.wantErr)
			if !c.wantErr {
				is.NoErr(err)
				is.Equal(string(got.Body), c.wantBody)
			}
			time.Sleep(10 * time.Millisecond)
			next, err := client.Do(t.Context(), newCall("2"))
			is.NoErr(err)
			is.Equal(string(next.Body), "next")
			first, second := <-connNumbers, <-connNumbers
			is.Equal(first == second, c.wantReuse)
		})
	}
}

// A duplicate response to an earlier call that arrives only after the next call was
// sent must not be taken for the response to that call.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		writeResponse(c, readRequest(r), "first")
		id := readRequest(r)
		writeResponse(c, "1", "first again")
		writeResponse(c, id, "second")
		_ = readRequest(r)
	}))
	_, err := client.Do(t.Context(), newCall("1"))
	is.NoErr(err)
	got, err := client.Do(t.Context(), newCall("2"))
	is.NoErr(err)
	is.Equal(string(got.Body), "second")
	is.Equal(len(client.idle), 0)
}

// The answer to a HEAD call has a length and no body. Guards against a call that is lost as the
// body does not follow.
func TestHeadResponseHasNoBody(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\n", readRequest(r))
		writeResponse(c, readRequest(r), "next")
	}))
	call := newCall("1")
	call.Method = http.MethodHead
	got, err := client.Do(t.Context(), call)
	is.NoErr(err)
	is.Equal(len(got.Body), 0)
	is.Equal(got.Header("Content-Length"), "9")
	got, err = client.Do(t.Context(), newCall("2"))
	is.NoErr(err)
	is.Equal(string(got.Body), "next")
}

func TestCallsNotExecuted(t *testing.T) {
	cases := []struct{ name, answer string }{
		{"full", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"another instance", "HTTP/1.1 421 Misdirected Request\r\nInstance: i-2\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for readRequest(r) != "" {
					_, _ = io.WriteString(conn, c.answer)
				}
			}))
			_, err := client.Do(t.Context(), newCall("1"))
			var rejected *RejectedError
			is.True(errors.As(err, &rejected))
			is.Equal(len(client.idle), 1)
		})
	}
	is := is.New(t)
	_, err := newClient("127.0.0.1:1").Do(t.Context(), newCall("1"))
	var unsent *NotSentError
	is.True(errors.As(err, &unsent))
}

// A connection that the instance has closed while it was idle must not be used, as
// the call would be lost on it.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		writeResponse(c, readRequest(r), fmt.Sprint(n))
	}))
	for n := 1; n <= 3; n++ {
		got, err := client.Do(t.Context(), newCall("1"))
		is.NoErr(err)
		is.Equal(string(got.Body), fmt.Sprint(n))
		time.Sleep(20 * time.Millisecond)
	}
}

func TestKeepAliveTimeout(t *testing.T) {
	is := is.New(t)
	opened := 0
	client := newClient(newServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n", id)
		}
	}))
	time.Sleep(10 * time.Millisecond)
	fake := &clock.Fake{}
	client.Clock, client.OnConnect = fake, func() { opened++ }
	for i, wait := range []time.Duration{0, 3 * time.Second, 5 * time.Second} {
		fake.Advance(wait)
		_, err := client.Do(t.Context(), newCall(fmt.Sprint(i)))
		is.NoErr(err)
	}
	is.Equal(opened, 2)
}

// The instance may respond to a large request before reading all of it. The response
// counts, and the connection must not be reused.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			writeResponse(c, readRequest(r), "next")
			return
		}
		_, _ = r.ReadString('\n')
		writeResponse(c, "1", "early")
		time.Sleep(time.Second)
	}))
	long := newCall("1")
	long.Method, long.Body = "POST", []byte(strings.Repeat("x", 32<<20))
	got, err := client.Do(t.Context(), long)
	is.NoErr(err)
	is.Equal(string(got.Body), "early")
	got, err = client.Do(t.Context(), newCall("2"))
	is.NoErr(err)
	is.Equal(string(got.Body), "next")
}

// Cancelling a call closes the connection, which signals the instance to abort it.
func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan error, 1)
	client := newClient(newServer(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_ = readRequest(r)
		_, err := r.ReadByte()
		closed <- err
	}))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := client.Do(ctx, newCall("1"))
	is.True(err != nil)
	is.Equal(<-closed, io.EOF)
}

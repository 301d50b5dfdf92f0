package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

// A head that exceeds a read buffer is passed on whole, in one piece or byte by byte.
func TestLargeHead(t *testing.T) {
	is := is.New(t)
	a := newAnswers(t)
	value := strings.Repeat("v", 3*readBufferBytes)
	own := run{500, "own body"}
	for _, segments := range [][]string{{own.text("Name: " + value + "\r\n")}, strings.Split(own.text(""), "")} {
		got, err := a.get(t, segments...)
		is.NoErr(err)
		is.Equal(own.foreign(got, err), "")
	}
	got, err := a.get(t, own.text("Name: "+value+"\r\n"))
	is.NoErr(err)
	is.Equal(got.Header.Get("Name"), value)
}

// The answer to HEAD has a length and no body.
func TestAnswerToHead(t *testing.T) {
	is := is.New(t)
	a := newAnswers(t)
	segments := []string{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"}
	a.segments.Store(&segments)
	got, err := a.client.Handle(t.Context(), newCall(http.MethodHead, "/read"))
	is.NoErr(err)
	is.Equal(got.Status, http.StatusOK)
	is.Equal(len(got.Body), 0)
	is.Equal(got.Header.Get("Content-Length"), "6")
}

// An upstream that answers before it has read a large request, and reads no more of it, has
// answered.
func TestAnswerBeforeTheRequestIsRead(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	defer close(done)
	address := serveConnections(t, func(c net.Conn, r *bufio.Reader) {
		_, _ = r.ReadString('\n')
		_, _ = io.WriteString(c, run{413, "too large"}.text(""))
		<-done
	})
	u := &upstream.Client{Address: address, Clock: clock.System{}, MaxResponseBytes: 1 << 10}
	upload := newCall(http.MethodPut, "/upload")
	upload.Body = bytes.Repeat([]byte("x"), 16<<20)
	got, err := u.Handle(t.Context(), upload)
	is.NoErr(err)
	is.Equal(got.Status, http.StatusRequestEntityTooLarge)
}

// A call that is cancelled ends at once as one that may have run, and its connection is closed.
func TestCancelledCallMayHaveRun(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	closed := make(chan struct{})
	address := serveConnections(t, func(_ net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		cancel()
		_, _ = r.ReadByte()
		close(closed)
	})
	u := &upstream.Client{Address: address, Clock: clock.System{}, MaxResponseBytes: 1 << 10}
	_, err := u.Handle(ctx, newCall(http.MethodGet, "/read"))
	p, refused := err.(*problem.Error)
	is.True(refused)
	is.Equal(p.Kind, problem.KindDeadline)
	is.Equal(p.Execution, problem.ExecutionUnknown)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection was not closed")
	}
}

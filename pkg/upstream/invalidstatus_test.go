package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

// An upstream sends a response with a status that is none of HTTP, and the response to another
// call after it or nothing. Guards against a call that hangs until its time has passed, or passes
// such a response on.
func TestInvalidStatusEndsTheCall(t *testing.T) {
	const timeLimit = 2 * time.Second
	for _, status := range []string{"000", "007", "099", "600", "999", "+20", "-12", "abc", "1x0", "2x0", "20", "2000", "OK"} {
		for _, next := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"} {
			t.Run(fmt.Sprint(status, len(next)), func(t *testing.T) {
				is := is.New(t)
				closed := make(chan struct{})
				address := serveConnections(t, func(c net.Conn, r *bufio.Reader) {
					_, _ = http.ReadRequest(r)
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+" Text\r\nNot-Run: true\r\nContent-Length: 0\r\n\r\n"+next)
					_, _ = r.ReadByte()
					close(closed)
				})
				ctx, cancel := context.WithTimeout(t.Context(), timeLimit)
				defer cancel()
				u := &upstream.Client{Address: address, Clock: clock.System{}, MaxResponseBytes: 1 << 10}
				got, err := u.Handle(ctx, newCall(http.MethodGet, "/read"))
				is.Equal(got, nil)
				p, refused := err.(*problem.Error)
				is.True(refused)
				is.Equal(p.Kind, problem.KindUncertain)
				is.Equal(p.Execution, problem.ExecutionUnknown)
				is.NoErr(ctx.Err()) // the call ended before its time
				select {
				case <-closed:
				case <-time.After(timeLimit):
					t.Fatal("the connection was not closed")
				}
			})
		}
	}
}

package instance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance sends a response with a status that is none of HTTP, and the response to another
// call after it or nothing. Guards against a call that hangs until its time has passed, takes the
// other response for its own, or counts as not executed because of a header of the invalid response.
func TestInvalidStatusEndsTheCall(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999", "+20", "-12", "abc", "2x0", "20", "2000", "OK"} {
		for _, header := range []string{"", "Not-Run: true\r\n"} {
			for _, next := range []string{"", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nother"} {
				t.Run(fmt.Sprint(status, header, len(next)), func(t *testing.T) {
					is := is.New(t)
					closed := make(chan struct{})
					client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
						_ = readRequest(r)
						_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Text\r\nId: 1\r\n"+header+"Content-Length: 0\r\n\r\n"+next)
						_ = readRequest(r)
						close(closed)
					}))
					ctx, cancel := context.WithTimeout(t.Context(), noAnswerTimeout)
					defer cancel()
					_, err := client.Do(ctx, newCall("1"))
					var responseErr *ResponseError
					is.True(errors.As(err, &responseErr)) // the call may have run
					is.NoErr(ctx.Err())                   // it ended before its time
					select {
					case <-closed:
					case <-time.After(noAnswerTimeout):
						t.Fatal("the connection was not closed")
					}
				})
			}
		}
	}
}

// The lowest and the highest status of HTTP are responses, and an interim one precedes them.
func TestValidStatusIsReturned(t *testing.T) {
	for _, status := range []int{200, 599} {
		is := is.New(t)
		client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			_ = readRequest(r)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Text\r\n\r\nHTTP/1.1 %d Text\r\nId: 1\r\nContent-Length: 0\r\n\r\n", status)
			_ = readRequest(r)
		}))
		response, err := client.Do(t.Context(), newCall("1"))
		is.NoErr(err)
		is.Equal(response.Status, status)
	}
}

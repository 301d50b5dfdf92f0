package instance

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// noAnswerTimeout is the time of a call that the instance answers with bytes that are no answer.
const noAnswerTimeout = 2 * time.Second

// An instance sends bytes that are no answer and keeps the connection open. Guards against a call
// that waits, and holds its slot, until its time has passed.
func TestBytesThatAreNoAnswerEndTheCall(t *testing.T) {
	for _, text := range []string{
		"garbage\r\n", "\x16\x03\x01\x02\x00\n", "HTTP/1.1\r\n", "HTTP/1.1 OK\r\n", "HTTP/1.1 2000 OK\r\n", "\r\n",
		"HTTP/1.1 200 OK\r\nno colon\r\n", "HTTP/1.1 200 OK\r\nId: 1\r\nno colon\r\nName: v\r\n", "HTTP/1.1 200 OK\r\n folded first\r\n",
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				_ = readRequest(r)
				_, _ = io.WriteString(conn, text)
				_ = readRequest(r)
			}))
			ctx, cancel := context.WithTimeout(t.Context(), noAnswerTimeout)
			defer cancel()
			_, err := client.Do(ctx, newCall("1"))
			var responseErr *ResponseError
			is.True(errors.As(err, &responseErr))
			is.NoErr(ctx.Err()) // the call ended before its time
		})
	}
}

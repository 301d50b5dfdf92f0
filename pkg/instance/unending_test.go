package instance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// An instance sends bytes without end in a header or a body. Guards against a call that
// ends later than its time limit, and against memory that grows with what arrives: the
// connection must be closed.
func TestUnendingResponseIsCut(t *testing.T) {
	const (
		timeLimit = 400 * time.Millisecond
		// slack is how much more than the limits the buffers of the sockets may hold.
		slack = 8 << 20
	)
	line := "X: " + strings.Repeat("y", 1000) + "\r\n"
	for name, test := range map[string]struct {
		start, repeated string
		// pause is the time between the repeated parts.
		pause     time.Duration
		wantCause any
	}{
		"header":            {"HTTP/1.1 200 OK\r\n", line, 0, new(*HeaderTooLargeError)},
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("y", 1000), 0, new(*HeaderTooLargeError)},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n", 0, new(*TooManyInterimError)},
		"interim header":    {"HTTP/1.1 103 Early Hints\r\n", line, 0, new(*HeaderTooLargeError)},
		"slow header":       {"HTTP/1.1 200 OK\r\n", "X: y\r\n", 5 * time.Millisecond, nil},
		"body":              {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", line, 0, new(*ResponseTooLargeError)},
		"chunks":            {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(line), line), 0, new(*ResponseTooLargeError)},
		"declared length":   {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1000000000000\r\n\r\n", line, 0, new(*ResponseTooLargeError)},
		"slow body":         {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "y", 5 * time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sent := make(chan int, 1)
			client := newClient(newServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				total, _ := c.Write([]byte(test.start))
				for {
					n, err := c.Write([]byte(test.repeated))
					total += n
					if err != nil {
						sent <- total
						return
					}
					time.Sleep(test.pause)
				}
			}))
			ctx, cancel := context.WithTimeout(t.Context(), timeLimit)
			defer cancel()
			started := time.Now()
			_, err := client.Do(ctx, newCall("a"))
			is.True(time.Since(started) < 2*timeLimit)
			var responseErr *ResponseError
			is.True(errors.As(err, &responseErr))
			if test.wantCause != nil {
				is.True(errors.As(err, test.wantCause))
			}
			is.True(<-sent < int(client.MaxBodyBytes)+maxHeaderBytes+slack)
		})
	}
}

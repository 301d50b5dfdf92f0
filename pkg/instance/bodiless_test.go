package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The answer to HEAD, a 204 and a 304 have no body. An instance that sends one all the same, at
// once or late, does not shift the answers of its connection.
func TestBytesBehindAnAnswerWithoutABodyAreNoAnswer(t *testing.T) {
	nested := answerText(200, "2", "", "nested")
	for _, c := range []struct {
		method, head string
	}{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nId: 1\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\nId: 1\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: 1\r\n"},
	} {
		for _, body := range []string{"x", "some text", "\r\n", nested[:12], answerText(200, "1", "", "own")} {
			for _, pause := range []time.Duration{0, time.Millisecond, 5 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s %q %s", c.method, c.head[9:12]+body, pause), func(t *testing.T) {
					client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
						for id := readRequest(r); id != ""; id = readRequest(r) {
							if id != "1" {
								_, _ = io.WriteString(conn, answerText(500, id, "", "failed"))
								continue
							}
							head := c.head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
							if pause == 0 {
								head += body
							}
							_, _ = io.WriteString(conn, head)
							if pause > 0 {
								time.Sleep(pause)
								_, _ = io.WriteString(conn, body)
							}
						}
					}))
					first := idempotentCall("1")
					first.Method = c.method
					response, err := client.Do(t.Context(), first)
					is := is.New(t)
					is.NoErr(err)
					is.Equal(len(response.Body), 0)
					for _, id := range []string{"2", "3"} {
						response, err := client.Do(t.Context(), idempotentCall(id))
						if err == nil && (response.Status != 500 || string(response.Body) != "failed") {
							t.Errorf("call %s got %d %q", id, response.Status, response.Body)
						}
					}
				})
			}
		}
	}
}

package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// uploadBytes is the size of a request body that is written while the response is read.
const uploadBytes = 4 << 20

// answerDuringUpload does a call with the id 1 and then an upload with the id 2 on the same
// connection, of which the instance has read a part when it sends during. The answer 500 follows
// once it has read all.
func answerDuringUpload(t *testing.T, first, during string) (*Response, error) {
	t.Helper()
	client := newClient(newServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
		if readRequest(r) == "" || n > 1 {
			return
		}
		_, _ = io.WriteString(conn, first)
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, q.Body, uploadBytes/2)
		_, _ = io.WriteString(conn, during)
		time.Sleep(5 * time.Millisecond)
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(conn, answerText(500, "2", "", "failed"))
		_ = readRequest(r)
	}))
	_, _ = client.Do(t.Context(), newCall("1"))
	upload := newCall("2")
	upload.Method, upload.Body = http.MethodPost, []byte(strings.Repeat("u", uploadBytes))
	return client.Do(t.Context(), upload)
}

// The late copy of an earlier answer, or a piece of it, comes while a request body is being
// written. Guards against a success in place of a failure and "not run" of an upload that runs.
func TestCopyDuringAnUploadIsNotItsAnswer(t *testing.T) {
	for _, first := range []string{answerText(200, "1", "Name: value\r\n", "x"), answerText(503, "1", "Not-Run: 1\r\n", "")} {
		for size := 0; size <= len(first); size += 3 {
			t.Run(fmt.Sprint(first[9:12], " ", size), func(t *testing.T) {
				response, err := answerDuringUpload(t, first, first[:min(size, len(first))])
				own := runAnswer{runRecord: runRecord{status: 500, body: "failed"}}
				is := is.New(t)
				is.Equal(own.foreign(response, err), "")
				if size == 0 {
					is.NoErr(err)
				}
			})
		}
		response, err := answerDuringUpload(t, first, first)
		is := is.New(t)
		is.NoErr(err) // a whole copy is skipped
		is.Equal(response.Status, 500)
	}
}

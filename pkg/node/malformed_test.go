package node_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMalformedRequestsAreNotForwarded sends raw bytes to the address for callers. A
// malformed request must be refused and must not reach the upstream.
func TestMalformedRequestsAreNotForwarded(t *testing.T) {
	var forwarded atomic.Int64
	c := newCluster(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { forwarded.Add(1) }), "calendar")
	head := "POST /calendar/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + c.key + "\r\n"
	tests := []struct{ name, raw, status string }{
		{"two Content-Length headers", head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "400"},
		{"Content-Length with a sign", head + "Content-Length: +3\r\n\r\nabc", "400"},
		{"unknown transfer coding", head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "501"},
		{"space before the colon", head + "Content-Length : 3\r\n\r\nabc", "400"},
		{"body over the limit", head + "Content-Length: 99999999\r\n\r\n", "413"},
		{"headers over the limit", head + "X-Large: " + strings.Repeat("x", 128<<10) + "\r\n\r\n", "431"},
		{"request target in absolute form", strings.Replace(head, "/calendar/x", "http://other/calendar/x", 1) + "\r\n", "400"},
		{"two Authorization headers", head + "Authorization: Bearer other\r\n\r\n", "400"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", c.settings[0].CallersAddress)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = conn.Write([]byte(tt.raw))
			line, err := bufio.NewReader(conn).ReadString('\n')
			is.NoErr(err)
			is.Equal(strings.Fields(line)[1], tt.status)
			is.Equal(forwarded.Load(), int64(0))
		})
	}
}

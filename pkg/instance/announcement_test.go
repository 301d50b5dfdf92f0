package instance

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
)

// What an instance says of itself is taken from each response to the call, rejections
// included, and from no other.
func TestAnnouncements(t *testing.T) {
	for _, c := range []struct {
		name, status, header string
		announced            bool
		limited, leaving     bool
		rate                 float64
		invalid              bool
	}{
		{"nothing", "200 OK", "", true, false, false, 0, false},
		{"limit", "200 OK", "Limit: 12.5\r\n", true, true, false, 12.5, false},
		{"zero", "500 Failed", "Limit: 0\r\n", true, true, false, 0, false},
		{"rejection", "503 Full", "Not-Run: 1\r\nLimit: 3\r\nLeaving: 1\r\n", true, true, true, 3, false},
		{"not leaving", "200 OK", "Leaving: 0\r\n", true, false, false, 0, false},
		{"unreadable leaving", "200 OK", "Leaving: soon\r\n", true, false, false, 0, false},
		{"negative", "200 OK", "Limit: -1\r\n", true, false, false, 0, true},
		{"no number", "200 OK", "Limit: some\r\n", true, false, false, 0, true},
		{"not a number", "200 OK", "Limit: NaN\r\n", true, false, false, 0, true},
		{"another instance", "421 Misdirected", "Limit: 3\r\nLeaving: 1\r\n", false, false, false, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				id := readRequest(r)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", c.status, id, c.header)
			}))
			client.Headers.RateLimit, client.Headers.Leaving = "Limit", "Leaving"
			var got []Announcement
			client.OnAnnouncement = func(a Announcement) { got = append(got, a) }
			_, _ = client.Do(t.Context(), newCall("1"))
			is.Equal(len(got) == 1, c.announced)
			if !c.announced {
				return
			}
			a := got[0]
			is.Equal(a.Instance, "i-1")
			is.Equal(a.RequestID, "1")
			is.True(!a.Read.Before(a.Sent))
			is.Equal(a.Limited, c.limited)
			is.Equal(a.RateLimit, c.rate)
			is.Equal(a.Leaving, c.leaving)
			var invalid *InvalidRateLimitError
			is.Equal(errors.As(a.Err, &invalid), c.invalid)
		})
	}
}

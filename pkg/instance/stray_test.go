package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// A response to another request is reported with both ids, and so is one that ends its call.
func TestStrayResponsesAreReported(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			if id == "2" {
				writeResponse(c, "1", "again")
			}
			if id == "3" {
				writeResponse(c, "other", "")
				return
			}
			writeResponse(c, id, "abc")
		}
	}))
	var strays []Stray
	client.OnStray = func(s Stray) { strays = append(strays, s) }
	for _, id := range []string{"1", "2"} {
		_, err := client.Do(t.Context(), newCall(id))
		is.NoErr(err)
	}
	_, err := client.Do(t.Context(), newCall("3"))
	is.True(err != nil)
	is.Equal(strays, []Stray{
		{RequestID: "2", GotID: "1", Status: 200, Calls: 2, Skipped: true},
		{RequestID: "3", GotID: "other", Status: 200, Calls: 1, Skipped: false},
	})
}

// A response that goes on with another one is reported with the call that it ends.
func TestJoinedResponsesAreReported(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 "+answerText(500, readRequest(r), "", "failed"))
	}))
	var reported []string
	client.OnJoined = func(call *Call, err *JoinedResponsesError, calls int) {
		reported = append(reported, fmt.Sprint(call.RequestID, " ", err.Status[:3], " ", calls))
	}
	_, err := client.Do(t.Context(), newCall("1"))
	is.True(err != nil)
	is.Equal(reported, []string{"1 200 1"})
}

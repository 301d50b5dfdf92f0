package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

const (
	// readBufferBytes is the size of a read buffer of net/http.
	readBufferBytes = 4 << 10
	// segmentPause is the time between two writes that are to arrive apart.
	segmentPause = 2 * time.Millisecond
)

// run is the answer that an upstream has given to a call.
type run struct {
	status int
	body   string
}

// text returns the answer with its length and further header lines, which end with a line break
// each.
func (r run) text(header string) string {
	return fmt.Sprintf("HTTP/1.1 %d Text of %d\r\nX-Served-By: a\r\n%sContent-Length: %d\r\n\r\n%s", r.status, r.status, header, len(r.body), r.body)
}

// forms returns the answer in forms that HTTP has for it, by their names.
func (r run) forms() map[string]string {
	status := fmt.Sprintf("HTTP/1.1 %d Text of %d\r\n", r.status, r.status)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	chunks := fmt.Sprintf("1;ext=value\r\n%s\r\n%x;e=\"q\"\r\n%s\r\n0\r\nSum: value\r\n\r\n", r.body[:1], len(r.body)-1, r.body[1:])
	return map[string]string{
		"length":        r.text("Name: value\r\n"),
		"closing":       status + "Connection: close\r\n" + length + "\r\n" + r.body,
		"chunks":        status + "Transfer-Encoding: chunked\r\nName: value\r\n\r\n" + chunks,
		"until the end": status + "Name: value\r\n\r\n" + r.body,
		"interim":       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=b\r\n\r\n" + r.text(""),
		"folded":        status + "Name: a\r\n b\r\n" + length + "\r\n" + r.body,
		"no reason":     fmt.Sprintf("HTTP/1.1 %d\r\n", r.status) + length + "\r\n" + r.body,
		"older version": strings.Replace(status, "1.1", "1.0", 1) + length + "\r\n" + r.body,
	}
}

// foreign returns in what an outcome is not that of the run, or "".
func (r run) foreign(got *call.Response, err error) string {
	if err != nil {
		if p, isProblem := err.(*problem.Error); !isProblem || p.Execution != problem.ExecutionUnknown {
			return fmt.Sprintf("a call that ran counts as %v", err)
		}
		return ""
	}
	if got.Status != r.status || string(got.Body) != r.body {
		return fmt.Sprintf("%d with %d bytes %.60q in place of %d with %d bytes", got.Status, len(got.Body), got.Body, r.status, len(r.body))
	}
	return ""
}

// answers is an upstream that answers each call with segments, one write each.
type answers struct {
	client *upstream.Client
	// segments may be set before each call.
	segments atomic.Pointer[[]string]
	calls    atomic.Int32
}

func newAnswers(t *testing.T) *answers {
	t.Helper()
	a := new(answers)
	address := serveConnections(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		a.calls.Add(1)
		for i, segment := range *a.segments.Load() {
			if i > 0 {
				time.Sleep(segmentPause)
			}
			_, _ = io.WriteString(c, segment)
		}
	})
	a.client = &upstream.Client{Address: address, Clock: clock.System{}, MaxResponseBytes: 1 << 20}
	return a
}

// get calls the upstream, which answers with segments.
func (a *answers) get(t *testing.T, segments ...string) (*call.Response, error) {
	t.Helper()
	a.segments.Store(&segments)
	return a.client.Handle(t.Context(), newCall(http.MethodGet, "/read"))
}

// An upstream begins an answer, gives it up and sends another one. Guards against a success in
// place of a failure, and the reverse.
func TestPieceOfAnAnswerIsNotPartOfTheNext(t *testing.T) {
	a := newAnswers(t)
	for _, c := range []struct{ begun, own run }{
		{run{200, "begun"}, run{500, "own body"}},
		{run{500, "begun"}, run{200, "own body"}},
	} {
		for begunForm, begun := range c.begun.forms() {
			for ownForm, own := range c.own.forms() {
				for size := range strings.Index(begun, "\r\n\r\n") {
					got, err := a.get(t, begun[:size]+own)
					if problem := c.own.foreign(got, err); problem != "" {
						t.Fatalf("%s, %s after %q: %s", begunForm, ownForm, begun[:size], problem)
					}
					if size == 0 && err != nil {
						t.Fatalf("%s: %v", ownForm, err)
					}
				}
			}
		}
	}
}

// An answer breaks off in its body and is sent again whole: its length is filled up with the
// second one, of which the rest is there, or is not yet.
func TestBodyThatBreaksOffIsNotFilledUp(t *testing.T) {
	a := newAnswers(t)
	r := run{200, strings.Repeat("whole body ", 20)}
	own := r.text("Date: Sun\r\n")
	headOfOwn := len(own) - len(r.body)
	for missing := 1; missing < len(r.body); missing++ {
		got, err := a.get(t, own[:len(own)-missing]+own)
		if problem := r.foreign(got, err); problem != "" {
			t.Fatalf("%d bytes missing: %s", missing, problem)
		}
		// Less than a line of the second answer is no sign of it.
		if missing < strings.Index(own, "\n")+len("X-Served-By: ") || missing > headOfOwn+len("whole") {
			continue
		}
		got, err = a.get(t, own[:len(own)-missing], own[:missing], own[missing:])
		if problem := r.foreign(got, err); problem != "" {
			t.Fatalf("%d bytes missing, in segments: %s", missing, problem)
		}
	}
}

// A large body breaks off and the answer is sent again at once.
func TestLargeBodyThatBreaksOffIsNotFilledUp(t *testing.T) {
	a := newAnswers(t)
	r := run{200, strings.Repeat("whole body ", 6000)}
	own := r.text("")
	for _, missing := range []int{readBufferBytes, 2*readBufferBytes + 1, len(r.body) / 2, len(r.body)} {
		// The second one has no header value in common with the first.
		other := fmt.Sprintf("HTTP/1.1 500 No\r\nContent-Length: %d\r\n\r\n%s", len(r.body), r.body)
		for _, second := range []string{own, other} {
			got, err := a.get(t, own[:len(own)-missing]+second)
			if problem := r.foreign(got, err); problem != "" {
				t.Errorf("%d bytes missing: %s", missing, problem)
			}
		}
	}
}

// A body that is filled up with another answer ends where a read buffer does, and the rest is not
// in the buffer.
func TestBodyThatEndsWithABufferIsNotFilledUp(t *testing.T) {
	a := newAnswers(t)
	const interim, second = "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno"
	r := run{200, "sixteen bytes  ."}
	size := len(r.text("")) + len("Name: \r\n")
	own := r.text("Name: " + strings.Repeat("v", readBufferBytes-size) + "\r\n")
	got, err := a.get(t, interim+own[:len(own)-len(r.body)]+second)
	if problem := r.foreign(got, err); problem != "" {
		t.Error(problem)
	}
}

// An answer without a length is followed by a second one before the connection ends.
func TestBodyWithoutLengthIsNotFollowedByAnotherAnswer(t *testing.T) {
	a := newAnswers(t)
	r := run{200, "own body"}
	own := "HTTP/1.1 200 OK\r\nX-Served-By: a\r\n\r\n" + r.body
	for _, second := range []string{own, run{504, "late"}.text(""), "HTTP/1.1 504 Gateway Timeout\r\nDate: Sun"} {
		for _, segments := range [][]string{{own + second}, {own, second}} {
			got, err := a.get(t, segments...)
			if problem := r.foreign(got, err); problem != "" {
				t.Errorf("followed by %q in %d segments: %s", second, len(segments), problem)
			}
		}
	}
}

// An action whose answer was begun and replaced may have run, and is sent once.
func TestActionWithReplacedAnswerMayHaveRun(t *testing.T) {
	is := is.New(t)
	a := newAnswers(t)
	segments := []string{"HTTP/1.1 200 ", run{500, "own body"}.text("")}
	a.segments.Store(&segments)
	action := newCall(http.MethodPost, "/action")
	action.Route, action.IdempotencyKey = &ticket.Route{}, "k1"
	_, err := a.client.Handle(t.Context(), action)
	p, refused := err.(*problem.Error)
	is.True(refused)
	is.Equal(p.Execution, problem.ExecutionUnknown)
	is.Equal(a.calls.Load(), int32(1)) // runs of the action
}

// A whole answer whose body or header quotes answers is passed on. Guards against a success that
// is taken for two answers.
func TestBodyThatQuotesAnAnswerIsWhole(t *testing.T) {
	a := newAnswers(t)
	for _, quoted := range []string{
		`{"upstream":"HTTP/1.1 503 Service Unavailable"}`, "HTTP/1.1 503 Service Unavailable", "HTTP/1.1 200 OK\nno header",
		"log: HTTP/1.1 200 OK\r\nId: other\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"<pre>HTTP/1.1 200 OK\nServer: desk\n</pre>", "HTTP/1.1 200 OK\r\nServer: desk\r\nand so on", "HTTP/1.1 200 OK\nsee section 4: headers",
	} {
		r := run{200, quoted}
		chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(quoted), quoted)
		for _, answer := range []string{
			r.text(""), "HTTP/1.1 200 OK\r\nX-Served-By: a\r\n\r\n" + quoted, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks,
			r.text("Via: HTTP/1.1 200 OK\r\n"),
		} {
			is := is.New(t)
			got, err := a.get(t, answer)
			is.NoErr(err)
			is.Equal(string(got.Body), quoted)
		}
	}
	// A quote of a whole answer of the upstream's own.
	is := is.New(t)
	r := run{200, "log: " + run{504, "late"}.text("")}
	got, err := a.get(t, r.text(""))
	is.NoErr(err)
	is.Equal(r.foreign(got, err), "")
}

// A body that is too large is refused as such, also if it quotes an answer. Guards against a call
// that ran and counts as one that may have, as the rest of its body is not read.
func TestLargeBodyThatQuotesAnAnswerIsTooLarge(t *testing.T) {
	is := is.New(t)
	a := newAnswers(t)
	a.client.MaxResponseBytes = 1 << 10
	_, err := a.get(t, run{200, "log: HTTP/1.1 503 Service Unavailable" + strings.Repeat(" and so on", 1000)}.text(""))
	p, refused := err.(*problem.Error)
	is.True(refused)
	is.Equal(p.Kind, problem.KindTooLarge)
	is.Equal(p.Execution, problem.Executed)
}

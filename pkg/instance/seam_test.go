package instance

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// scriptedConn is a connection on which each write is followed by the next script.
type scriptedConn struct {
	net.Conn
	scripts []string
	unread  bytes.Buffer
}

func (s *scriptedConn) Write(b []byte) (int, error) {
	if len(s.scripts) > 0 {
		s.unread.WriteString(s.scripts[0])
		s.scripts = s.scripts[1:]
	}
	return len(b), nil
}

func (s *scriptedConn) Read(b []byte) (int, error) { return s.unread.Read(b) }

func (s *scriptedConn) Close() error { return nil }

// runAnswer is the answer that an instance gave to a run of a call.
type runAnswer struct {
	form, text string
	runRecord
	method string
}

// answerBehind does a call with the id 1, which gets first, and then one with the id 2, whose
// answer comes behind stray on the same connection.
func answerBehind(t *testing.T, first, stray string, own runAnswer) (*Response, error) {
	t.Helper()
	client := newClient("")
	connections := []*scriptedConn{{scripts: []string{first, stray + own.text}}}
	client.Dial = func(context.Context, string) (net.Conn, error) {
		if len(connections) == 0 {
			t.Fatal("the second call got another connection")
		}
		c := connections[0]
		connections = nil
		return c, nil
	}
	call := newCall("1")
	call.Idempotent = true
	_, _ = client.Do(t.Context(), call)
	call = newCall("2")
	call.Idempotent = true
	if own.method != "" {
		call.Method = own.method
	}
	return client.Do(t.Context(), call)
}

// foreign returns in what an outcome is not that of the run, or "".
func (own *runAnswer) foreign(response *Response, err error) string {
	var rejected *RejectedError
	var unsent *NotSentError
	switch {
	case errors.As(err, &unsent):
		return "a call that was sent counts as not sent"
	case errors.As(err, &rejected) && !own.notRun:
		return "a call that ran counts as not run"
	case err == nil && (response.Status != own.status || string(response.Body) != own.body):
		return fmt.Sprintf("%d %q in place of %d %q", response.Status, response.Body, own.status, own.body)
	}
	return ""
}

// answerForms returns an answer in all forms that HTTP has for it.
func answerForms(id string, run runRecord) []runAnswer {
	status := fmt.Sprintf("HTTP/1.1 %d Text of %d\r\n", run.status, run.status)
	idLine := "Id: " + id + "\r\n"
	mark := ""
	if run.notRun {
		mark = "Not-Run: 1\r\n"
	}
	length := fmt.Sprintf("Content-Length: %d\r\n", len(run.body))
	chunks := fmt.Sprintf("1;ext=value\r\n%s\r\n%x;e=\"q\"\r\n%s\r\n0\r\nSum: value\r\n\r\n", run.body[:1], len(run.body)-1, run.body[1:])
	interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>; rel=b\r\n\r\n"
	texts := map[string]string{
		"length":            status + mark + "Name: value\r\n" + idLine + length + "\r\n" + run.body,
		"length first":      status + length + mark + idLine + "\r\n" + run.body,
		"connection first":  status + mark + "Connection: keep-alive\r\n" + idLine + length + "\r\n" + run.body,
		"closing":           status + mark + "Connection: close\r\n" + idLine + length + "\r\n" + run.body,
		"chunks":            status + "Transfer-Encoding: chunked\r\n" + mark + idLine + "\r\n" + chunks,
		"announced trailer": status + mark + "Trailer: Sum\r\n" + idLine + "Transfer-Encoding: chunked\r\n\r\n" + chunks,
		"until the end":     status + mark + idLine + "\r\n" + run.body,
		"interim":           interim + status + mark + idLine + length + "\r\n" + run.body,
		"folded":            status + mark + "Name: a\r\n b\r\n" + idLine + length + "\r\n" + run.body,
		"no reason":         fmt.Sprintf("HTTP/1.1 %d\r\n", run.status) + mark + idLine + length + "\r\n" + run.body,
		"colon":             fmt.Sprintf("HTTP/1.1 %d Text: of\r\n", run.status) + mark + idLine + length + "\r\n" + run.body,
		"older version":     strings.Replace(status, "1.1", "1.0", 1) + mark + "Connection: keep-alive\r\n" + idLine + length + "\r\n" + run.body,
	}
	var forms []runAnswer
	for form, text := range texts {
		forms = append(forms, runAnswer{form: form, text: text, runRecord: run})
	}
	return forms
}

// Each piece of each form of an earlier answer comes in front of each form of the call's own.
// Guards against a status, a body or "not run" that is not that of the run.
func TestNoPieceOfAnyAnswerIsPartOfAnother(t *testing.T) {
	first := answerText(200, "1", "", "x")
	for _, c := range []struct{ earlier, own runRecord }{
		{runRecord{status: 200, body: "first body"}, runRecord{status: 500, body: "second"}},
		{runRecord{status: 503, body: "first body", notRun: true}, runRecord{status: 200, body: "second"}},
		{runRecord{status: 200, body: "first body"}, runRecord{status: 503, body: "second", notRun: true}},
	} {
		for _, earlier := range answerForms("1", c.earlier) {
			for _, own := range answerForms("2", c.own) {
				for size := range len(earlier.text) + 1 {
					response, err := answerBehind(t, first, earlier.text[:size], own)
					if problem := own.foreign(response, err); problem != "" {
						t.Fatalf("%s, %s after %q: %s", earlier.form, own.form, earlier.text[:size], problem)
					}
					if size == 0 && err != nil && !own.notRun {
						t.Fatalf("%s: %v", own.form, err)
					}
				}
			}
		}
	}
}

// Pieces whose seam net/http would hide, as it takes fields out of the header that it parses.
func TestSeamInFieldThatIsTakenOutOfTheHeader(t *testing.T) {
	first := answerText(200, "1", "", "x")
	nested := answerText(200, "2", "", "nested")
	nestedOwn := runAnswer{text: answerText(500, "2", "", nested), runRecord: runRecord{status: 500, body: nested}}
	failure := func(headers, body string) runAnswer {
		return runAnswer{text: "HTTP/1.1 500 X\r\nId: 2\r\n" + headers + "\r\n" + body, runRecord: runRecord{status: 500, body: "second"}}
	}
	headOfOwn := strings.Index(nestedOwn.text, nested)
	cases := []struct {
		name, stray string
		own         runAnswer
	}{
		{"connection", "HTTP/1.1 200 OK\r\nConnection: keep-alive", failure("Connection: close\r\nContent-Length: 6\r\n", "second")},
		{"trailer", "HTTP/1.1 200 OK\r\nTrailer: S", failure("Transfer-Encoding: chunked\r\n", "6\r\nsecond\r\n0\r\n\r\n")},
		{"transfer encoding", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked", failure("Content-Length: 6\r\n", "second")},
		{"body of a copy", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: %d\r\n\r\n", headOfOwn), nestedOwn},
		{"extension of the last chunk of a copy", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0;key=v", nestedOwn},
		{"trailer of a copy", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\nName: v", nestedOwn},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response, err := answerBehind(t, first, c.stray, c.own)
			is.New(t).Equal(c.own.foreign(response, err), "")
		})
	}
}

// The copy of an answer to GET in front of the answer to HEAD: the body of the copy is not an
// answer.
func TestBodyOfACopyIsNotTheAnswerToHead(t *testing.T) {
	first := answerText(200, "1", "", answerText(200, "2", "", ""))
	own := runAnswer{text: "HTTP/1.1 500 X\r\nId: 2\r\nContent-Length: 6\r\n\r\n", runRecord: runRecord{status: 500}, method: http.MethodHead}
	response, err := answerBehind(t, first, first, own)
	is.New(t).Equal(own.foreign(response, err), "")
}

// An answer breaks off in its body and is sent again whole: its length is filled up with the
// second one.
func TestBodyThatBreaksOffIsNotFilledUp(t *testing.T) {
	own := answerText(200, "2", "", strings.Repeat("whole body ", 20))
	run := runAnswer{runRecord: runRecord{status: 200, body: strings.Repeat("whole body ", 20)}}
	for missing := 1; missing < 220; missing++ {
		run.text = own[:len(own)-missing] + own
		response, err := answerBehind(t, answerText(200, "1", "", "x"), "", run)
		if problem := run.foreign(response, err); problem != "" {
			t.Fatalf("%d bytes missing: %s", missing, problem)
		}
	}
}

// An instance that quotes a status line in a header answers each call: on a connection that has
// carried no other call there is nothing that it could be a seam of.
func TestQuotedStatusLineIsNoSeamOnANewConnection(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			_, _ = io.WriteString(conn, answerText(200, id, "Via: HTTP/1.1 200 OK\r\n", "x"))
		}
	}))
	for i := range 3 {
		response, err := client.Do(t.Context(), newCall(fmt.Sprint(i)))
		is.NoErr(err)
		is.Equal(response.Status, 200)
	}
}

// A head that exceeds the read buffer is searched whole, and what follows it is kept.
func TestLargeHead(t *testing.T) {
	is := is.New(t)
	large := "Name: " + strings.Repeat("v", 3*readBufferBytes) + "\r\n"
	own := runAnswer{text: answerText(500, "2", large, "second"), runRecord: runRecord{status: 500, body: "second"}}
	first := answerText(200, "1", "", "x")
	response, err := answerBehind(t, first, first, own)
	is.NoErr(err)
	is.Equal(own.foreign(response, err), "")
	joined := "HTTP/1.1 200 OK\r\n" + large + "Connection: keep-alive"
	_, err = answerBehind(t, first, joined, own)
	var joinedErr *JoinedResponsesError
	is.True(errors.As(err, &joinedErr))
}

// A call without an id, such as a health check, goes over a new connection: its answer could
// not be told from a late one there. Nor does one without an id announce anything.
func TestCallWithoutIDGetsANewConnection(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
			if id := q.Header.Get("Id"); id != "" {
				writeResponse(conn, id, "x")
				continue
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}))
	opened := 0
	client.OnConnect = func() { opened++ }
	for _, id := range []string{"1", "", ""} {
		call := newCall(id)
		if id == "" {
			call.Headers = nil
		}
		_, err := client.Do(t.Context(), call)
		is.NoErr(err)
	}
	is.Equal(opened, 3)
}

// A connection carries maxCallsPerConn calls, so that the ids that it keeps are bounded.
func TestCallsOfAConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		for id := readRequest(r); id != ""; id = readRequest(r) {
			writeResponse(conn, id, "x")
		}
	}))
	opened := 0
	client.OnConnect = func() { opened++ }
	for i := range maxCallsPerConn + 1 {
		_, err := client.Do(t.Context(), newCall(fmt.Sprint(i)))
		is.NoErr(err)
	}
	is.Equal(opened, 2)
}

package instance

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// segmentConn is a connection on which each write is followed by the segments of one answer. A
// read returns one segment at most. The connection ends after the last.
type segmentConn struct {
	net.Conn
	answers [][]string
	unread  [][]byte
}

func (s *segmentConn) Write(b []byte) (int, error) {
	if len(s.answers) > 0 {
		for _, segment := range s.answers[0] {
			s.unread = append(s.unread, []byte(segment))
		}
		s.answers = s.answers[1:]
	}
	return len(b), nil
}

func (s *segmentConn) Read(b []byte) (int, error) {
	for len(s.unread) > 0 && len(s.unread[0]) == 0 {
		s.unread = s.unread[1:]
	}
	if len(s.unread) == 0 {
		return 0, io.EOF
	}
	n := copy(b, s.unread[0])
	s.unread[0] = s.unread[0][n:]
	return n, nil
}

func (s *segmentConn) Close() error { return nil }

// segmentsBehind does a call with the id 2 whose answer arrives in segments. If isReused is set,
// the connection has carried a call with the id 1.
func segmentsBehind(t *testing.T, isReused bool, segments ...string) (*Response, error) {
	t.Helper()
	conn := &segmentConn{answers: [][]string{segments}}
	client := newClient("")
	client.Dial = func(context.Context, string) (net.Conn, error) { return conn, nil }
	if isReused {
		conn.answers = [][]string{{answerText(200, "1", "", "x")}, segments}
		_, err := client.Do(t.Context(), idempotentCall("1"))
		is.New(t).NoErr(err)
	}
	return client.Do(t.Context(), idempotentCall("2"))
}

func idempotentCall(id string) *Call {
	call := newCall(id)
	call.Idempotent = true
	return call
}

// An answer breaks off in its body and is sent again whole. Its length is filled up with the
// second one, of which the rest is not read yet.
func TestBodyIsNotFilledUpByAnAnswerThatArrivesInSegments(t *testing.T) {
	run := runAnswer{runRecord: runRecord{status: 200, body: strings.Repeat("whole body ", 20)}}
	own := answerText(200, "2", "Date: Sun\r\n", run.body)
	headOfOwn := len(own) - len(run.body)
	// Less than a line of the second answer is no sign of it.
	for missing := strings.Index(own, "\n") + len("Date: "); missing < headOfOwn; missing++ {
		for _, isReused := range []bool{false, true} {
			response, err := segmentsBehind(t, isReused, own[:len(own)-missing], own[:missing], own[missing:])
			if problem := run.foreign(response, err); problem != "" {
				t.Fatalf("%d bytes missing, reused %v: %s", missing, isReused, problem)
			}
		}
	}
}

// A large body breaks off and the answer is sent again at once: what is missing is read from
// the connection without the bytes behind it.
func TestLargeBodyThatBreaksOffIsNotFilledUp(t *testing.T) {
	body := strings.Repeat("whole body ", 6000)
	for _, missing := range []int{readBufferBytes, 2*readBufferBytes + 1, len(body) / 2, len(body)} {
		run := runAnswer{runRecord: runRecord{status: 200, body: body}}
		client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			own := answerText(200, readRequest(r), "", body)
			_, _ = io.WriteString(conn, own[:len(own)-missing]+own)
			_ = readRequest(r)
		}))
		response, err := client.Do(t.Context(), newCall("1"))
		if problem := run.foreign(response, err); problem != "" {
			t.Errorf("%d bytes missing: got a body that is not the call's own", missing)
		}
	}
}

// A late copy is sent while the body of the call's own answer is: its length counts both, and the
// rest is not read yet.
func TestCopyWithinABodyIsNotPartOfIt(t *testing.T) {
	run := runAnswer{runRecord: runRecord{status: 200, body: strings.Repeat("whole body ", 20)}}
	own := answerText(200, "2", "", run.body)
	headOfOwn, late := len(own)-len(run.body), answerText(200, "1", "", "x")
	for at := headOfOwn; at < len(own)-len(late); at++ {
		response, err := segmentsBehind(t, true, own[:at], late, own[at:len(own)-len(late)], own[len(own)-len(late):])
		if problem := run.foreign(response, err); problem != "" {
			t.Fatalf("after %d bytes of the body: %s", at-headOfOwn, problem)
		}
	}
}

// An answer without a length is followed by a second one before the connection ends.
func TestBodyWithoutLengthIsNotFollowedByAnotherAnswer(t *testing.T) {
	run := runAnswer{runRecord: runRecord{status: 200, body: "own body"}}
	own := "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n" + run.body
	for _, second := range []string{own, answerText(504, "2", "", "late"), answerText(200, "1", "", "x"), "HTTP/1.1 504 Gateway Timeout\r\nDate: Sun"} {
		for _, isReused := range []bool{false, true} {
			if !isReused && strings.Contains(second, "Id: 1") {
				continue
			}
			response, err := segmentsBehind(t, isReused, own, second)
			if problem := run.foreign(response, err); problem != "" {
				t.Errorf("followed by %q, reused %v: %s", second, isReused, problem)
			}
		}
	}
}

// An own, whole answer whose body quotes answers to others is passed on. Guards against a
// success that is taken for two answers.
func TestBodyThatQuotesAnAnswerIsWhole(t *testing.T) {
	for _, quoted := range []string{
		`{"upstream":"HTTP/1.1 503 Service Unavailable"}`, "HTTP/1.1 503 Service Unavailable", "HTTP/1.1 200 OK\nno header",
		"log: HTTP/1.1 200 OK\r\nId: other\r\n\r\nbody", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"<pre>HTTP/1.1 200 OK\nServer: desk\n</pre>", "HTTP/1.1 200 OK\r\nServer: desk\r\nand so on", "HTTP/1.1 200 OK\nsee section 4: headers",
	} {
		for _, answer := range []string{answerText(200, "2", "", quoted), "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n" + quoted} {
			is := is.New(t)
			response, err := segmentsBehind(t, true, answer)
			is.NoErr(err)
			is.Equal(string(response.Body), quoted)
		}
	}
}

// An instance begins an answer of HTTP/1.0, which has no chunks, and sends one in chunks. Guards
// against a body that contains the chunks as they are sent.
func TestBeginOfAnOlderVersionIsNotPartOfTheNextOnANewConnection(t *testing.T) {
	run := runRecord{status: 200, body: "own body"}
	for _, own := range answerForms("2", run) {
		response, err := segmentsBehind(t, false, "HTTP/1.0 200 OK\r\nName: "+own.text)
		is.New(t).Equal(own.foreign(response, err), "")
	}
}

// An instance begins an answer, gives it up and sends another one on a new connection. Guards
// against a success in place of a failure, and "not run" of a call that ran.
func TestPieceOfAnAnswerIsNotPartOfTheNextOnANewConnection(t *testing.T) {
	for _, c := range []struct{ begun, own runRecord }{
		{runRecord{status: 200, body: "begun"}, runRecord{status: 500, body: "own"}},
		{runRecord{status: 503, body: "begun", notRun: true}, runRecord{status: 200, body: "own"}},
		{runRecord{status: 500, body: "begun"}, runRecord{status: 200, body: "own"}},
		{runRecord{status: 503, body: "begun", notRun: true}, runRecord{status: 503, body: "own"}},
	} {
		for _, begun := range answerForms("2", c.begun) {
			for _, own := range answerForms("2", c.own) {
				for size := range strings.Index(begun.text, "\r\n\r\n") {
					response, err := segmentsBehind(t, false, begun.text[:size]+own.text)
					if problem := own.foreign(response, err); problem != "" {
						t.Fatalf("%s, %s after %q: %s", begun.form, own.form, begun.text[:size], problem)
					}
				}
			}
		}
	}
}

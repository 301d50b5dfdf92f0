package instance

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

const (
	stutterExchanges = 10_000
	stutterCallers   = 20
)

// answerText returns a response with further header lines, which end with a line break each.
func answerText(status int, id, headers, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d Text of %d\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, status, id, headers, len(body), body)
}

// Guards against a success in place of a failure: an id is sent again on a kept connection, and
// the late copy of its first answer comes in front of its second.
func TestLateCopyIsNotTheAnswerToTheSameIDSentAgain(t *testing.T) {
	cases := []struct{ name, first, second, wantBody string }{
		{"success, then failure", answerText(200, "1", "", "first"), answerText(500, "1", "", "second"), "second"},
		{"not run, then run", answerText(503, "1", "Not-Run: 1\r\n", ""), answerText(200, "1", "", "second"), "second"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			answered := map[net.Conn]string{}
			runs := 0
			client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for id := readRequest(r); id != ""; id = readRequest(r) {
					mu.Lock()
					runs++
					answer := c.first
					if runs > 1 {
						answer = c.second
					}
					late := answered[conn]
					answered[conn] = answer
					mu.Unlock()
					_, _ = conn.Write([]byte(late + answer))
				}
			}))
			var repeated []string
			client.OnRepeatedID = func(id string) { repeated = append(repeated, id) }
			_, _ = client.Do(t.Context(), newCall("1"))
			response, err := client.Do(t.Context(), newCall("1"))
			is.Equal(repeated, []string{"1"})
			var rejected *RejectedError
			is.True(!errors.As(err, &rejected)) // the second ran
			if err == nil {
				is.Equal(string(response.Body), c.wantBody)
			}
		})
	}
}

// Guards against a success in place of a failure, and "not run" of a call that ran: a second
// answer breaks off at any byte, and the answer to the next call follows on the connection.
func TestPieceOfAnotherAnswerIsNotPartOfTheAnswer(t *testing.T) {
	cases := []struct {
		name string
		// earlier is the answer of which a piece comes again.
		earlier  string
		status   int
		wantBody string
	}{
		{"success, then failure", answerText(200, "1", "Name: value\r\n", "first"), 500, "second"},
		{"not run, then success", answerText(503, "1", "Not-Run: 1\r\nName: value\r\n", ""), 200, "second"},
		{"not run without id, then success", strings.Replace(answerText(503, "1", "Not-Run: 1\r\n", ""), "Id: 1\r\n", "", 1), 200, "second"},
		{"success in chunks, then failure", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;key=value\r\nfirst\r\n0\r\nName: value\r\n\r\n", 500, "second"},
		{"interim, then failure", "HTTP/1.1 103 Early Hints\r\nName: value\r\n\r\n" + answerText(200, "1", "", "first"), 500, "second"},
		{"failure, then success", answerText(500, "1", "Name: value\r\n", "first"), 200, "second"},
		{"success, then failure with a response as its body", answerText(200, "1", "Name: value\r\n", "first"), 500, answerText(200, "2", "", "nested")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for size := range len(c.earlier) + 1 {
				is := is.New(t)
				own := answerText(c.status, "2", "", c.wantBody)
				client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
					_ = readRequest(r)
					_, _ = conn.Write([]byte(c.earlier))
					_ = readRequest(r)
					_, _ = conn.Write([]byte(c.earlier[:size] + own))
				}))
				_, _ = client.Do(t.Context(), newCall("1"))
				response, err := client.Do(t.Context(), newCall("2"))
				var rejected *RejectedError
				if errors.As(err, &rejected) {
					t.Fatalf("a call that ran counts as not run after %q", c.earlier[:size])
				}
				if err == nil && response.Status != c.status {
					t.Fatalf("status %d in place of %d after %q", response.Status, c.status, c.earlier[:size])
				}
				if err == nil {
					is.Equal(string(response.Body), c.wantBody)
				}
				// Without a piece the call is answered, and behind a whole answer with an id, too.
				isWhole := size == len(c.earlier) && strings.Contains(c.earlier, "Id: 1")
				if size == 0 || isWhole {
					is.NoErr(err)
				}
			}
		})
	}
}

// An answer without an id may be the call's own, so that what follows it is none.
func TestAnswerAfterOneWithoutIDIsNotTaken(t *testing.T) {
	is := is.New(t)
	client := newClient(newServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
		writeResponse(conn, readRequest(r), "first")
		id := readRequest(r)
		own := strings.Replace(answerText(500, id, "", "own"), "Id: "+id+"\r\n", "", 1)
		_, _ = conn.Write([]byte(own + answerText(200, id, "", "another")))
	}))
	_, err := client.Do(t.Context(), newCall("1"))
	is.NoErr(err)
	_, err = client.Do(t.Context(), newCall("2"))
	var mismatch *RequestIDMismatchError
	is.True(errors.As(err, &mismatch))
	is.Equal(*mismatch, RequestIDMismatchError{})
}

// runRecord is what a stutteringServer has done with one call.
type runRecord struct {
	status int
	body   string
	notRun bool
}

// stutteringServer answers each call with a status of its own. It sends some answers, or a
// piece of them, again in front of the next one on their connection.
type stutteringServer struct {
	mu     sync.Mutex
	random *rand.Rand
	// runs holds what was done with each call, by its number in the header Call.
	runs map[string]runRecord
}

// next draws the answer to a call and records it.
func (s *stutteringServer) next(id, call string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := []int{200, 200, 500, 504, 503}[s.random.IntN(5)]
	record := runRecord{status: status, body: "call " + call + " with " + id, notRun: status == 503}
	s.runs[call] = record
	headers := ""
	if record.notRun {
		headers = "Not-Run: 1\r\n"
	}
	return answerText(status, id, headers, record.body)
}

// repeat returns what is sent again of the earlier answer on a connection.
func (s *stutteringServer) repeat(earlier string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.random.IntN(4) {
	case 0:
		return earlier
	case 1:
		return earlier[:s.random.IntN(len(earlier)+1)]
	}
	return ""
}

func (s *stutteringServer) serve(_ int, c net.Conn, r *bufio.Reader) {
	earlier := ""
	for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
		answer := s.next(q.Header.Get("Id"), q.Header.Get("Call"))
		_, _ = c.Write([]byte(s.repeat(earlier) + answer))
		earlier = answer
	}
}

// check reports an outcome that is not that of the call.
func (s *stutteringServer) check(t *testing.T, call string, response *Response, err error) {
	s.mu.Lock()
	run, ran := s.runs[call]
	s.mu.Unlock()
	var rejected *RejectedError
	switch {
	case errors.As(err, &rejected) && !run.notRun:
		t.Errorf("call %s ran (status %d) and counts as not run", call, run.status)
	case err == nil && (!ran || response.Status != run.status || string(response.Body) != run.body):
		t.Errorf("call %s got %d %q, not %d %q", call, response.Status, response.Body, run.status, run.body)
	}
}

// Callers send each id three times to an instance that answers twice, at times with a piece
// only. Guards against the answer of another run, a success in place of a failure, and "not
// run" of a call that ran.
func TestStutteringInstance(t *testing.T) {
	is := is.New(t)
	server := &stutteringServer{random: rand.New(rand.NewPCG(36, 1)), runs: map[string]runRecord{}}
	client := newClient(newServer(t, server.serve))
	var group sync.WaitGroup
	var answered atomic.Int64
	for caller := range stutterCallers {
		group.Go(func() {
			for i := range stutterExchanges / stutterCallers {
				number := fmt.Sprintf("%d-%d", caller, i)
				call := newCall(fmt.Sprintf("%d-%d", caller, i/3))
				call.Headers = append(call.Headers, "Call", number)
				ctx, cancel := context.WithTimeout(t.Context(), unrulyTimeout)
				response, err := client.Do(ctx, call)
				cancel()
				server.check(t, number, response, err)
				if err == nil {
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	is.True(answered.Load() > stutterExchanges/2)
}

package instance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	replacedExchanges = 4000
	// largeBodyRepeats is how often the text of a large body is repeated.
	largeBodyRepeats = 1000
	// segmentPause is the time between two writes that are to arrive apart.
	segmentPause = 500 * time.Microsecond
)

// replacingServer begins answers and gives them up, also as the first of a connection: it sends
// another one in their place, behind their body or within it.
type replacingServer struct{ stutteringServer }

func (s *replacingServer) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// next draws the answer to a call, with a large body at times, and records it.
func (s *replacingServer) next(id, call string) string {
	size, status := []int{1, largeBodyRepeats}[s.draw(2)], []int{200, 200, 500, 504, 503}[s.draw(5)]
	body := strings.Repeat("call "+call+" with "+id+";", size)
	record := runRecord{status: status, body: body, notRun: status == http.StatusServiceUnavailable}
	s.mu.Lock()
	s.runs[call] = record
	s.mu.Unlock()
	headers := "Name: value\r\n"
	if record.notRun {
		headers += "Not-Run: 1\r\n"
	}
	return answerText(status, id, headers, record.body)
}

// begun returns a piece of the head of an answer to a call that is given up.
func (s *replacingServer) begun(id string) string {
	text := answerText([]int{200, 500, 503}[s.draw(3)], id, "Not-Run: 1\r\nName: value\r\n", "")
	return text[:s.draw(len(text)-len("\r\n"))]
}

// segments returns what the server writes in answer to a call, one write each, and whether it
// closes the connection then.
func (s *replacingServer) segments(id, earlier, own string) (list []string, closes bool) {
	head := strings.Index(own, "\r\n\r\n") + len("\r\n\r\n")
	at := head + s.draw(len(own)-head)
	switch s.draw(8) {
	case 0:
		return []string{s.begun(id) + own}, false
	case 1:
		return []string{s.begun(id), own}, false
	case 2:
		return []string{own[:at] + own}, false
	case 3:
		return []string{own[:at], own}, false
	case 4:
		return []string{own[:at], earlier, own[at:]}, false
	case 5:
		withoutLength := own[:strings.Index(own, "Content-Length")] + own[head-len("\r\n"):]
		return []string{withoutLength, []string{own, earlier}[s.draw(2)]}, true
	}
	return []string{own}, false
}

func (s *replacingServer) serve(_ int, c net.Conn, r *bufio.Reader) {
	earlier := ""
	for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
		id := q.Header.Get("Id")
		own := s.next(id, q.Header.Get("Call"))
		segments, closes := s.segments(id, earlier, own)
		for _, segment := range segments {
			_, _ = io.WriteString(c, segment)
			time.Sleep(segmentPause)
		}
		if closes {
			return
		}
		earlier = own
	}
}

// Callers send calls to an instance that replaces answers it has begun. Guards against a status,
// a body or "not run" that is not that of the run, and a success made of two answers.
func TestInstanceThatReplacesItsAnswers(t *testing.T) {
	is := is.New(t)
	server := &replacingServer{stutteringServer{random: rand.New(rand.NewPCG(36, 2)), runs: map[string]runRecord{}}}
	client := newClient(newServer(t, server.serve))
	var group sync.WaitGroup
	var answered atomic.Int64
	for caller := range stutterCallers {
		group.Go(func() {
			for i := range replacedExchanges / stutterCallers {
				number := fmt.Sprintf("%d-%d", caller, i)
				call := newCall(number)
				call.Headers = append(call.Headers, "Call", number)
				call.Idempotent = i%2 == 0
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
	t.Logf("%d of %d calls answered", answered.Load(), replacedExchanges)
	is.True(answered.Load() > replacedExchanges/5)
}

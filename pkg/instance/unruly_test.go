package instance

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	unrulyExchanges = 10_000
	unrulyCallers   = 20
	// unrulyTimeout ends calls that the instance does not answer.
	unrulyTimeout = 100 * time.Millisecond
)

// unrulyServer answers requests in wrong ways, chosen by a seed: with copies of earlier
// answers, before or after the right one or late, in pieces, cut off, with too many bytes, or
// not at all.
type unrulyServer struct {
	mu     sync.Mutex
	random *rand.Rand
}

func (s *unrulyServer) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func answerTo(id string) string {
	body := "body of " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func chunkedAnswerTo(id string) string {
	body := "body of " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
}

func (s *unrulyServer) serve(_ int, c net.Conn, r *bufio.Reader) {
	write := func(text string) { _, _ = c.Write([]byte(text)) }
	previous := "none"
	for id := readRequest(r); id != ""; id = readRequest(r) {
		answer := answerTo(id)
		if s.draw(2) == 0 {
			answer = chunkedAnswerTo(id)
		}
		switch s.draw(14) {
		case 0: // an earlier answer again, then the right one
			write(answerTo(previous) + answer)
		case 1: // the right one twice
			write(answer + answer)
		case 2: // a second copy, late, when the connection may be in use again
			write(answer)
			time.Sleep(time.Duration(s.draw(3)) * time.Millisecond)
			write(answer)
		case 3: // in pieces
			at := s.draw(len(answer))
			write(answer[:at])
			time.Sleep(time.Millisecond)
			write(answer[at:])
		case 4: // cut off
			write(answer[:s.draw(len(answer))])
			return
		case 5: // bytes that are no answer, after the right one
			write(answer + "garbage\r\n\r\n")
		case 6: // bytes that are no answer
			write("garbage\r\n\r\n" + answer)
		case 7: // the answer to another request
			write(answerTo("other-" + id))
		case 8: // closed without an answer
			return
		case 9: // the wrong length
			write(strings.Replace(answer, "Content-Length: ", "Content-Length: 9", 1))
			return
		default:
			write(answer)
		}
		previous = id
	}
}

// Many callers use an instance that repeats, delays, splits, cuts and mixes its answers.
// Guards against a caller that gets an answer that is not whole or not its own: of 10,000
// exchanges none may, and those answered in order must succeed.
func TestUnrulyInstance(t *testing.T) {
	is := is.New(t)
	server := &unrulyServer{random: rand.New(rand.NewPCG(27, 1))}
	client := newClient(newServer(t, server.serve))
	var group sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for caller := range unrulyCallers {
		group.Go(func() {
			for i := range unrulyExchanges / unrulyCallers {
				id := fmt.Sprintf("%d-%d", caller, i)
				ctx, cancel := context.WithTimeout(t.Context(), unrulyTimeout)
				response, err := client.Do(ctx, newCall(id))
				cancel()
				if err != nil {
					continue
				}
				mu.Lock()
				answered++
				mu.Unlock()
				if got := string(response.Body); got != "body of "+id {
					t.Errorf("the call %s got %q", id, got)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d calls answered", answered, unrulyExchanges)
	is.True(answered > unrulyExchanges/3)
}

package upstream_test

import (
	"bufio"
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

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

const (
	replacedCalls   = 2000
	replacedCallers = 10
)

// replacingServer begins answers and gives them up: it sends another one in their place, behind
// their body or within it.
type replacingServer struct {
	mu     sync.Mutex
	random *rand.Rand
	// runs holds the answer to each path.
	runs map[string]run
}

func (s *replacingServer) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *replacingServer) run(path string) run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

// next draws the answer to a call, with a large body at times, and records it.
func (s *replacingServer) next(path string) run {
	size := []int{1, 1000}[s.draw(2)]
	r := run{[]int{200, 200, 500, 504, 503}[s.draw(5)], strings.Repeat("call "+path+";", size)}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[path] = r
	return r
}

// segments returns what the server writes in answer to a call, one write each.
func (s *replacingServer) segments(own string) []string {
	begun := run{[]int{200, 500, 503}[s.draw(3)], ""}.text("Name: value\r\n")
	begun = begun[:s.draw(len(begun)-len("\r\n"))]
	head := strings.Index(own, "\r\n\r\n") + len("\r\n\r\n")
	at := head + s.draw(len(own)-head)
	switch s.draw(6) {
	case 0:
		return []string{begun + own}
	case 1:
		return []string{begun, own}
	case 2:
		return []string{own[:at] + own}
	case 3:
		return []string{own[:at], own}
	case 4:
		return []string{own[:strings.Index(own, "Content-Length")] + own[head-len("\r\n"):], own}
	}
	return []string{own}
}

func (s *replacingServer) serve(c net.Conn, r *bufio.Reader) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	for i, segment := range s.segments(s.next(request.URL.Path).text("")) {
		if i > 0 {
			time.Sleep(segmentPause)
		}
		_, _ = io.WriteString(c, segment)
	}
}

// Callers send calls to an upstream that replaces answers it has begun. Guards against a status or
// a body that is not that of the run, and a success made of two answers.
func TestUpstreamThatReplacesItsAnswers(t *testing.T) {
	is := is.New(t)
	server := &replacingServer{random: rand.New(rand.NewPCG(36, 2)), runs: map[string]run{}}
	client := &upstream.Client{Address: serveConnections(t, server.serve), Clock: clock.System{}, MaxResponseBytes: 1 << 20}
	var group sync.WaitGroup
	var answered, foreign atomic.Int64
	for caller := range replacedCallers {
		group.Go(func() {
			for i := range replacedCalls / replacedCallers {
				path := fmt.Sprintf("/%d-%d", caller, i)
				got, err := client.Handle(t.Context(), newCall(http.MethodGet, path))
				if problem := server.run(path).foreign(got, err); problem != "" {
					foreign.Add(1)
					t.Logf("%s: %s", path, problem)
				} else if err == nil {
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d calls answered, %d with what is not theirs", answered.Load(), replacedCalls, foreign.Load())
	is.Equal(foreign.Load(), int64(0))
	is.True(answered.Load() > replacedCalls/8) // the whole answers, a sixth
}

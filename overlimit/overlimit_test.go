package overlimit

import (
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// headCallers and responseCallers are the sizes of the crowds.
	headCallers     = 500
	responseCallers = 150
	// smallResponseCallers ask for pipelinedRequests small responses each. manyDescriptors are
	// enough for all of them, so that the memory is what bounds them.
	smallResponseCallers = 2000
	pipelinedRequests    = 16
	manyDescriptors      = 4096
	// overLimitBytes is the size of a head over the limit of 16,384 bytes that the
	// configuration states, and below what the servers of net/http take as built in.
	overLimitBytes = 60_000
	// crowdTime is how long a crowd stays.
	crowdTime = 2 * time.Second
	// sendInterval is the time between two pieces that a slow caller sends or reads.
	sendInterval = 100 * time.Millisecond
	// receiveBufferBytes is the receive buffer of the sockets of callers that read slowly or
	// not at all, so that the responses stay at the node.
	receiveBufferBytes = 4 << 10
)

// padding returns header lines of n bytes in all.
func padding(n int) string {
	line := "X-Padding: " + strings.Repeat("p", 487) + "\r\n"
	return strings.Repeat(line, n/len(line))
}

// crowd runs one function for each connection of n callers, all at once, and returns when
// they have returned. The connections end after crowdTime. It fails the test if fewer than half
// of the callers get a connection: a crowd that never came shows nothing.
func crowd(t *testing.T, address string, n int, act func(conn net.Conn)) {
	t.Helper()
	crowdFor(t, address, n, crowdTime, act)
}

// crowdFor is crowd, but the connections end after stay.
func crowdFor(t *testing.T, address string, n int, stay time.Duration, act func(conn net.Conn)) {
	t.Helper()
	var connected atomic.Int64
	var group sync.WaitGroup
	for range n {
		group.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			connected.Add(1)
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes)
			_ = conn.SetDeadline(time.Now().Add(stay))
			act(conn)
		})
	}
	group.Wait()
	is.New(t).True(connected.Load() >= int64(n)/2)
}

// Guards against memory held for complete request heads over the limit of the configuration.
func TestHeadsOverLimit(t *testing.T) {
	c := newCluster(t, "desk")
	crowd(t, c.nodes[0].address(0), headCallers, func(conn net.Conn) {
		_, _ = io.WriteString(conn, requestHead("/slow/x")+padding(overLimitBytes)+"\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
	c.check()
}

// Guards against memory held for request heads that never end: in many lines, and in one.
func TestHeadsWithoutEnd(t *testing.T) {
	cases := []struct{ name, beginning, more string }{
		{"lines", padding(overLimitBytes), "X-More: m\r\n"},
		{"one line", "X-Padding: " + strings.Repeat("p", overLimitBytes), "p"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := newCluster(t, "desk")
			crowd(t, nodes.nodes[0].address(0), headCallers, func(conn net.Conn) {
				_, err := io.WriteString(conn, requestHead("/slow/x")+c.beginning)
				for err == nil {
					time.Sleep(sendInterval)
					_, err = io.WriteString(conn, c.more)
				}
			})
			nodes.check()
		})
	}
}

// Guards against memory or descriptors held for callers that send empty lines in place of a
// request, on a new connection and after a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	c := newCluster(t, "desk")
	lines := strings.Repeat("\r\n", 8<<10)
	crowd(t, c.nodes[0].address(0), headCallers, func(conn net.Conn) {
		_, err := io.WriteString(conn, strings.Replace(requestHead("/small/x"), "GET", "POST", 1)+"Content-Length: 0\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, lines)
		}
	})
	crowd(t, c.nodes[0].address(0), headCallers, func(conn net.Conn) {
		var err error
		for err == nil {
			_, err = io.WriteString(conn, lines)
		}
	})
	c.check()
}

// askForLarge sends two requests, one behind the other, for a large response.
func askForLarge(conn net.Conn, path string) {
	_, _ = io.WriteString(conn, requestHead(path)+"\r\n"+requestHead(path)+"\r\n")
}

// doNotRead keeps the connection open for crowdTime.
func doNotRead(conn net.Conn) {
	askForLarge(conn, "/large/x")
	time.Sleep(crowdTime)
}

// readSlowly reads 1 kB in each sendInterval.
func readSlowly(conn net.Conn) {
	askForLarge(conn, "/large/x")
	readPieces(conn)
}

// readPieces reads 1 kB in each sendInterval until the connection ends.
func readPieces(conn net.Conn) {
	buffer := make([]byte, 1<<10)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
		time.Sleep(sendInterval)
	}
}

// Guards against memory held for large responses that many callers do not read, or read
// slowly, at the node beside the instance and at another one.
func TestUnreadResponses(t *testing.T) {
	cases := []struct {
		name     string
		services []string
		act      func(net.Conn)
	}{
		{"unread, own instance", []string{"desk"}, doNotRead},
		{"read slowly, own instance", []string{"desk"}, readSlowly},
		{"unread, instance of another node", []string{"showcase", "desk"}, doNotRead},
		{"read slowly, instance of another node", []string{"showcase", "desk"}, readSlowly},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := newCluster(t, c.services...)
			crowd(t, nodes.nodes[0].address(0), responseCallers, c.act)
			nodes.check()
		})
	}
}

// Guards against memory held for responses that are each too small to be counted, of more
// callers than the memory has room for.
func TestUnreadSmallResponses(t *testing.T) {
	for _, services := range [][]string{{"desk"}, {"showcase", "desk"}} {
		t.Run(services[0], func(t *testing.T) {
			nodes := newClusterWith(t, resources{memoryMB: memoryMB, descriptors: manyDescriptors}, services...)
			crowd(t, nodes.nodes[0].address(0), smallResponseCallers, func(conn net.Conn) {
				_, _ = io.WriteString(conn, strings.Repeat(requestHead("/medium/x")+"\r\n", pipelinedRequests))
				time.Sleep(crowdTime)
			})
			nodes.check()
		})
	}
}

// The node of the callers stands still as the responses arrive, so that their bytes lie at
// the node beside the instance and on the link. Guards against memory held there.
func TestResponsesOnTheLink(t *testing.T) {
	c := newCluster(t, "showcase", "desk")
	entrance := c.nodes[0]
	go func() {
		time.Sleep(slowTime / 2)
		_ = entrance.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(crowdTime / 2)
		_ = entrance.process.Process.Signal(syscall.SIGCONT)
	}()
	crowd(t, entrance.address(0), responseCallers, func(conn net.Conn) {
		askForLarge(conn, "/late/x")
		_, _ = io.Copy(io.Discard, conn)
	})
	c.check()
}

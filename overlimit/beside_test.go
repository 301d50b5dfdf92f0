package overlimit

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// besideDescriptors leaves 64 connections for callers: a quarter.
	besideDescriptors = 256
	// besideMemoryMB leaves room for as many large responses as there may be connections, so
	// that only the connections are short.
	besideMemoryMB = 768
	// readingCallers is the size of the crowds that hold connections for as long as they
	// can, and sendingCallers that of the crowds whose connections are closed after a second
	// at the latest.
	readingCallers = 200
	sendingCallers = 1200
	// besideTime is how long a crowd stays at most, and ordinaryPatience how long an ordinary
	// caller waits: as long as requestHead says.
	besideTime       = 20 * time.Second
	ordinaryPatience = 10 * time.Second
	// besideResponses is the number of large responses that a caller asks for: more than the
	// system keeps for it when it does not read them, 4 MB.
	besideResponses = 8
	// settlingTime is how long a crowd is there before the ordinary caller comes.
	settlingTime = time.Second
)

// occupy lets n callers act on connections of their own, again on a new one as soon as the node
// has closed theirs, until the test ends.
func occupy(t *testing.T, address string, n int, act func(net.Conn)) {
	t.Helper()
	left := make(chan struct{})
	var callers sync.WaitGroup
	for range n {
		callers.Go(func() {
			for {
				select {
				case <-left:
					return
				default:
				}
				occupyOnce(left, address, act)
			}
		})
	}
	t.Cleanup(func() {
		close(left)
		callers.Wait()
	})
}

// occupyOnce acts on one connection until the node closes it or left is closed.
func occupyOnce(left <-chan struct{}, address string, act func(net.Conn)) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	defer close(ended)
	defer func() { _ = conn.Close() }()
	go func() {
		select {
		case <-left:
			_ = conn.Close()
		case <-ended:
		}
	}()
	_ = conn.(*net.TCPConn).SetReadBuffer(receiveBufferBytes)
	_ = conn.SetDeadline(time.Now().Add(besideTime))
	act(conn)
}

// stayUntilClosed sends nothing more and reads nothing until the node closes the connection.
func stayUntilClosed(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	for closed := false; err == nil && !closed; time.Sleep(sendInterval) {
		err = raw.Control(func(fd uintptr) {
			polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
			n, pollErr := unix.Poll(polled, 0)
			closed = pollErr == nil && n > 0
		})
	}
}

// askForMany sends requests for besideResponses large responses, one behind the other.
func askForMany(conn net.Conn) {
	for range besideResponses {
		_, _ = io.WriteString(conn, requestHead("/large/x")+"\r\n")
	}
}

// drip sends a beginning and then a piece in each sendInterval.
func drip(conn net.Conn, beginning, piece string) {
	_, err := io.WriteString(conn, beginning)
	for err == nil {
		time.Sleep(sendInterval)
		_, err = io.WriteString(conn, piece)
	}
}

// Guards against ordinary callers that get no answer while others, more than there may be
// connections, keep theirs busy: each of these is back at once when the node closes its
// connection.
func TestOrdinaryCallerBesideCrowd(t *testing.T) {
	cases := []struct {
		name    string
		callers int
		act     func(net.Conn)
	}{
		{"reads slowly", readingCallers, func(conn net.Conn) {
			askForMany(conn)
			readPieces(conn)
		}},
		{"reads nothing", readingCallers, func(conn net.Conn) {
			askForMany(conn)
			stayUntilClosed(conn)
		}},
		{"sends a body slowly", readingCallers, func(conn net.Conn) {
			drip(conn, strings.Replace(requestHead("/slow/x"), "GET", "POST", 1)+"Content-Length: 4000\r\n\r\n", "b")
		}},
		{"sends a head slowly", sendingCallers, func(conn net.Conn) {
			drip(conn, requestHead("/slow/x"), "X: x\r\n")
		}},
		{"sends a second head slowly", sendingCallers, func(conn net.Conn) {
			drip(conn, requestHead("/small/x")+"\r\n"+requestHead("/slow/x"), "X: x\r\n")
		}},
		{"sends nothing", sendingCallers, stayUntilClosed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nodes := newClusterWith(t, resources{memoryMB: besideMemoryMB, descriptors: besideDescriptors}, "desk")
			n := nodes.nodes[0]
			occupy(t, n.address(0), c.callers, c.act)
			time.Sleep(settlingTime)
			if status := n.sendWithin("/small/x", ordinaryPatience); status != http.StatusOK {
				t.Errorf("an ordinary request beside the crowd got the status %d (0: none)", status)
			}
			nodes.check()
		})
	}
}

// Guards against a caller that reads slowly and is cut off although nobody needs its place.
func TestSlowReaderAloneGetsItsResponse(t *testing.T) {
	nodes := newClusterWith(t, resources{memoryMB: besideMemoryMB, descriptors: besideDescriptors}, "desk")
	conn, err := net.Dial("tcp", nodes.nodes[0].address(0))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, requestHead("/large/x")+"Connection: close\r\n\r\n")
	read, buffer := 0, make([]byte, 32<<10)
	for err == nil {
		var n int
		n, err = conn.Read(buffer)
		read += n
		time.Sleep(sendInterval)
	}
	if err != io.EOF || read < largeBytes {
		t.Errorf("a slow reader alone got %d bytes of a response of %d: %v", read, largeBytes, err)
	}
}

package connection

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

const (
	// lingerTime is how long a connection is kept open after its caller's system has
	// confirmed all that was sent, so that the caller reads it before it meets a reset.
	lingerTime = 250 * time.Millisecond
	// maxLingerTime bounds how long a connection is kept open for a caller that does not
	// receive what was sent.
	maxLingerTime = 5 * time.Second
	// lingerBytes is how much is read from a connection meanwhile. Then the window of the
	// caller fills up.
	lingerBytes = 256 << 10
	// lingerBufferBytes is the size of one read.
	lingerBufferBytes = 4 << 10
	// minLingerPoll is the least time between two looks at what has been confirmed, and
	// lingerPollFraction that time as a fraction of the time so far, so that a crowd of
	// connections that linger costs little.
	minLingerPoll      = 25 * time.Millisecond
	lingerPollFraction = 0.5
	// shutdownPollInterval is the time between two looks whether connections still linger.
	shutdownPollInterval = 10 * time.Millisecond
)

// longAgo is a deadline that ends a read in progress.
var longAgo = time.Unix(1, 0)

// lingeringConn is a connection whose Close does not discard what was sent on it. A close over
// data that was not read, or that arrives later, resets a connection, and the system then
// discards what it has not sent yet (RFC 9112, section 9.6).
type lingeringConn struct {
	*net.TCPConn
	raw   syscall.RawConn
	clock clock.Clock
	// lingering holds the connection while it lingers, at the given element.
	lingering *lingeringConns
	element   *list.Element
	// closing reports whether Close or abort was called. The server cannot read then.
	closing atomic.Bool
	// mu guards changes of closing and of the read deadline.
	mu sync.Mutex
	// reading is held while data is read.
	reading sync.Mutex
}

func newLingeringConn(conn *net.TCPConn, c clock.Clock, lingering *lingeringConns) *lingeringConn {
	return &lingeringConn{TCPConn: conn, raw: rawConn(conn), clock: c, lingering: lingering}
}

// Read implements net.Conn.
func (c *lingeringConn) Read(buffer []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.closing.Load() {
		return 0, closedError()
	}
	n, err := c.TCPConn.Read(buffer)
	if c.closing.Load() {
		return 0, closedError()
	}
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *lingeringConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Load() {
		return net.ErrClosed
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *lingeringConn) SetDeadline(deadline time.Time) error {
	if err := c.SetReadDeadline(deadline); err != nil {
		return err
	}
	return c.SetWriteDeadline(deadline)
}

// Close implements net.Conn. It ends the sending direction and returns. The connection is closed
// once the caller has received what was sent, as lingerState decides.
func (c *lingeringConn) Close() error {
	if !c.beginClose() {
		return net.ErrClosed
	}
	if _, isWaiting := sendProgress(c.raw); !isWaiting && !isUnread(c.raw) {
		return c.TCPConn.Close()
	}
	if err := c.CloseWrite(); err != nil {
		return c.TCPConn.Close()
	}
	c.lingering.add(c)
	go c.linger()
	return nil
}

// abort closes the connection and discards what its caller has not received: the system would
// keep that until it has.
func (c *lingeringConn) abort() error {
	if !c.beginClose() {
		return net.ErrClosed
	}
	_ = c.SetLinger(0)
	return c.TCPConn.Close()
}

// beginClose makes the reads of the server fail. It returns false if it was called before.
func (c *lingeringConn) beginClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing.Swap(true) {
		return false
	}
	_ = c.TCPConn.SetReadDeadline(longAgo)
	return true
}

// linger discards what the caller sends until the connection may be closed.
func (c *lingeringConn) linger() {
	// The server's read in progress ends first.
	c.reading.Lock()
	defer c.reading.Unlock()
	defer c.lingering.remove(c)
	defer func() { _ = c.TCPConn.Close() }()
	state := lingerState{began: c.clock.Now()}
	buffer := make([]byte, lingerBufferBytes)
	for {
		now := c.clock.Now()
		_, isWaiting := sendProgress(c.raw)
		if state.isOver(now, !isWaiting) {
			return
		}
		if !state.reads() {
			_ = clock.Sleep(context.Background(), c.clock, state.nextPoll(now))
			continue
		}
		_ = c.TCPConn.SetReadDeadline(now.Add(state.nextPoll(now)))
		n, err := c.TCPConn.Read(buffer)
		state.discarded += n
		if err != nil && !isTimeout(err) {
			return
		}
	}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// lingerState decides how long a connection lingers.
type lingerState struct {
	// began is when the sending direction was ended.
	began time.Time
	// receivedAt is when the caller's system was first seen to have confirmed all that was
	// sent; zero before.
	receivedAt time.Time
	// discarded is the number of bytes that were read.
	discarded int
}

// isOver reports whether the connection may be closed. received reports whether the caller's
// system has confirmed all that was sent.
func (s *lingerState) isOver(now time.Time, received bool) bool {
	if received && s.receivedAt.IsZero() {
		s.receivedAt = now
	}
	return !now.Before(s.end())
}

// end returns when the connection is closed if its caller does not close it before.
func (s *lingerState) end() time.Time {
	end := s.began.Add(maxLingerTime)
	if received := s.receivedAt.Add(lingerTime); !s.receivedAt.IsZero() && received.Before(end) {
		return received
	}
	return end
}

// nextPoll returns the time until the next call of isOver.
func (s *lingerState) nextPoll(now time.Time) time.Duration {
	wait := max(minLingerPoll, time.Duration(lingerPollFraction*float64(now.Sub(s.began))))
	return min(wait, s.end().Sub(now))
}

// reads reports whether more is read from the caller.
func (s *lingerState) reads() bool { return s.discarded < lingerBytes }

// lingeringConns holds the connections that linger. The zero value is empty. It is safe for
// concurrent use.
type lingeringConns struct {
	// mu guards conns and lingeringConn.element.
	mu sync.Mutex
	// conns holds values of type *lingeringConn, the longest lingering first.
	conns list.List
}

func (l *lingeringConns) add(c *lingeringConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.element = l.conns.PushBack(c)
}

func (l *lingeringConns) remove(c *lingeringConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns.Remove(c.element)
}

// count returns the number of connections that linger.
func (l *lingeringConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns.Len()
}

// closeOldest closes the connection that has lingered longest, and reports whether there was
// one. The system goes on sending what its caller has not received.
func (l *lingeringConns) closeOldest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	front := l.conns.Front()
	if front == nil {
		return false
	}
	oldest := front.Value.(*lingeringConn)
	l.conns.Remove(front)
	_ = oldest.TCPConn.Close()
	return true
}

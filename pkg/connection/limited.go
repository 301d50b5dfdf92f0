package connection

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/memory"
)

const (
	// serverTimeout is the header timeout and the idle timeout of a server whose connections
	// apply Limits. A connection shifts the deadlines that it is given by the difference.
	serverTimeout = 10 * time.Second
	// serverHeaderBytes is the bound of the server itself. It exceeds all limits.
	serverHeaderBytes = 1 << 20
	// requestLineBytes is what the head of a request may have beyond Limits.HeaderBytes, for
	// its request line.
	requestLineBytes = 4 << 10
	// headCostFactor is the memory that a head takes per byte, as it is read and as parsed
	// fields.
	headCostFactor = 4
	// minHeadAge is how long a head may be read before its connection is closed to make room
	// for another.
	minHeadAge = 250 * time.Millisecond
	// refusalWriteTime bounds the write of a refusal.
	refusalWriteTime = 100 * time.Millisecond

	// headTooLarge, headRefused and headEvicted are reasons of Tracker.OnClosed.
	headTooLarge = "head over the limit"
	headRefused  = "no memory for the head"
	headEvicted  = "memory needed for another head"

	// http2Preface begins an HTTP/2 connection.
	http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

	tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusedResponse guarantees that the request is not executed: its head was not read
	// whole.
	refusedResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// Limits bounds what a caller may send, and how long it may take, before its request is
// handled.
type Limits struct {
	// HeaderBytes bounds the header fields of a request. The request line may have
	// requestLineBytes more.
	HeaderBytes int
	// HeaderTimeout bounds the time for reading a head after its first bytes, and
	// IdleTimeout the wait for these.
	HeaderTimeout, IdleTimeout time.Duration
}

// limitedConn applies the limits of a tracker to the heads that are read from a connection.
// Read counts the bytes of a head; those of bodies, and those that a caller sends before its
// last request is answered and that lie in the buffer of the server, count nothing.
type limitedConn struct {
	*lingeringConn
	tracker *Tracker
	// conn is set by Tracker.accept, before anything is read.
	conn *conn
	// handling reports whether a request is being handled, so that what is read is its body.
	handling atomic.Bool
	// headBytes is the number of bytes of the head that were read, and timed whether the
	// deadline is that of a head.
	headBytes atomic.Int64
	timed     atomic.Bool
	// awaitsBody reports whether the server waits for a part of a body, and bodyBytes is the
	// number of bytes of bodies that were read.
	awaitsBody atomic.Bool
	bodyBytes  atomic.Int64
	// watched reports whether watchPeer runs.
	watched atomic.Bool
	// refused reports whether the head was refused. The server may read again after an error.
	refused bool
	// prefaceBytes is the number of bytes of http2Preface that the connection began with, and
	// isHTTP2 reports whether these are all, and the server bounds the heads of HTTP/2 itself.
	prefaceBytes int
	isHTTP2      atomic.Bool
}

// limit returns a connection that applies the limits of the tracker, and whose Close does not
// discard what was sent on it.
func (t *Tracker) limit(netConn net.Conn) net.Conn {
	tcpConn, isTCP := netConn.(*net.TCPConn)
	if !isTCP {
		return netConn
	}
	lingering := newLingeringConn(tcpConn, t.Clock, &t.lingering)
	if t.Limits == nil {
		return lingering
	}
	return &limitedConn{lingeringConn: lingering, tracker: t}
}

// reset begins the wait for the next head.
func (c *limitedConn) reset() {
	c.headBytes.Store(0)
	c.timed.Store(false)
	c.handling.Store(false)
}

// SetReadDeadline implements net.Conn. While a head is awaited or read, it replaces
// serverTimeout by the timeout of the limits.
func (c *limitedConn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() || c.handling.Load() || c.isHTTP2.Load() {
		return c.lingeringConn.SetReadDeadline(deadline)
	}
	limits := c.tracker.Limits()
	timeout := limits.IdleTimeout
	if c.headBytes.Load() > 0 {
		timeout = limits.HeaderTimeout
		c.timed.Store(true)
	}
	return c.lingeringConn.SetReadDeadline(deadline.Add(timeout - serverTimeout))
}

// Read implements net.Conn.
func (c *limitedConn) Read(buffer []byte) (int, error) {
	if c.isHTTP2.Load() {
		return c.lingeringConn.Read(buffer)
	}
	// While a request is handled, the server reads a single byte to notice that the caller
	// leaves. It reads no further one.
	if len(buffer) == 1 {
		n, err := c.lingeringConn.Read(buffer)
		if n > 0 && c.handling.Load() && c.watched.CompareAndSwap(false, true) {
			go c.watchPeer()
		}
		return n, err
	}
	if c.handling.Load() {
		return c.readBody(buffer)
	}
	before := c.headBytes.Load()
	if before > 0 {
		if err := c.admitMore(before); err != nil {
			return 0, err
		}
	}
	n, err := c.lingeringConn.Read(buffer)
	c.headBytes.Store(before + int64(n))
	c.matchPreface(before, buffer[:n])
	return n, err
}

// matchPreface compares the beginning of the connection with http2Preface. read is the number of
// bytes that were read before.
func (c *limitedConn) matchPreface(read int64, data []byte) {
	if !c.tracker.servesHTTP2 || read != int64(c.prefaceBytes) {
		return
	}
	rest := http2Preface[c.prefaceBytes:]
	if !strings.HasPrefix(string(data[:min(len(data), len(rest))]), rest[:min(len(data), len(rest))]) {
		return
	}
	c.prefaceBytes += min(len(data), len(rest))
	c.isHTTP2.Store(c.prefaceBytes == len(http2Preface))
}

// readBody reads a part of a body.
func (c *limitedConn) readBody(buffer []byte) (int, error) {
	c.awaitsBody.Store(true)
	defer c.awaitsBody.Store(false)
	n, err := c.lingeringConn.Read(buffer)
	c.bodyBytes.Add(int64(n))
	return n, err
}

// admitMore checks whether more of a head may be read. A head that arrives in one piece does
// not come here.
func (c *limitedConn) admitMore(read int64) error {
	if c.refused {
		return closedError()
	}
	limits := c.tracker.Limits()
	if !c.timed.Swap(true) {
		if err := c.lingeringConn.SetReadDeadline(c.tracker.Clock.Now().Add(limits.HeaderTimeout)); err != nil {
			return err
		}
	}
	if read >= int64(limits.HeaderBytes+requestLineBytes) {
		c.tracker.countTooLarge()
		return c.refuse(tooLargeResponse)
	}
	reserved, closed := c.tracker.reserveHead(c.conn, headCostFactor*read)
	switch {
	case reserved:
		return nil
	case closed:
		return closedError()
	}
	return c.refuse(refusedResponse)
}

// refuse answers a request whose head was not read whole, and returns an error after which
// the server closes the connection without a response of its own.
func (c *limitedConn) refuse(response string) error {
	c.refused = true
	_ = c.SetWriteDeadline(c.tracker.Clock.Now().Add(refusalWriteTime))
	_, _ = io.WriteString(c.TCPConn, response) // the connection is closed in any case
	return closedError()
}

// closedError returns the error of a read from a closed connection.
func closedError() error { return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed} }

// isOverLimit reports whether the header fields of a request whose head was read whole are
// over the limit.
func (c *limitedConn) isOverLimit(r *http.Request) bool {
	limit := c.tracker.Limits().HeaderBytes
	if c.isHTTP2.Load() || c.headBytes.Load() <= int64(limit) {
		return false
	}
	return headBytesOf(r) > limit
}

// headBytesOf returns the size of the header fields of a request.
func headBytesOf(r *http.Request) int {
	size := 0
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(": \r\n") + len(v)
		}
	}
	return size
}

// reserveHTTP2Head reserves memory for the head of a request on an HTTP/2 connection, which was
// read whole, and returns the number of bytes. Tiny heads need none.
func (t *Tracker) reserveHTTP2Head(r *http.Request) (reserved int64, ok bool) {
	if t.Heads == nil {
		return 0, true
	}
	reserved = headCostFactor * memory.Counted(headBytesOf(r))
	return reserved, reserved == 0 || t.Heads.Reserve(reserved)
}

func (t *Tracker) releaseHTTP2Head(reserved int64) {
	if reserved > 0 {
		t.Heads.Release(reserved)
	}
}

// refuseHTTP2Head answers a request for whose head there is no memory. It was not executed.
func (t *Tracker) refuseHTTP2Head(w http.ResponseWriter) {
	t.mu.Lock()
	t.headsRefused++
	t.mu.Unlock()
	t.reportClosed(headRefused)
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refuseLargeHead answers a request whose head is over the limit.
func (t *Tracker) refuseLargeHead(w http.ResponseWriter) {
	t.countTooLarge()
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
}

func (t *Tracker) countTooLarge() {
	t.mu.Lock()
	t.headsTooLarge++
	t.mu.Unlock()
	t.reportClosed(headTooLarge)
}

func (t *Tracker) reportClosed(reason string) {
	if t.OnClosed != nil {
		t.OnClosed(reason)
	}
}

// reserveHead makes the memory reserved for the head that is read from a connection up to
// total bytes. If there is no room, it closes the connections whose heads have been read
// longest. It fails if the given one is the first of these, if none is older than minHeadAge,
// or if the given one has been closed.
func (t *Tracker) reserveHead(c *conn, total int64) (reserved, closed bool) {
	if t.Heads == nil {
		return true, false
	}
	now := t.Clock.Now()
	t.mu.Lock()
	evicted := 0
	more := total - c.headReserved
	reserved = !c.closed && (more <= 0 || t.Heads.TryReserve(more))
	for !reserved && !c.closed && t.evictHead(c, now) {
		evicted++
		reserved = t.Heads.TryReserve(more)
	}
	closed = c.closed
	switch {
	case reserved && more > 0:
		c.headReserved += more
		if c.reading == nil {
			c.readingSince, c.reading = now, t.reading.PushBack(c)
		}
	case !reserved && !closed:
		t.headsRefused++
	}
	t.mu.Unlock()
	for range evicted {
		t.reportClosed(headEvicted)
	}
	if !reserved && !closed {
		t.reportClosed(headRefused)
	}
	return reserved, closed
}

// evictHead closes the connection whose head has been read longest. It returns false if that
// is c, or has not been read for minHeadAge. The caller holds mu.
func (t *Tracker) evictHead(c *conn, now time.Time) bool {
	front := t.reading.Front()
	if front == nil {
		return false
	}
	oldest := front.Value.(*conn)
	if oldest == c || now.Sub(oldest.readingSince) < minHeadAge {
		return false
	}
	t.closeConn(oldest)
	t.headsEvicted++
	return true
}

// releaseHead ends the reservation for the head of a request. The caller holds mu.
func (t *Tracker) releaseHead(c *conn) {
	if c.headReserved > 0 {
		t.Heads.Release(c.headReserved)
		c.headReserved = 0
	}
}

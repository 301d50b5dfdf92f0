package connection

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptRetryInterval is the time between two looks for room for a connection, and
	// between two tries of an Accept that failed for lack of resources.
	acceptRetryInterval = 5 * time.Millisecond

	// unusedClosed and slowClosed are reasons of Tracker.OnClosed.
	unusedClosed = "too many connections: no whole request was sent"
	slowClosed   = "too many connections: too little progress with a body or a response"
)

// boundListener accepts connections within the bounds of a tracker.
type boundListener struct {
	net.Listener
	tracker *Tracker
	// closing is closed by Close.
	closing   chan struct{}
	closeOnce sync.Once
}

// Bound returns a listener that accepts connections while fewer than MaxOpen are open. To make
// room for a new one it closes the one that has waited longest for a whole request, for a
// further request, or whose caller makes the least progress with a body or a response. shortage
// says how much progress keeps a connection. While all carry requests that are being handled, a
// new one waits. A lack of descriptors or memory is passed over: Accept tries again, and closes
// connections before.
func (t *Tracker) Bound(l net.Listener) net.Listener {
	return &boundListener{Listener: l, tracker: t, closing: make(chan struct{})}
}

// Accept implements net.Listener.
func (b *boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := b.Listener.Accept()
		switch {
		case err == nil && b.awaitRoom():
			return b.tracker.limit(conn), nil
		case err == nil:
			_ = conn.Close()
			return nil, net.ErrClosed
		case !IsResourceShortage(err):
			return nil, err
		}
		if b.tracker.OnAcceptError != nil {
			b.tracker.OnAcceptError(err)
		}
		b.tracker.freeDescriptors()
		if !b.pause() {
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (b *boundListener) Close() error {
	b.closeOnce.Do(func() { close(b.closing) })
	return b.Listener.Close()
}

// awaitRoom waits until one more connection may be open. It returns false if the listener is
// closed.
func (b *boundListener) awaitRoom() bool {
	for !b.tracker.makeRoom() {
		if !b.pause() {
			return false
		}
	}
	return true
}

// pause waits for acceptRetryInterval. It returns false if the listener is closed.
func (b *boundListener) pause() bool {
	select {
	case <-b.closing:
		return false
	case <-b.tracker.Clock.After(acceptRetryInterval):
		return true
	}
}

// IsResourceShortage reports whether the error of an Accept is a passing lack of
// descriptors or memory, or concerns only the connection that was to be accepted.
func IsResourceShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}

// makeRoom closes connections until one more may be open, and reports whether it may.
func (t *Tracker) makeRoom() bool {
	if t.MaxOpen == nil {
		return true
	}
	maxOpen := t.MaxOpen()
	now := t.Clock.Now()
	defer t.reportAll()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shortage.relax(now)
	for len(t.conns)-t.closing+t.lingering.count() >= maxOpen {
		if !t.closeOne(now) {
			return false
		}
	}
	return true
}

// reportAll calls OnClosed for the connections that were closed to make room.
func (t *Tracker) reportAll() {
	t.mu.Lock()
	reasons := t.closedReasons
	t.closedReasons = nil
	t.mu.Unlock()
	for _, r := range reasons {
		t.reportClosed(r)
	}
}

// closeOne closes one connection to make room, and reports whether it did. The caller holds mu.
func (t *Tracker) closeOne(now time.Time) bool {
	if !t.closeWorst(now) {
		t.shortage.handleFailure(now, t.unused.Len()+t.dueConns > 0)
		return false
	}
	t.shortage.handleClose(now)
	return true
}

// closeWorst closes the connection that is worth least. Those that linger carry no request any
// more. At first idle ones go before those of slow callers, which lose a response. In a lasting
// shortage it is the other way round: idle ones are then those of callers that have taken their
// responses. The caller holds mu.
func (t *Tracker) closeWorst(now time.Time) bool {
	if t.closeUnused(now) || t.lingering.closeOldest() {
		return true
	}
	if t.shortage.level == 0 {
		return t.evict(1) > 0 || t.closeSlow(now)
	}
	return t.closeSlow(now) || t.evict(1) > 0
}

// evict closes up to n of the idle connections, those that have waited longest, and
// returns their number. The caller holds mu.
func (t *Tracker) evict(n int) int {
	count := 0
	for ; count < n && t.idle.Len() > 0; count++ {
		t.closeConn(t.idle.Front().Value.(*conn))
	}
	t.evicted += count
	return count
}

// closeUnused closes the connection that has been open longest without a whole request, if
// that is longer than the grace of the shortage. It keeps those on which data has arrived that
// the server has not come to read. The caller holds mu.
func (t *Tracker) closeUnused(now time.Time) bool {
	grace := t.shortage.grace()
	for e := t.unused.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if now.Sub(c.waitingSince) < grace {
			break
		}
		if c.raw == nil || !isUnread(c.raw) {
			t.closeConn(c)
			t.evicted++
			t.closedReasons = append(t.closedReasons, unusedClosed)
			return true
		}
	}
	return false
}

// freeDescriptors closes half of the idle connections, or one other if none is idle.
func (t *Tracker) freeDescriptors() {
	now := t.Clock.Now()
	defer t.reportAll()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shortage.relax(now)
	if t.evict((t.idle.Len()+1)/2) == 0 {
		t.closeOne(now)
	}
}

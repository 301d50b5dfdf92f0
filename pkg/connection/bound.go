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
	// minUnusedAge is how long a connection is kept in any case until it has sent a whole
	// request.
	minUnusedAge = time.Second
)

// boundListener accepts connections within the bounds of a tracker.
type boundListener struct {
	net.Listener
	tracker *Tracker
	// closing is closed by Close.
	closing   chan struct{}
	closeOnce sync.Once
}

// Bound returns a listener that accepts connections while fewer than MaxOpen are open. It
// closes idle ones to make room, then those that have sent no whole request for minUnusedAge,
// then those whose callers receive nothing, and leaves new ones to the kernel while all others
// carry requests. A lack of descriptors or memory is passed over: Accept tries again, and closes
// half of the idle connections before.
func (t *Tracker) Bound(l net.Listener) net.Listener {
	return &boundListener{Listener: l, tracker: t, closing: make(chan struct{})}
}

// Accept implements net.Listener.
func (b *boundListener) Accept() (net.Conn, error) {
	for {
		if !b.awaitRoom() {
			return nil, net.ErrClosed
		}
		conn, err := b.Listener.Accept()
		if err == nil {
			return b.tracker.limit(conn), nil
		}
		if !IsResourceShortage(err) {
			return nil, err
		}
		if b.tracker.OnAcceptError != nil {
			b.tracker.OnAcceptError(err)
		}
		b.tracker.evictHalf()
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

// awaitRoom waits until a connection may be accepted. It returns false if the listener is
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

// makeRoom closes idle connections until one more may be open, and reports whether it
// may.
func (t *Tracker) makeRoom() bool {
	if t.MaxOpen == nil {
		return true
	}
	maxOpen := t.MaxOpen()
	t.mu.Lock()
	defer t.mu.Unlock()
	excess := len(t.conns) - t.closing + 1 - maxOpen
	if excess <= 0 {
		return true
	}
	excess -= t.evict(excess)
	if excess > 0 {
		excess -= t.evictUnused(excess)
	}
	if excess > 0 {
		excess -= t.evictStalled(excess)
	}
	return excess <= 0
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

// evictUnused closes up to n of the connections that have sent no whole request for
// minUnusedAge, and returns their number. It keeps those on which data has arrived that the
// server has not come to read. The caller holds mu.
func (t *Tracker) evictUnused(n int) int {
	count := 0
	now := t.Clock.Now()
	for e := t.unused.Front(); e != nil && count < n; {
		c := e.Value.(*conn)
		if now.Sub(c.waitingSince) < minUnusedAge {
			break
		}
		e = e.Next()
		if c.raw == nil || !isUnread(c.raw) {
			t.closeConn(c)
			count++
		}
	}
	t.evicted += count
	return count
}

func (t *Tracker) evictHalf() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict((t.idle.Len() + 1) / 2)
}

package link

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

const (
	// maxHandshakes bounds the connections whose handshake message has not been read.
	maxHandshakes = 32
	// minHandshakeAge is how long such a connection is kept in any case. A peer sends the message
	// as soon as it is connected.
	minHandshakeAge = 50 * time.Millisecond
	// handshakePollInterval is the time between two looks for room for a connection.
	handshakePollInterval = 5 * time.Millisecond
	// maxHelloBytes bounds the handshake message.
	maxHelloBytes = 4 << 10
)

// handshakes bounds the connections in their handshake. It answers clients that are no nodes and
// connect in large numbers: the connection from which nothing has arrived for longest is closed.
// Set clock and hasData. It is safe for concurrent use.
type handshakes struct {
	clock clock.Clock
	// hasData reports whether data has arrived on a connection that was not read.
	hasData func(net.Conn) bool

	// mu guards conns, which holds the *handshake, the oldest first.
	mu    sync.Mutex
	conns list.List
}

// handshake is a connection in its handshake.
type handshake struct {
	conn       net.Conn
	acceptedAt time.Time
	// element is that in handshakes.conns, or nil once the connection has left it.
	element *list.Element
}

// add adds a connection, and waits until there is room for it.
func (s *handshakes) add(conn net.Conn) *handshake {
	for {
		if added := s.tryAdd(conn); added != nil {
			return added
		}
		<-s.clock.After(handshakePollInterval)
	}
}

// tryAdd is add, but returns nil if there is no room.
func (s *handshakes) tryAdd(conn net.Conn) *handshake {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns.Len() >= maxHandshakes && !s.closeOldest(now) {
		return nil
	}
	added := &handshake{conn: conn, acceptedAt: now}
	added.element = s.conns.PushBack(added)
	return added
}

// closeOldest closes the oldest connection without unread data, if it is older than
// minHandshakeAge, and reports whether it did. The caller holds mu.
func (s *handshakes) closeOldest(now time.Time) bool {
	for e := s.conns.Front(); e != nil; e = e.Next() {
		oldest := e.Value.(*handshake)
		if now.Sub(oldest.acceptedAt) < minHandshakeAge {
			return false
		}
		if !s.hasData(oldest.conn) {
			s.drop(oldest)
			_ = oldest.conn.Close()
			return true
		}
	}
	return false
}

// remove removes a connection whose handshake has ended.
func (s *handshakes) remove(h *handshake) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(h)
}

// drop removes a connection. The caller holds mu.
func (s *handshakes) drop(h *handshake) {
	if h.element != nil {
		s.conns.Remove(h.element)
		h.element = nil
	}
}

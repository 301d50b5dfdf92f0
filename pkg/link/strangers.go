package link

import (
	"container/list"
	"net"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

const (
	// maxStrangers bounds the connections whose handshake message has not arrived.
	maxStrangers = 32
	// minStrangerAge is how long such a connection is kept in any case. A peer sends the message
	// as soon as it is connected.
	minStrangerAge = 50 * time.Millisecond
	// strangerPollInterval is the time between two looks for room for a connection.
	strangerPollInterval = 5 * time.Millisecond
	// maxHelloBytes bounds the handshake message.
	maxHelloBytes = 4 << 10
)

// strangers bounds the connections in their handshake. It answers clients that are no nodes and
// connect in large numbers: those that have sent no handshake message for longest are closed.
// Set clock. It is safe for concurrent use.
type strangers struct {
	clock clock.Clock

	// mu guards conns, which holds the *stranger, the oldest first.
	mu    sync.Mutex
	conns list.List
}

// stranger is a connection in its handshake.
type stranger struct {
	conn       net.Conn
	acceptedAt time.Time
	// element is that in strangers.conns, or nil once the connection has left it.
	element *list.Element
}

// add adds a connection, and waits until there is room for it.
func (s *strangers) add(conn net.Conn) *stranger {
	for {
		if added := s.tryAdd(conn); added != nil {
			return added
		}
		<-s.clock.After(strangerPollInterval)
	}
}

// tryAdd is add, but returns nil if there is no room.
func (s *strangers) tryAdd(conn net.Conn) *stranger {
	now := s.clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns.Len() >= maxStrangers {
		oldest := s.conns.Front().Value.(*stranger)
		if now.Sub(oldest.acceptedAt) < minStrangerAge {
			return nil
		}
		s.drop(oldest)
		_ = oldest.conn.Close()
	}
	added := &stranger{conn: conn, acceptedAt: now}
	added.element = s.conns.PushBack(added)
	return added
}

// remove removes a connection whose handshake has ended.
func (s *strangers) remove(one *stranger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(one)
}

// drop removes a connection. The caller holds mu.
func (s *strangers) drop(one *stranger) {
	if one.element != nil {
		s.conns.Remove(one.element)
		one.element = nil
	}
}

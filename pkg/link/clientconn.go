package link

import (
	"sync"
	"sync/atomic"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// clientConn is one connection to the peer.
type clientConn struct {
	*framer
	incarnation uint64
	// lastRead is the clock.Moment at which the peer was last heard.
	lastRead atomic.Int64
	// lastPing is when the peer was last lastPing for a sign of life; only Check uses it.
	lastPing clock.Moment

	streams struct {
		sync.Mutex
		next    StreamID
		pending map[StreamID]*pendingReply
	}
}

type pendingReply struct {
	reply chan Reply
	// sent tells that bytes of the message may have been written.
	sent bool
}

func (c *clientConn) openStream() (StreamID, *pendingReply) {
	w := &pendingReply{reply: make(chan Reply, 1)}
	c.streams.Lock()
	defer c.streams.Unlock()
	c.streams.next++
	c.streams.pending[c.streams.next] = w
	return c.streams.next, w
}

// dropStream stops waiting for a reply and tells whether it was still waited for.
func (c *clientConn) dropStream(stream StreamID) bool {
	c.streams.Lock()
	defer c.streams.Unlock()
	_, pending := c.streams.pending[stream]
	delete(c.streams.pending, stream)
	return pending
}

func (c *clientConn) awaitsReply() bool {
	c.streams.Lock()
	defer c.streams.Unlock()
	return len(c.streams.pending) > 0
}

func (c *clientConn) markSent(streams []StreamID) {
	c.streams.Lock()
	defer c.streams.Unlock()
	for _, s := range streams {
		if w := c.streams.pending[s]; w != nil {
			w.sent = true
		}
	}
}

func (c *clientConn) deliver(stream StreamID, r Reply) {
	c.streams.Lock()
	w := c.streams.pending[stream]
	delete(c.streams.pending, stream)
	c.streams.Unlock()
	if w != nil {
		w.reply <- r
	}
}

// failPending tells everyone who waits that the connection is gone.
func (c *clientConn) failPending(cause error) {
	c.streams.Lock()
	unanswered := c.streams.pending
	c.streams.pending = map[StreamID]*pendingReply{}
	c.streams.Unlock()
	for _, w := range unanswered {
		if w.sent {
			w.reply <- Reply{Incarnation: c.incarnation, err: &ConnectionLostError{Incarnation: c.incarnation, Cause: cause}}
		} else {
			w.reply <- Reply{Incarnation: c.incarnation, err: &NotSentError{Cause: cause}}
		}
	}
}

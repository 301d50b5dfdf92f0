package link

import (
	"sync"
	"sync/atomic"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// clientConn is one connection to a peer, with the requests that await replies.
type clientConn struct {
	*framer
	// incarnation of the peer, from its handshake message.
	incarnation uint64
	// peer is the handshake message of the peer.
	peer *linkrpc.Hello
	// lastRead is the clock.Monotonic of the last message from the peer.
	lastRead atomic.Int64
	// lastPing is the time of the last ping; only CheckLiveness uses it.
	lastPing clock.Monotonic

	// streams holds the pending requests. Its mutex also guards their sent flags.
	streams struct {
		sync.Mutex
		// next is the last stream id in use.
		next    StreamID
		pending map[StreamID]*pendingReply
	}
}

// pendingReply is a request whose reply has not arrived.
type pendingReply struct {
	reply chan Reply
	// sent reports whether bytes of the request may have been written.
	sent bool
	kind Kind
}

// openStream registers a new request.
func (c *clientConn) openStream(kind Kind) (StreamID, *pendingReply) {
	w := &pendingReply{reply: make(chan Reply, 1), kind: kind}
	c.streams.Lock()
	defer c.streams.Unlock()
	c.streams.next++
	c.streams.pending[c.streams.next] = w
	return c.streams.next, w
}

// replyTreatment returns how the reply to a request is read in parts. Replies that carry no
// response of an instance need no reservation, so that nodes exchange records while callers
// use the memory up.
func (c *clientConn) replyTreatment(stream StreamID) treatment {
	c.streams.Lock()
	defer c.streams.Unlock()
	w := c.streams.pending[stream]
	switch {
	case w == nil:
		return treatUnwanted
	case w.kind == KindRun || w.kind == KindAsk:
		return treatReserved
	}
	return treatExempt
}

// dropStream removes a request and reports whether it was still pending.
func (c *clientConn) dropStream(stream StreamID) bool {
	c.streams.Lock()
	defer c.streams.Unlock()
	_, found := c.streams.pending[stream]
	delete(c.streams.pending, stream)
	return found
}

func (c *clientConn) awaitsReply() bool {
	c.streams.Lock()
	defer c.streams.Unlock()
	return len(c.streams.pending) > 0
}

// markSent records that the requests are about to be written.
func (c *clientConn) markSent(requests []queuedRequest) {
	c.streams.Lock()
	defer c.streams.Unlock()
	for _, q := range requests {
		if w := c.streams.pending[q.stream]; w != nil {
			w.sent = true
		}
	}
}

// deliver passes a reply to the call that waits for it. Replies to dropped
// requests are discarded.
func (c *clientConn) deliver(stream StreamID, r Reply) {
	c.streams.Lock()
	w := c.streams.pending[stream]
	delete(c.streams.pending, stream)
	c.streams.Unlock()
	if w != nil {
		w.reply <- r
	} else {
		r.Release()
	}
}

// replyOf returns the reply in a message.
func (c *clientConn) replyOf(m message) Reply {
	r := Reply{Payload: m.payload, Incarnation: c.incarnation, reserved: m.reserved, budget: c.budget}
	if m.discarded {
		r.err = &ReplyDiscardedError{}
	}
	return r
}

// failPending fails all pending requests after the connection was lost: with
// *ConnectionLostError when the request may have been sent, otherwise with
// *NotSentError.
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

package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/memory"
)

// serverConn is one connection from a peer.
type serverConn struct {
	*framer
	// smallCalls is Server.SmallCalls.
	smallCalls *memory.Budget
	// ended is closed when serveConn has returned.
	ended chan struct{}
	// handlers counts the requests whose reply is not queued yet.
	handlers sync.WaitGroup
	// held holds the requests that were read and are not being handled yet. It belongs to
	// the reading goroutine.
	held []*serverRequest
	// mu guards the fields below.
	mu sync.Mutex
	// requests holds the requests that were read and whose reply is not queued yet.
	requests map[StreamID]*serverRequest
	// greeted reports whether the handshake message of the peer was read, closing
	// whether no more requests are taken.
	greeted, closing bool
}

// serverRequest is a request of a peer.
type serverRequest struct {
	Request
	stream StreamID
	// ctx is the context of the handler.
	ctx context.Context
	// cancel ends Wanted, and lose ends ctx only.
	cancel, lose context.CancelCauseFunc
	// reserved is the number of bytes to release from the budget at the end, and small that to
	// release from the budget of small calls.
	reserved, small int64
}

// addConn adds an accepted connection. It returns false if the server is closed.
func (s *Server) addConn(c *serverConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.conns == nil {
		s.conns = map[*serverConn]struct{}{}
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) removeConn(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// startHeld handles the requests that are held, all at the same time. Only
// the reading goroutine calls it.
func (s *Server) startHeld(c *serverConn) {
	for _, r := range c.held {
		s.workers.run(func() { s.handle(c, r) })
	}
	clear(c.held)
	c.held = c.held[:0]
}

// startRequests records the handshake. It returns false if the connection closes.
func (c *serverConn) startRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.greeted = true
	return !c.closing
}

// stopRequests makes takeRequest fail. It returns false if the connection is still in
// its handshake.
func (c *serverConn) stopRequests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	return c.greeted
}

// takeRequest registers a request to be handled. It returns nil if the connection
// closes.
func (c *serverConn) takeRequest(m message) *serverRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		c.release(m.reserved)
		return nil
	}
	small := c.reserveSmall(&m)
	r := &serverRequest{stream: m.stream, reserved: m.reserved, small: small, Request: Request{Kind: m.kind, Payload: m.payload, Discarded: m.discarded}}
	r.Wanted, r.cancel = context.WithCancelCause(context.Background())
	r.ctx, r.lose = context.WithCancelCause(r.Wanted)
	c.requests[m.stream] = r
	c.handlers.Add(1)
	return r
}

// reserveSmall reserves memory for a call that arrived in one frame and is not tiny, and returns
// the number of bytes. If there is no room, the call is discarded.
func (c *serverConn) reserveSmall(m *message) int64 {
	if c.smallCalls == nil || m.kind != KindRun || m.reserved > 0 || m.discarded {
		return 0
	}
	n := memory.Counted(len(m.payload))
	if n > 0 && !c.smallCalls.Reserve(n) {
		m.payload, m.discarded = nil, true
		return 0
	}
	return n
}

// endRequest releases a request that was handled.
func (c *serverConn) endRequest(r *serverRequest) {
	c.mu.Lock()
	delete(c.requests, r.stream)
	c.mu.Unlock()
	c.release(r.reserved)
	if r.small > 0 {
		c.smallCalls.Release(r.small)
	}
	r.cancel(nil)
}

// dropHeld drops the requests that are held when the connection is lost: their peer can
// have no reply, and is told that they have not run if it asks.
func (c *serverConn) dropHeld() {
	for _, r := range c.held {
		c.endRequest(r)
		c.handlers.Done()
	}
	c.held = nil
}

// cancelRequest cancels the request of a stream, if it is still being handled.
func (c *serverConn) cancelRequest(stream StreamID) {
	c.mu.Lock()
	r := c.requests[stream]
	c.mu.Unlock()
	if r != nil {
		r.cancel(&CancelledError{At: c.clock.Now()})
	}
}

// finish closes the connection once the requests being handled are answered and the
// peer has received that. It does not wait longer once the peer has received too little in
// the timeout, or after the limit.
func (c *serverConn) finish(timeout, limit time.Duration) {
	if !c.stopRequests() {
		c.close()
		return
	}
	go func() {
		c.handlers.Wait()
		c.finishWrites()
	}()
	if !c.awaitEnd(timeout, limit) {
		c.close()
	}
}

// awaitEnd waits until the connection has ended. It returns false once the peer has not
// received closeProgressBytes for the timeout, or after the limit.
func (c *serverConn) awaitEnd(timeout, limit time.Duration) bool {
	started := c.clock.Now()
	confirmedAt, confirmed := started, c.confirmedBytes()
	for {
		select {
		case <-c.ended:
			return true
		case <-c.clock.After(min(closePollInterval, timeout)):
		}
		now := c.clock.Now()
		if n := c.confirmedBytes(); n >= confirmed+closeProgressBytes {
			confirmedAt, confirmed = now, n
		}
		if now.Sub(confirmedAt) >= timeout || now.Sub(started) >= limit {
			return false
		}
	}
}

// close closes the connection and ends the contexts of its requests.
func (c *serverConn) close() {
	c.closeWithError(net.ErrClosed)
	cause := c.cause()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		r.lose(cause)
	}
}

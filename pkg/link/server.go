package link

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Request is one message that a peer wants answered.
type Request struct {
	Kind    Kind
	Payload []byte
}

// Handler answers a request. Ctx ends when the peer no longer waits, with
// *CancelledError as its cause, or when the connection is lost, with another.
// A nil reply sends nothing.
type Handler func(ctx context.Context, r Request) proto.Message

// Server accepts links from peers. Set its fields before Serve.
type Server struct {
	Clock  clock.Clock
	Hello  func() *linkrpc.Hello
	Handle Handler
	// OnStatus receives what a peer tells of itself; nil is allowed.
	OnStatus func(*linkrpc.Status)
	// OnUnreadableStatus is told of a status that cannot be read; nil is allowed.
	OnUnreadableStatus func(error)

	mu    sync.Mutex
	conns map[*framer]struct{}
}

// CancelledError is the cause of a context whose peer no longer waits.
type CancelledError struct{}

// Error implements error.
func (e *CancelledError) Error() string { return "the peer no longer waits for the answer" }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go s.serveConn(conn)
	}
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.conns {
		f.closeWithError(net.ErrClosed)
	}
}

// serverConn is one connection from a peer.
type serverConn struct {
	*framer
	mu sync.Mutex
	// cancels holds how to end the requests that run.
	cancels map[StreamID]context.CancelCauseFunc
}

func (s *Server) serveConn(netConn net.Conn) {
	c := &serverConn{framer: newFramer(netConn, s.Clock, nil), cancels: map[StreamID]context.CancelCauseFunc{}}
	go c.writeLoop()
	defer c.close()
	_ = netConn.SetReadDeadline(s.Clock.Now().Add(dialTimeout))
	if kind, _, _, err := c.readMessage(); err != nil || kind != KindHello {
		return
	}
	_ = netConn.SetReadDeadline(time.Time{})
	if c.send(KindHello, 0, s.Hello(), false) != nil {
		return
	}
	s.trackConn(c.framer, true)
	defer s.trackConn(c.framer, false)
	for {
		kind, stream, payload, err := c.readMessage()
		if err != nil {
			c.closeWithError(err)
			return
		}
		s.dispatch(c, kind, stream, payload)
	}
}

func (s *Server) trackConn(f *framer, add bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = map[*framer]struct{}{}
	}
	if add {
		s.conns[f] = struct{}{}
	} else {
		delete(s.conns, f)
	}
}

func (s *Server) dispatch(c *serverConn, kind Kind, stream StreamID, payload []byte) {
	switch kind {
	case KindPing:
		_ = c.send(KindPong, 0, nil, false)
	case KindCancel:
		c.cancelRequest(stream)
	case KindStatus:
		s.handleStatus(payload)
	case KindRun, KindAsk, KindTokenRequest:
		ctx, cancel := context.WithCancelCause(context.Background())
		c.mu.Lock()
		c.cancels[stream] = cancel
		c.mu.Unlock()
		go func() {
			reply := s.Handle(ctx, Request{Kind: kind, Payload: payload})
			c.mu.Lock()
			delete(c.cancels, stream)
			c.mu.Unlock()
			cancel(nil)
			if reply != nil {
				_ = c.send(KindReply, stream, reply, false)
			}
		}()
	}
}

// handleStatus hands on what a peer tells of itself.
func (s *Server) handleStatus(payload []byte) {
	status := &linkrpc.Status{}
	err := proto.Unmarshal(payload, status)
	switch {
	case err == nil && s.OnStatus != nil:
		s.OnStatus(status)
	case err != nil && s.OnUnreadableStatus != nil:
		s.OnUnreadableStatus(err)
	}
}

// cancelRequest ends the request of a stream that its peer gave up.
func (c *serverConn) cancelRequest(stream StreamID) {
	c.mu.Lock()
	cancel := c.cancels[stream]
	c.mu.Unlock()
	if cancel != nil {
		cancel(&CancelledError{})
	}
}

// close ends the requests of a connection that is lost.
func (c *serverConn) close() {
	c.closeWithError(net.ErrClosed)
	cause := c.closeCause()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancels {
		cancel(cause)
	}
}

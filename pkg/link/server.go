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

// Request is a message from a peer that expects a reply.
type Request struct {
	Kind    Kind
	Payload []byte
}

// Handler handles a request and returns the reply; nil sends none. The context is
// cancelled with the cause *CancelledError when the peer cancels the request, and
// with another cause when the connection is lost. Requests of one connection are
// handled concurrently.
type Handler func(ctx context.Context, r Request) proto.Message

// Server accepts connections from peers. Set the exported fields before Serve.
type Server struct {
	Clock clock.Clock
	// Hello returns the handshake message that starts each connection.
	Hello  func() *linkrpc.Hello
	Handle Handler
	// OnStatus receives each status message of a peer; nil is allowed.
	OnStatus func(*linkrpc.Status)
	// OnUnreadableStatus receives the error of each status message that cannot be
	// decoded; nil is allowed.
	OnUnreadableStatus func(error)

	// mu guards conns, the connections that have completed the handshake.
	mu    sync.Mutex
	conns map[*framer]struct{}
}

// CancelledError is the cause of a context whose request was cancelled.
type CancelledError struct{}

// Error implements error.
func (e *CancelledError) Error() string { return "request cancelled by the caller" }

// Serve accepts connections until the listener is closed, and returns the error of
// Accept.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go s.serveConn(conn)
	}
}

// Close closes all connections that have completed the handshake. It does not
// close the listener.
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
	// mu guards cancels.
	mu sync.Mutex
	// cancel holds the cancel functions of the requests being handled.
	cancel map[StreamID]context.CancelCauseFunc
}

func (s *Server) serveConn(netConn net.Conn) {
	c := &serverConn{framer: newFramer(netConn, s.Clock, nil), cancel: map[StreamID]context.CancelCauseFunc{}}
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

// dispatch handles one message; requests run in goroutines of their own.
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
		c.cancel[stream] = cancel
		c.mu.Unlock()
		go func() {
			reply := s.Handle(ctx, Request{Kind: kind, Payload: payload})
			c.mu.Lock()
			delete(c.cancel, stream)
			c.mu.Unlock()
			cancel(nil)
			if reply != nil {
				_ = c.send(KindReply, stream, reply, false)
			}
		}()
	}
}

// handleStatus decodes a status message and passes it to OnStatus.
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

// cancelRequest cancels the request of a stream, if it is still being handled.
func (c *serverConn) cancelRequest(stream StreamID) {
	c.mu.Lock()
	cancel := c.cancel[stream]
	c.mu.Unlock()
	if cancel != nil {
		cancel(&CancelledError{})
	}
}

// close closes the connection and cancels its requests.
func (c *serverConn) close() {
	c.closeWithError(net.ErrClosed)
	cause := c.cause()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancel {
		cancel(cause)
	}
}

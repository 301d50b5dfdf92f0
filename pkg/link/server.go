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
	// Status receives what a peer tells of itself; nil is allowed.
	Status func(*linkrpc.Status)
	// Unreadable is told of a status that cannot be read; nil is allowed.
	Unreadable func(error)

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
		go s.serve(conn)
	}
}

// Close ends all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.conns {
		f.fail(net.ErrClosed)
	}
}

// incoming is one connection from a peer.
type incoming struct {
	*framer
	mu sync.Mutex
	// cancel holds how to end the requests that run.
	cancel map[Stream]context.CancelCauseFunc
}

func (s *Server) serve(conn net.Conn) {
	c := &incoming{framer: newFramer(conn, s.Clock, nil), cancel: map[Stream]context.CancelCauseFunc{}}
	go c.write()
	defer c.end()
	_ = conn.SetReadDeadline(s.Clock.Now().Add(dialTimeout))
	if kind, _, _, err := c.read(); err != nil || kind != KindHello {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if c.send(KindHello, 0, s.Hello(), false) != nil {
		return
	}
	s.track(c.framer, true)
	defer s.track(c.framer, false)
	for {
		kind, stream, payload, err := c.read()
		if err != nil {
			c.fail(err)
			return
		}
		s.take(c, kind, stream, payload)
	}
}

func (s *Server) track(f *framer, add bool) {
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

func (s *Server) take(c *incoming, kind Kind, stream Stream, payload []byte) {
	switch kind {
	case KindPing:
		_ = c.send(KindPong, 0, nil, false)
	case KindCancel:
		c.stop(stream)
	case KindStatus:
		s.hear(payload)
	case KindRun, KindAsk, KindTokens:
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

// hear hands on what a peer tells of itself.
func (s *Server) hear(payload []byte) {
	status := &linkrpc.Status{}
	err := proto.Unmarshal(payload, status)
	switch {
	case err == nil && s.Status != nil:
		s.Status(status)
	case err != nil && s.Unreadable != nil:
		s.Unreadable(err)
	}
}

// stop ends the request of a stream that its peer gave up.
func (c *incoming) stop(stream Stream) {
	c.mu.Lock()
	cancel := c.cancel[stream]
	c.mu.Unlock()
	if cancel != nil {
		cancel(&CancelledError{})
	}
}

// end ends the requests of a connection that is lost.
func (c *incoming) end() {
	c.fail(net.ErrClosed)
	cause := c.cause()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancel {
		cancel(cause)
	}
}

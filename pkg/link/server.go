package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/recovery"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// defaultCloseTimeout is the value of Server.CloseTimeout where none is set.
	defaultCloseTimeout = 250 * time.Millisecond
	// defaultCloseLimit is the result of Server.CloseLimit where none is set.
	defaultCloseLimit = 3 * time.Second
	// closePollInterval is the time between two looks at what the peer of a closing
	// connection has received.
	closePollInterval = 10 * time.Millisecond
	// closeProgressBytes is what a peer that reads receives in Server.CloseTimeout. The
	// system of a peer that does not takes one segment of at most 64 KB now and then, and
	// answers to pings are a few bytes.
	closeProgressBytes = 128 << 10
	// maxHeldRequests is the number of requests that are read before they are handled.
	maxHeldRequests = 256
	// acceptRetryInterval is the time after which an Accept that failed for lack of
	// resources is tried again.
	acceptRetryInterval = 20 * time.Millisecond
	// maxReplyWait bounds how long the reply to a query waits for memory.
	maxReplyWait = 250 * time.Millisecond
	// backlogPollInterval is the time between two looks at a full send queue.
	backlogPollInterval = 10 * time.Millisecond
)

// Request is a message from a peer that expects a reply.
type Request struct {
	Kind    Kind
	Payload []byte
	// Discarded reports that the message was read without its payload, as Server.Budget or
	// Server.SmallCalls had no room for it.
	Discarded bool
	// Wanted ends with the cause *CancelledError when the peer cancels the request. It
	// does not end with the connection.
	Wanted context.Context
}

// Handler handles a request and returns the reply; nil sends none. The context is a
// child of Request.Wanted. It ends with another cause when the connection is lost.
// Requests of one connection are handled concurrently. A request is handled once
// what the peer has sent after it was read, so that a cancellation that has arrived
// counts.
type Handler func(ctx context.Context, r Request) proto.Message

// Server accepts connections from peers. Set the exported fields before Serve.
type Server struct {
	Clock clock.Clock
	// Hello returns the handshake message that starts each connection.
	Hello  func() *linkrpc.Hello
	Handle Handler
	// OnStatus receives each status message of a peer; nil is allowed.
	OnStatus func(*linkrpc.Status)
	// OnTokenGifts receives the gifts of a peer; nil is allowed.
	OnTokenGifts func(*linkrpc.TokenGifts)
	// OnReports receives the reports that a peer passes on; nil is allowed.
	OnReports func(*linkrpc.Reports)
	// OnUnreadable receives the error of each message without a reply that cannot be
	// decoded; nil is allowed.
	OnUnreadable func(error)
	// OnUnencodable receives an *EncodeError for each reply that cannot be encoded; nil is
	// allowed. The peer gets the reply of substituteReply instead.
	OnUnencodable func(error)
	// OnPanic receives *recovery.PanicError if the handling of a message panics; nil is
	// allowed. A request gets no reply then.
	OnPanic func(error)
	// OnAcceptError receives the error of each Accept that is tried again; nil is allowed.
	OnAcceptError func(error)

	// Budget bounds the bytes of the requests that arrive in parts, until they are
	// answered; nil means no bound.
	Budget *memory.Budget
	// SmallCalls bounds the bytes of the calls (KindRun) that arrive in one frame and are not
	// tiny, until they are answered; nil means no bound.
	SmallCalls *memory.Budget
	// Replies bounds the memory for bodies of replies until they are written. Handle has
	// reserved memory.Counted bytes for the body of an outcome that it returns for a KindRun.
	Replies memory.Tiers

	// CloseTimeout bounds how long Close waits for the requests being handled, the
	// writing of their replies and the peers' receipt of these. It begins again each time
	// that a peer has received closeProgressBytes. 0 means defaultCloseTimeout.
	CloseTimeout time.Duration
	// CloseLimit returns how long Close may take at most, although peers receive replies.
	// It is called when Close begins. At least CloseTimeout is used; nil means
	// defaultCloseLimit.
	CloseLimit func() time.Duration

	// mu guards conns and closed.
	mu sync.Mutex
	// conns holds the open connections, including those in their handshake.
	conns map[*serverConn]struct{}
	// closed is set by Close.
	closed  bool
	workers workers
}

// CancelledError is the cause of a context whose request was cancelled.
type CancelledError struct {
	// At is when the cancellation was read.
	At time.Time
}

// Error implements error.
func (e *CancelledError) Error() string { return "request cancelled by the caller" }

// Serve accepts connections until the listener is closed, and returns the error of
// Accept. It passes over a lack of descriptors or memory.
func (s *Server) Serve(l net.Listener) error {
	pending := &handshakes{clock: s.Clock, hasData: connection.IsUnread}
	for {
		conn, err := l.Accept()
		switch {
		case err == nil:
			h := pending.add(conn)
			go s.serveConn(conn, func() { pending.remove(h) })
		case connection.IsResourceShortage(err):
			if s.OnAcceptError != nil {
				s.OnAcceptError(err)
			}
			<-s.Clock.After(acceptRetryInterval)
		default:
			return err
		}
	}
}

// Close closes all connections, and those that are accepted later. It takes no more
// requests, and waits for the replies to those being handled and until the peers have
// received them, as CloseTimeout and CloseLimit say. It does not close the listener.
func (s *Server) Close() {
	timeout, limit := s.closeBounds()
	var group sync.WaitGroup
	s.mu.Lock()
	if !s.closed {
		s.workers.stop()
	}
	s.closed = true
	for c := range s.conns {
		group.Go(func() { c.finish(timeout, limit) })
	}
	s.mu.Unlock()
	group.Wait()
}

// closeBounds returns the CloseTimeout and CloseLimit in use.
func (s *Server) closeBounds() (timeout, limit time.Duration) {
	timeout, limit = s.CloseTimeout, defaultCloseLimit
	if timeout == 0 {
		timeout = defaultCloseTimeout
	}
	if s.CloseLimit != nil {
		limit = s.CloseLimit()
	}
	return timeout, max(limit, timeout)
}

// serveConn serves a connection, and calls handshakeEnded once its handshake has ended.
func (s *Server) serveConn(netConn net.Conn, handshakeEnded func()) {
	defer handshakeEnded()
	c := &serverConn{framer: newFramer(netConn, s.Clock, nil), ended: make(chan struct{}), requests: map[StreamID]*serverRequest{}}
	c.budget, c.replies, c.smallCalls = s.Budget, s.Replies, s.SmallCalls
	defer close(c.ended)
	defer c.dropPartials()
	defer c.close()
	if !s.addConn(c) {
		return
	}
	defer s.removeConn(c)
	go c.writeLoop()
	_ = netConn.SetReadDeadline(s.Clock.Now().Add(dialTimeout))
	first, err := c.readMessageUpTo(maxHelloBytes)
	if err != nil || first.kind != KindHello || !c.startRequests() {
		return
	}
	hello := &linkrpc.Hello{}
	if err := proto.Unmarshal(first.payload, hello); err != nil {
		c.closeWithError(&FrameError{Length: len(first.payload)})
		return
	}
	_ = netConn.SetReadDeadline(time.Time{})
	handshakeEnded()
	if c.send(KindHello, 0, withCapabilities(s.Hello()), false) != nil {
		return
	}
	c.acceptParts(hello.AcceptsParts)
	c.source.beforeWait = func() { s.startHeld(c) }
	defer c.dropHeld()
	for {
		m, err := c.readMessage()
		if err != nil {
			c.closeWithError(err)
			return
		}
		s.dispatch(c, m)
	}
}

// withCapabilities returns the handshake message with what this build understands beyond
// the first one.
func withCapabilities(hello *linkrpc.Hello) *linkrpc.Hello {
	hello.AcceptsParts, hello.RelaysTopics, hello.PoolsTokens, hello.PassesReports = true, true, true, true
	return hello
}

// dispatch handles one message. Requests are held until startHeld.
func (s *Server) dispatch(c *serverConn, m message) {
	switch m.kind {
	case KindPing:
		_ = c.send(KindPong, 0, nil, false)
	case KindCancel:
		c.cancelRequest(m.stream)
	case KindStatus:
		notify(s, m.payload, &linkrpc.Status{}, s.OnStatus)
	case KindTokenGifts:
		notify(s, m.payload, &linkrpc.TokenGifts{}, s.OnTokenGifts)
	case KindReports:
		notify(s, m.payload, &linkrpc.Reports{}, s.OnReports)
	case KindRun, KindAsk, KindTokenRequest, KindTopicRead, KindDeparture:
		if r := c.takeRequest(m); r != nil {
			c.held = append(c.held, r)
		}
		if len(c.held) >= maxHeldRequests {
			s.startHeld(c)
		}
	}
}

// handle handles a request and queues its reply.
func (s *Server) handle(c *serverConn, r *serverRequest) {
	defer c.handlers.Done()
	var reply proto.Message
	s.guard("a request of a peer", func() { reply = s.Handle(r.ctx, r.Request) })
	c.endRequest(r)
	if reply != nil {
		s.reply(c, r, reply)
	}
}

// reply queues the reply to a request, or another one if it cannot be encoded: the peer would
// wait for a reply that is dropped until the time of its request has passed. Only a connection
// that is closed takes no reply, which its peer learns.
func (s *Server) reply(c *serverConn, r *serverRequest, reply proto.Message) {
	reserved, ok := s.reserveReply(r, reply)
	if !ok {
		_ = s.queueReply(c, r.stream, substituteReply(r.Kind), 0)
		return
	}
	err := s.queueReply(c, r.stream, reply, reserved)
	if reportUnencodable(err, s.OnUnencodable) {
		_ = s.queueReply(c, r.stream, substituteReply(r.Kind), 0)
	}
}

// reserveReply returns the number of bytes reserved for a reply. It returns false if there is
// no memory for it.
func (s *Server) reserveReply(r *serverRequest, reply proto.Message) (reserved int64, ok bool) {
	outcome, isOutcome := reply.(*linkrpc.Outcome)
	if !isOutcome {
		return 0, true
	}
	reserved = memory.Counted(len(outcome.Body))
	return reserved, r.Kind == KindRun || s.Replies.AwaitResize(s.Clock, 0, reserved, maxReplyWait)
}

// substituteReply returns the reply to a request whose own reply cannot be encoded. A call may
// have run. All other replies are empty, which grants nothing and tells nothing.
func substituteReply(request Kind) proto.Message {
	switch request {
	case KindRun, KindAsk:
		return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_LOST, Reason: linkrpc.Reason_REASON_BROKEN}
	}
	return nil
}

// queueReply queues a reply. While the queue is full it waits. The bytes reserved for the reply
// are released once it is written, or cannot be.
func (s *Server) queueReply(c *serverConn, stream StreamID, reply proto.Message, reserved int64) error {
	for {
		err := c.sendReserved(KindReply, stream, reply, false, reserved)
		if err == nil {
			return nil
		}
		var backlog *BacklogError
		if !errors.As(err, &backlog) {
			s.Replies.Release(reserved)
			return err
		}
		select {
		case <-c.ended:
			s.Replies.Release(reserved)
			return err
		case <-s.Clock.After(backlogPollInterval):
		}
	}
}

// notify decodes a message that has no reply and passes it to a function, which may be nil.
func notify[M proto.Message](s *Server, payload []byte, message M, handle func(M)) {
	err := proto.Unmarshal(payload, message)
	switch {
	case err == nil && handle != nil:
		s.guard("a message of a peer", func() { handle(message) })
	case err != nil && s.OnUnreadable != nil:
		s.OnUnreadable(err)
	}
}

// guard does a piece of work. If it panics, OnPanic is told, and nothing else ends.
func (s *Server) guard(work string, do func()) {
	if err := recovery.Run(work, do); err != nil && s.OnPanic != nil {
		s.OnPanic(err)
	}
}

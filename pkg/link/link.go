package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// busyPingAfter is the time without data from a peer with outstanding requests
	// after which it is pinged; idlePingAfter is the same for a peer without any.
	busyPingAfter = 200 * time.Millisecond
	idlePingAfter = 1500 * time.Millisecond
	// pongTimeout is how long a pinged peer may take to send any message.
	pongTimeout = 700 * time.Millisecond
	// redialDelay is the delay after a failed dial during which calls fail at once
	// instead of dialling again.
	redialDelay = 300 * time.Millisecond
)

// Reply is the reply to a request, with the incarnation of the peer that sent it.
type Reply struct {
	Payload     []byte
	Incarnation uint64
	err         error
	// reserved is the number of bytes that Release returns to budget.
	reserved int64
	budget   *memory.Budget
}

// Release ends the reservation for the payload, which is not counted afterwards. It is
// called once for each reply without an error.
func (r *Reply) Release() {
	if r.budget != nil && r.reserved > 0 {
		r.budget.Release(r.reserved)
	}
}

// Link is a client connection to one peer, dialled on demand and again after it
// was lost. Set the exported fields before use. Its methods are safe for
// concurrent use, except CheckLiveness.
type Link struct {
	// Address is the host:port address of the peer.
	Address string
	Clock   clock.Clock
	// Hello returns the handshake message that starts each connection.
	Hello func() *linkrpc.Hello
	// Dial connects to the peer; nil means DialTCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnStateChange is called after each dial and after a connection was lost, with
	// the cause of a failure; nil is allowed.
	OnStateChange func(connected bool, cause error)
	// OnUnencodable receives an *EncodeError for each message that cannot be encoded; nil is
	// allowed.
	OnUnencodable func(error)
	// Budget bounds the bytes of the replies that arrive in parts, until they are released;
	// nil means no bound.
	Budget *memory.Budget

	// mu guards the fields below, except connected.
	mu sync.Mutex
	// conn is the open connection, or nil.
	conn *clientConn
	// dialDone is closed when the dial in progress ends; nil while there is none.
	dialDone chan struct{}
	// dialErr is the error of the last dial; after a failure the next one waits
	// until retryAt.
	dialErr error
	retryAt time.Time
	// connected reports whether conn is set.
	connected atomic.Bool
	closed    bool
}

// Connected reports whether a connection to the peer is open.
func (l *Link) Connected() bool { return l.connected.Load() }

// Reachable reports whether the peer is connected or may be dialled now.
func (l *Link) Reachable() bool {
	if l.connected.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.Clock.Now().Before(l.retryAt)
}

// Call sends a request and waits for its reply. When ctx ends before the request is
// written, nothing is sent, and Call returns *NotSentError with the error of ctx. When it
// ends later, Call sends a cancellation to the peer and returns the error of ctx. Other
// errors are *NotSentError and *ConnectionLostError.
func (l *Link) Call(ctx context.Context, kind Kind, message proto.Message) (Reply, error) {
	c, err := l.connect(ctx)
	if err != nil {
		return Reply{}, &NotSentError{Cause: err}
	}
	if err := ctx.Err(); err != nil {
		return Reply{}, &NotSentError{Cause: err}
	}
	if kind == KindTopicRead && !c.peer.RelaysTopics {
		return Reply{}, &NotSentError{Cause: &UnsupportedError{Kind: kind}}
	}
	stream, pending := c.openStream(kind)
	if err := c.send(kind, stream, message, true); err != nil {
		c.dropStream(stream)
		reportUnencodable(err, l.OnUnencodable)
		return Reply{}, &NotSentError{Cause: err}
	}
	select {
	case r := <-pending.reply:
		return r, r.err
	case <-ctx.Done():
		if c.dropStream(stream) {
			if c.withdraw(stream) {
				return Reply{}, &NotSentError{Cause: ctx.Err()}
			}
			// On a closed connection the peer knows that nobody waits.
			_ = c.send(KindCancel, stream, nil, false)
			return Reply{Incarnation: c.incarnation}, ctx.Err()
		}
		r := <-pending.reply
		return r, r.err
	}
}

// Notify sends a message that has no reply. It drops the message, and returns false, when
// no connection is open, its send queue is full or the message cannot be encoded.
func (l *Link) Notify(kind Kind, message proto.Message) bool {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c == nil {
		return false
	}
	err := c.send(kind, 0, message, false)
	reportUnencodable(err, l.OnUnencodable)
	return err == nil
}

// Peer returns the handshake message of the connected peer, or nil while no connection is
// open. Its capabilities are those of the peer's build.
func (l *Link) Peer() *linkrpc.Hello {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return nil
	}
	return l.conn.peer
}

// Close closes the connection and prevents new ones.
func (l *Link) Close() {
	l.mu.Lock()
	c := l.conn
	l.closed = true
	l.mu.Unlock()
	if c != nil {
		c.closeWithError(net.ErrClosed)
	}
}

// Connect dials the peer unless a connection is open.
func (l *Link) Connect(ctx context.Context) error {
	_, err := l.connect(ctx)
	return err
}

// connect returns the open connection, or waits for one dial that all concurrent
// callers share.
func (l *Link) connect(ctx context.Context) (*clientConn, error) {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return nil, net.ErrClosed
		}
		if l.conn != nil {
			c := l.conn
			l.mu.Unlock()
			return c, nil
		}
		if l.dialErr != nil && l.Clock.Now().Before(l.retryAt) {
			err := l.dialErr
			l.mu.Unlock()
			return nil, err
		}
		if l.dialDone == nil {
			l.dialDone = make(chan struct{})
			go l.dial()
		}
		done := l.dialDone
		l.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *Link) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := l.handshake(ctx)
	l.mu.Lock()
	if err == nil && l.closed {
		c.closeWithError(net.ErrClosed)
		c, err = nil, net.ErrClosed
	}
	done := l.dialDone
	l.dialDone, l.conn, l.dialErr = nil, c, err
	if err != nil {
		l.retryAt = l.Clock.Now().Add(redialDelay)
	} else {
		l.connected.Store(true)
	}
	l.mu.Unlock()
	close(done)
	if l.OnStateChange != nil {
		l.OnStateChange(err == nil, err)
	}
	if err == nil {
		// Its end takes the connection out of use, which must be in use before.
		go l.readReplies(c)
	}
}

// handshake dials the peer and exchanges hello messages.
func (l *Link) handshake(ctx context.Context) (*clientConn, error) {
	dial := l.Dial
	if dial == nil {
		dial = DialTCP
	}
	conn, err := dial(ctx, l.Address)
	if err != nil {
		return nil, err
	}
	c := &clientConn{}
	c.framer = newFramer(conn, l.Clock, c.markSent)
	c.budget, c.treatment = l.Budget, c.replyTreatment
	c.streams.pending = map[StreamID]*pendingReply{}
	go c.writeLoop()
	if err := c.send(KindHello, 0, withCapabilities(l.Hello()), false); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(l.Clock.Now().Add(dialTimeout))
	first, err := c.readMessage()
	if err != nil {
		c.closeWithError(err)
		return nil, err
	}
	hello := &linkrpc.Hello{}
	if err := proto.Unmarshal(first.payload, hello); err != nil || first.kind != KindHello {
		c.closeWithError(&FrameError{Length: len(first.payload)})
		return nil, &FrameError{Length: len(first.payload)}
	}
	c.acceptParts(hello.AcceptsParts)
	_ = conn.SetReadDeadline(time.Time{})
	c.incarnation, c.peer = hello.Incarnation, hello
	c.lastRead.Store(int64(clock.MonotonicOf(l.Clock.Now())))
	return c, nil
}

// readReplies delivers replies to the waiting calls until the connection fails.
func (l *Link) readReplies(c *clientConn) {
	for {
		m, err := c.readMessage()
		if err != nil {
			c.closeWithError(err)
			break
		}
		c.lastRead.Store(int64(clock.MonotonicOf(l.Clock.Now())))
		if m.kind == KindReply {
			c.deliver(m.stream, c.replyOf(m))
		} else {
			c.release(m.reserved)
		}
	}
	c.dropPartials()
	l.mu.Lock()
	if l.conn == c {
		l.conn = nil
		l.connected.Store(false)
	}
	l.mu.Unlock()
	cause := c.cause()
	c.failPending(cause)
	if l.OnStateChange != nil {
		l.OnStateChange(false, cause)
	}
}

// CheckLiveness pings a peer that has sent nothing recently, and closes the
// connection when no message follows within pongTimeout. One goroutine must call
// it several times a second.
func (l *Link) CheckLiveness() {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c == nil {
		return
	}
	now := clock.MonotonicOf(l.Clock.Now())
	lastMessage, lastPing := clock.Monotonic(c.lastRead.Load()), c.lastPing
	sinceLastRead := now.Sub(lastMessage)
	pingAfter := idlePingAfter
	if c.awaitsReply() {
		pingAfter = busyPingAfter
	}
	switch {
	case lastPing > lastMessage && now.Sub(lastPing) > pongTimeout:
		c.closeWithError(&UnresponsiveError{SinceLastRead: sinceLastRead})
	case lastPing <= lastMessage && sinceLastRead > pingAfter:
		c.lastPing = now
		_ = c.send(KindPing, 0, nil, false)
	}
}

package link

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// busyPingAfter is how long a peer that owes answers may be quiet before it is
	// asked for a sign of life, idleQuiet the same for one that owes nothing.
	busyPingAfter = 200 * time.Millisecond
	idlePingAfter = 1500 * time.Millisecond
	// pongTimeout is how long a peer may take for a sign of life.
	pongTimeout = 700 * time.Millisecond
	// redialDelay keeps a peer that cannot be reached from being dialled all the time.
	redialDelay = 300 * time.Millisecond
)

// NotSentError reports a message of which no byte was written.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent to the peer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ConnectionLostError reports a connection that ended after a message was sent on it.
type ConnectionLostError struct {
	// Incarnation of the peer that the message was sent to.
	Incarnation uint64
	Cause       error
}

// Error implements error.
func (e *ConnectionLostError) Error() string {
	return "connection to the peer lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// UnresponsiveError reports a connection on which the peer gave no sign of life.
type UnresponsiveError struct {
	SinceLastRead time.Duration
}

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return "the peer is silent for " + e.SinceLastRead.String()
}

// Reply is the answer to a message and the incarnation that gave it.
type Reply struct {
	Payload     []byte
	Incarnation uint64
	err         error
}

// Link is the way to one peer. Set the fields before use.
type Link struct {
	Address string
	Clock   clock.Clock
	// Hello is what this node says of itself at the start of each connection.
	Hello func() *linkrpc.Hello
	// Dial opens a connection; nil stands for DialTCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnStateChange is told when the peer is reached or lost; nil is allowed.
	OnStateChange func(connected bool, cause error)

	mu        sync.Mutex
	conn      *clientConn
	dialDone  chan struct{}
	dialErr   error
	retryAt   time.Time
	connected atomic.Bool
	closed    bool
}

// Connected tells whether a connection to the peer stands.
func (l *Link) Connected() bool { return l.connected.Load() }

// Reachable tells whether the peer is connected or may be dialled now.
func (l *Link) Reachable() bool {
	if l.connected.Load() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.closed && !l.Clock.Now().Before(l.retryAt)
}

// Call sends a message and waits for its reply. When ctx ends first, the peer is
// told and the error of ctx returned. Other errors are *NotSentError and *LostError.
func (l *Link) Call(ctx context.Context, kind Kind, message proto.Message) (Reply, error) {
	c, err := l.connect(ctx)
	if err != nil {
		return Reply{}, &NotSentError{Cause: err}
	}
	stream, pending := c.openStream()
	if err := c.send(kind, stream, message, true); err != nil {
		c.dropStream(stream)
		return Reply{}, &NotSentError{Cause: err}
	}
	select {
	case r := <-pending.reply:
		return r, r.err
	case <-ctx.Done():
		if c.dropStream(stream) {
			_ = c.send(KindCancel, stream, nil, false)
			return Reply{Incarnation: c.incarnation}, ctx.Err()
		}
		r := <-pending.reply
		return r, r.err
	}
}

// Notify sends a message without a reply, if a connection stands.
func (l *Link) Notify(kind Kind, message proto.Message) {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c != nil {
		_ = c.send(kind, 0, message, false)
	}
}

// Close ends the link for good.
func (l *Link) Close() {
	l.mu.Lock()
	c := l.conn
	l.closed = true
	l.mu.Unlock()
	if c != nil {
		c.closeWithError(net.ErrClosed)
	}
}

// Connect opens the connection unless it stands.
func (l *Link) Connect(ctx context.Context) error {
	_, err := l.connect(ctx)
	return err
}

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
			dialErr := l.dialErr
			l.mu.Unlock()
			return nil, dialErr
		}
		if l.dialDone == nil {
			l.dialDone = make(chan struct{})
			go l.dial()
		}
		dialDone := l.dialDone
		l.mu.Unlock()
		select {
		case <-dialDone:
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
	dialDone := l.dialDone
	l.dialDone, l.conn, l.dialErr = nil, c, err
	if err != nil {
		l.retryAt = l.Clock.Now().Add(redialDelay)
	} else {
		l.connected.Store(true)
	}
	l.mu.Unlock()
	close(dialDone)
	if l.OnStateChange != nil {
		l.OnStateChange(err == nil, err)
	}
}

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
	c.streams.pending = map[StreamID]*pendingReply{}
	go c.writeLoop()
	if err := c.send(KindHello, 0, l.Hello(), false); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(l.Clock.Now().Add(dialTimeout))
	kind, _, payload, err := c.readMessage()
	if err != nil {
		c.closeWithError(err)
		return nil, err
	}
	hello := &linkrpc.Hello{}
	if err := proto.Unmarshal(payload, hello); err != nil || kind != KindHello {
		c.closeWithError(&FrameError{Length: len(payload)})
		return nil, &FrameError{Length: len(payload)}
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.incarnation = hello.Incarnation
	c.lastRead.Store(int64(clock.MomentOf(l.Clock.Now())))
	go l.readReplies(c)
	return c, nil
}

// readReplies hands replies to those who wait until the connection fails.
func (l *Link) readReplies(c *clientConn) {
	for {
		kind, stream, payload, err := c.readMessage()
		if err != nil {
			c.closeWithError(err)
			break
		}
		c.lastRead.Store(int64(clock.MomentOf(l.Clock.Now())))
		if kind == KindReply {
			c.deliver(stream, Reply{Payload: payload, Incarnation: c.incarnation})
		}
	}
	l.mu.Lock()
	if l.conn == c {
		l.conn = nil
		l.connected.Store(false)
	}
	l.mu.Unlock()
	cause := c.closeCause()
	c.failPending(cause)
	if l.OnStateChange != nil {
		l.OnStateChange(false, cause)
	}
}

// CheckLiveness asks a quiet peer for a sign of life, and gives up a connection on which
// none comes. Call it often, a few times a second.
func (l *Link) CheckLiveness() {
	l.mu.Lock()
	c := l.conn
	l.mu.Unlock()
	if c == nil {
		return
	}
	now := clock.MomentOf(l.Clock.Now())
	lastRead, lastPing := clock.Moment(c.lastRead.Load()), c.lastPing
	sinceLastRead := now.Sub(lastRead)
	pingAfter := idlePingAfter
	if c.awaitsReply() {
		pingAfter = busyPingAfter
	}
	switch {
	case lastPing > lastRead && now.Sub(lastPing) > pongTimeout:
		c.closeWithError(&UnresponsiveError{SinceLastRead: sinceLastRead})
	case lastPing <= lastRead && sinceLastRead > pingAfter:
		c.lastPing = now
		_ = c.send(KindPing, 0, nil, false)
	}
}

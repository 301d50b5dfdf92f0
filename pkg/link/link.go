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
	// busyQuiet is how long a peer that owes answers may be quiet before it is
	// asked for a sign of life, idleQuiet the same for one that owes nothing.
	busyQuiet = 200 * time.Millisecond
	idleQuiet = 1500 * time.Millisecond
	// answerWithin is how long a peer may take for a sign of life.
	answerWithin = 700 * time.Millisecond
	// redialPause keeps a peer that cannot be reached from being dialled all the time.
	redialPause = 300 * time.Millisecond
)

// NotSentError reports a message of which no byte was written.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent to the peer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports a connection that ended after a message was sent on it.
type LostError struct {
	// Incarnation of the peer that the message was sent to.
	Incarnation uint64
	Cause       error
}

// Error implements error.
func (e *LostError) Error() string { return "connection to the peer lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// SilentError reports a connection on which the peer gave no sign of life.
type SilentError struct {
	For time.Duration
}

// Error implements error.
func (e *SilentError) Error() string { return "the peer is silent for " + e.For.String() }

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
	// Changed is told when the peer is reached or lost; nil is allowed.
	Changed func(up bool, cause error)

	mu      sync.Mutex
	current *outgoing
	dialing chan struct{}
	failed  error
	retryAt time.Time
	up      atomic.Bool
	closed  bool
}

// Up tells whether a connection to the peer stands.
func (l *Link) Up() bool { return l.up.Load() }

// Reachable tells whether the peer is connected or may be dialled now.
func (l *Link) Reachable() bool {
	if l.up.Load() {
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
	stream, w := c.open()
	if err := c.send(kind, stream, message, true); err != nil {
		c.forget(stream)
		return Reply{}, &NotSentError{Cause: err}
	}
	select {
	case r := <-w.reply:
		return r, r.err
	case <-ctx.Done():
		if c.forget(stream) {
			_ = c.send(KindCancel, stream, nil, false)
			return Reply{Incarnation: c.incarnation}, ctx.Err()
		}
		r := <-w.reply
		return r, r.err
	}
}

// Tell sends a message without a reply, if a connection stands.
func (l *Link) Tell(kind Kind, message proto.Message) {
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	if c != nil {
		_ = c.send(kind, 0, message, false)
	}
}

// Close ends the link for good.
func (l *Link) Close() {
	l.mu.Lock()
	c := l.current
	l.closed = true
	l.mu.Unlock()
	if c != nil {
		c.fail(net.ErrClosed)
	}
}

// Connect opens the connection unless it stands.
func (l *Link) Connect(ctx context.Context) error {
	_, err := l.connect(ctx)
	return err
}

func (l *Link) connect(ctx context.Context) (*outgoing, error) {
	for {
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			return nil, net.ErrClosed
		}
		if l.current != nil {
			c := l.current
			l.mu.Unlock()
			return c, nil
		}
		if l.failed != nil && l.Clock.Now().Before(l.retryAt) {
			err := l.failed
			l.mu.Unlock()
			return nil, err
		}
		if l.dialing == nil {
			l.dialing = make(chan struct{})
			go l.dial()
		}
		done := l.dialing
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
	done := l.dialing
	l.dialing, l.current, l.failed = nil, c, err
	if err != nil {
		l.retryAt = l.Clock.Now().Add(redialPause)
	} else {
		l.up.Store(true)
	}
	l.mu.Unlock()
	close(done)
	if l.Changed != nil {
		l.Changed(err == nil, err)
	}
}

func (l *Link) handshake(ctx context.Context) (*outgoing, error) {
	dial := l.Dial
	if dial == nil {
		dial = DialTCP
	}
	conn, err := dial(ctx, l.Address)
	if err != nil {
		return nil, err
	}
	c := &outgoing{}
	c.framer = newFramer(conn, l.Clock, c.markSent)
	c.streams.waiting = map[Stream]*waiting{}
	go c.write()
	if err := c.send(KindHello, 0, l.Hello(), false); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(l.Clock.Now().Add(dialTimeout))
	kind, _, payload, err := c.read()
	if err != nil {
		c.fail(err)
		return nil, err
	}
	hello := &linkrpc.Hello{}
	if err := proto.Unmarshal(payload, hello); err != nil || kind != KindHello {
		c.fail(&FrameError{Length: len(payload)})
		return nil, &FrameError{Length: len(payload)}
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.incarnation = hello.Incarnation
	c.lastRead.Store(int64(clock.MonotonicOf(l.Clock.Now())))
	go l.serve(c)
	return c, nil
}

// serve hands replies to those who wait until the connection fails.
func (l *Link) serve(c *outgoing) {
	for {
		kind, stream, payload, err := c.read()
		if err != nil {
			c.fail(err)
			break
		}
		c.lastRead.Store(int64(clock.MonotonicOf(l.Clock.Now())))
		if kind == KindReply {
			c.answer(stream, Reply{Payload: payload, Incarnation: c.incarnation})
		}
	}
	l.mu.Lock()
	if l.current == c {
		l.current = nil
		l.up.Store(false)
	}
	l.mu.Unlock()
	cause := c.cause()
	c.abandon(cause)
	if l.Changed != nil {
		l.Changed(false, cause)
	}
}

// Check asks a quiet peer for a sign of life, and gives up a connection on which
// none comes. Call it often, a few times a second.
func (l *Link) Check() {
	l.mu.Lock()
	c := l.current
	l.mu.Unlock()
	if c == nil {
		return
	}
	now := clock.MonotonicOf(l.Clock.Now())
	heard, asked := clock.Monotonic(c.lastRead.Load()), c.asked
	quiet := now.Sub(heard)
	patience := idleQuiet
	if c.owes() {
		patience = busyQuiet
	}
	switch {
	case asked > heard && now.Sub(asked) > answerWithin:
		c.fail(&SilentError{For: quiet})
	case asked <= heard && quiet > patience:
		c.asked = now
		_ = c.send(KindPing, 0, nil, false)
	}
}

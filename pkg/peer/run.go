package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// stallTimeout is how long a call waits for its reply before the reply is fetched
	// over a new connection.
	stallTimeout = time.Second
	// fetchTimeout limits the duration of one fetch.
	fetchTimeout = time.Second
	// maxFetchFailures is the number of consecutive failed fetches after which the peer
	// counts as unresponsive.
	maxFetchFailures = 2
)

// NotSentError is the error of a call that certainly did not reach the peer.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "call not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError is the error of a call that may have reached the peer, and whose execution
// status is unknown.
type LostError struct {
	Cause error
}

// Error implements error.
func (e *LostError) Error() string { return "call sent, reply lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// InvalidReplyError is the error of a call whose reply has a wrong body hash or belongs
// to another call.
type InvalidReplyError struct {
	Call, ReplyCall string
}

// Error implements error.
func (e *InvalidReplyError) Error() string {
	return fmt.Sprintf("reply to call %s is corrupt or belongs to call %q", e.Call, e.ReplyCall)
}

// IsConnectionRefused reports whether err proves that no process listens at the
// address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dialFailed reports whether err shows that no connection was established, so that
// nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Run sends a call to the peer and returns its reply. If no reply arrives within
// stallTimeout, or the connection breaks after the call was sent, Run fetches the reply
// over new connections. A call that has not reached the peer by then is fenced there,
// so that it never starts. The error is a *NotSentError, a *LostError or an
// *InvalidReplyError.
func (p *Peer) Run(ctx context.Context, c clock.Clock, req *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	sent := c.Now()
	if p.ignoreStalls {
		return p.runIgnoringStalls(ctx, c, sent, req)
	}
	sendCtx, cancelSend := context.WithCancel(ctx)
	defer cancelSend()
	f := &replyFetcher{peer: p, callID: req.GetCallId(), cancelSend: cancelSend, done: make(chan struct{})}
	stopTimer := c.AfterFunc(stallTimeout, func() { f.fetch(ctx) })
	reply, err := p.client.Run(sendCtx, req)
	notStalled := stopTimer()
	if err == nil {
		f.received.Store(true)
		return p.check(c, sent, req, reply)
	}
	if notStalled && dialFailed(err) {
		return nil, &NotSentError{Cause: err}
	}
	if notStalled {
		f.fetch(ctx)
	}
	<-f.done
	if f.reply != nil {
		return p.check(c, sent, req, f.reply)
	}
	return nil, &LostError{Cause: errors.Join(err, f.lastError)}
}

// runIgnoringStalls sends a call and waits for its reply until ctx ends.
func (p *Peer) runIgnoringStalls(ctx context.Context, c clock.Clock, sent time.Time, req *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	reply, err := p.client.Run(ctx, req)
	if err != nil {
		return nil, &LostError{Cause: err}
	}
	return p.check(c, sent, req, reply)
}

// check returns the reply if its body hash is right and it belongs to the call. It also
// records the peer's clock. sent is the time before the request was sent.
func (p *Peer) check(c clock.Clock, sent time.Time, req *peerrpc.RunRequest, reply *peerrpc.RunReply) (*peerrpc.RunReply, error) {
	p.SetClock(sent, c.Now(), reply.GetClock())
	if reply.GetCallId() != req.GetCallId() || reply.GetBodyHash() != xxhash.Sum64(reply.GetBody()) {
		return nil, &InvalidReplyError{Call: req.GetCallId(), ReplyCall: reply.GetCallId()}
	}
	return reply, nil
}

// replyFetcher fetches the reply of one call if its first connection stalls or breaks.
type replyFetcher struct {
	peer       *Peer
	callID     string
	cancelSend context.CancelFunc
	// received is set when the reply has arrived on the first connection. It makes
	// fetch stop.
	received atomic.Bool
	// done is closed when fetch returns.
	done chan struct{}
	// reply is the fetched reply, or nil if there is none. It is valid after done.
	reply *peerrpc.RunReply
	// lastError is the error of the last failed fetch, or nil. It is valid after done.
	lastError error
}

// fetch requests the reply until the call has ended, the peer is unresponsive, ctx ends
// or the reply has arrived on the first connection. Then it cancels the first request.
func (f *replyFetcher) fetch(ctx context.Context) {
	defer close(f.done)
	defer f.cancelSend()
	failures := 0
	for failures < maxFetchFailures && ctx.Err() == nil && !f.received.Load() {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		reply, err := f.peer.uncached.Fetch(fetchCtx, &peerrpc.FetchRequest{CallId: f.callID, Seal: true})
		cancel()
		if err != nil {
			failures++
			f.lastError = err
			continue
		}
		failures = 0
		if !reply.GetRunning() {
			f.reply = reply
			break
		}
	}
	f.peer.CloseIdleConnections()
}

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
	// stallTimeout is how long a connection may stay silent before the peer is
	// asked over a new one.
	stallTimeout = time.Second
	// fetchTimeout bounds one such question.
	fetchTimeout = time.Second
	// maxFetchFailures is the number of unanswered questions after which the peer is
	// taken for silent.
	maxFetchFailures = 2
)

// NotSentError reports a call that certainly did not reach the peer.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "call not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// LostError reports a call whose fate is not known.
type LostError struct {
	Cause error
}

// Error implements error.
func (e *LostError) Error() string { return "call sent, answer lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// InvalidReplyError reports an answer that is not whole or not for the call.
type InvalidReplyError struct {
	Call, ReplyCall string
}

// Error implements error.
func (e *InvalidReplyError) Error() string {
	return fmt.Sprintf("answer for call %s is damaged or is for call %q", e.Call, e.ReplyCall)
}

// IsConnectionRefused tells whether err proves that no process listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// dialFailed tells whether no connection was made, so that nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Run sends a call to the peer. If the connection stays silent it asks over
// new connections what became of the call; a call that has not arrived by then
// is sealed, so that it never starts. It returns *NotSentError, *LostError or
// *DamagedError.
func (p *Peer) Run(ctx context.Context, c clock.Clock, req *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	if p.ignoreStalls {
		return p.runIgnoringStalls(ctx, c, req)
	}
	sendCtx, cancelSend := context.WithCancel(ctx)
	defer cancelSend()
	f := &replyFetcher{peer: p, callID: req.GetCallId(), cancelSend: cancelSend, done: make(chan struct{})}
	stopTimer := c.AfterFunc(stallTimeout, func() { f.fetch(ctx) })
	reply, err := p.client.Run(sendCtx, req)
	notStalled := stopTimer()
	if err == nil {
		f.received.Store(true)
		return p.check(c, req, reply)
	}
	if notStalled && dialFailed(err) {
		return nil, &NotSentError{Cause: err}
	}
	if notStalled {
		f.fetch(ctx)
	}
	<-f.done
	if f.reply != nil {
		return p.check(c, req, f.reply)
	}
	return nil, &LostError{Cause: errors.Join(err, f.lastError)}
}

// runIgnoringStalls sends a call and waits for as long as its deadline allows.
func (p *Peer) runIgnoringStalls(ctx context.Context, c clock.Clock, req *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	reply, err := p.client.Run(ctx, req)
	if err != nil {
		return nil, &LostError{Cause: err}
	}
	return p.check(c, req, reply)
}

// check makes sure that an answer is whole and belongs to the call.
func (p *Peer) check(c clock.Clock, req *peerrpc.RunRequest, reply *peerrpc.RunReply) (*peerrpc.RunReply, error) {
	p.SetClock(c.Now(), reply.GetClock())
	if reply.GetCallId() != req.GetCallId() || reply.GetBodyHash() != xxhash.Sum64(reply.GetBody()) {
		return nil, &InvalidReplyError{Call: req.GetCallId(), ReplyCall: reply.GetCallId()}
	}
	return reply, nil
}

// replyFetcher follows one call on a silent connection.
type replyFetcher struct {
	peer       *Peer
	callID     string
	cancelSend context.CancelFunc
	// received tells ask that the answer has come on the first connection.
	received atomic.Bool
	// done is closed once ask has set reply or lost.
	done      chan struct{}
	reply     *peerrpc.RunReply
	lastError error
}

// fetch repeats the question until the call has an answer, the peer is silent or
// the call ends otherwise.
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

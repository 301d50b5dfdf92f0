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
	// silenceBound is how long a connection may stay silent before the peer is
	// asked over a new one.
	silenceBound = time.Second
	// fetchTimeout bounds one such question.
	fetchTimeout = time.Second
	// maxSilent is the number of unanswered questions after which the peer is
	// taken for silent.
	maxSilent = 2
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

// DamagedError reports an answer that is not whole or not for the call.
type DamagedError struct {
	Call, Got string
}

// Error implements error.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("answer for call %s is damaged or is for call %q", e.Call, e.Got)
}

// Refused tells whether err proves that no process listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

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
	if p.unwatched {
		return p.runUnwatched(ctx, c, req)
	}
	sendCtx, stopSend := context.WithCancel(ctx)
	defer stopSend()
	w := &watch{peer: p, call: req.GetCallId(), stopSend: stopSend, ended: make(chan struct{})}
	stopWatch := c.AfterFunc(silenceBound, func() { w.ask(ctx) })
	reply, err := p.client.Run(sendCtx, req)
	inTime := stopWatch()
	if err == nil {
		w.finished.Store(true)
		return p.check(c, req, reply)
	}
	if inTime && dialFailed(err) {
		return nil, &NotSentError{Cause: err}
	}
	if inTime {
		w.ask(ctx)
	}
	<-w.ended
	if w.reply != nil {
		return p.check(c, req, w.reply)
	}
	return nil, &LostError{Cause: errors.Join(err, w.lost)}
}

// runUnwatched sends a call and waits for as long as its deadline allows.
func (p *Peer) runUnwatched(ctx context.Context, c clock.Clock, req *peerrpc.RunRequest) (*peerrpc.RunReply, error) {
	reply, err := p.client.Run(ctx, req)
	if err != nil {
		return nil, &LostError{Cause: err}
	}
	return p.check(c, req, reply)
}

// check makes sure that an answer is whole and belongs to the call.
func (p *Peer) check(c clock.Clock, req *peerrpc.RunRequest, reply *peerrpc.RunReply) (*peerrpc.RunReply, error) {
	p.Learn(c.Now(), reply.GetClock())
	if reply.GetCallId() != req.GetCallId() || reply.GetBodyHash() != xxhash.Sum64(reply.GetBody()) {
		return nil, &DamagedError{Call: req.GetCallId(), Got: reply.GetCallId()}
	}
	return reply, nil
}

// watch follows one call on a silent connection.
type watch struct {
	peer     *Peer
	call     string
	stopSend context.CancelFunc
	// finished tells ask that the answer has come on the first connection.
	finished atomic.Bool
	// ended is closed once ask has set reply or lost.
	ended chan struct{}
	reply *peerrpc.RunReply
	lost  error
}

// ask repeats the question until the call has an answer, the peer is silent or
// the call ends otherwise.
func (w *watch) ask(ctx context.Context) {
	defer close(w.ended)
	defer w.stopSend()
	silent := 0
	for silent < maxSilent && ctx.Err() == nil && !w.finished.Load() {
		askCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		reply, err := w.peer.fresh.Fetch(askCtx, &peerrpc.FetchRequest{CallId: w.call, Seal: true})
		cancel()
		if err != nil {
			silent++
			w.lost = err
			continue
		}
		silent = 0
		if !reply.GetRunning() {
			w.reply = reply
			break
		}
	}
	w.peer.DropConnections()
}

package link

import (
	"fmt"
	"time"
)

// NotSentError reports a request of which no byte was written, so that the peer
// cannot have acted on it.
type NotSentError struct {
	Cause error
}

// Error implements error.
func (e *NotSentError) Error() string { return "request not sent to peer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// ConnectionLostError reports a connection that failed after a request may have
// been sent on it, so that its outcome is unknown.
type ConnectionLostError struct {
	// Incarnation is the incarnation of the peer that the request was sent to.
	Incarnation uint64
	Cause       error
}

// Error implements error.
func (e *ConnectionLostError) Error() string {
	return "connection to peer lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnectionLostError) Unwrap() error { return e.Cause }

// UnsupportedError reports a peer of a build that does not know a kind of message.
type UnsupportedError struct {
	Kind Kind
}

// Error implements error.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("the peer does not know messages of kind %d", e.Kind)
}

// ReplyDiscardedError reports a reply that arrived and was discarded, as Link.Budget had no
// room for it.
type ReplyDiscardedError struct{}

// Error implements error.
func (e *ReplyDiscardedError) Error() string { return "no memory for the reply of the peer" }

// UnresponsiveError reports a peer that did not answer a ping.
type UnresponsiveError struct {
	// SinceLastRead is the time since the last message from the peer.
	SinceLastRead time.Duration
}

// Error implements error.
func (e *UnresponsiveError) Error() string {
	return "peer is unresponsive: no message for " + e.SinceLastRead.String()
}

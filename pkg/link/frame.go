// Package link implements the protocol between nodes: protobuf messages in
// length-prefixed frames over TCP. A connection multiplexes many concurrent
// requests, and messages queued at the same time are sent in one write.
package link

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindHello is the handshake message, sent first in each direction.
	KindHello Kind = iota + 1
	KindPing
	KindPong
	// KindRun carries a linkrpc.Run, a request to execute a call.
	KindRun
	// KindAsk carries a linkrpc.Ask, a query for the outcome of an attempt.
	KindAsk
	// KindTokenRequest carries a linkrpc.TokenRequest.
	KindTokenRequest
	// KindStatus carries a linkrpc.Status and has no reply.
	KindStatus
	// KindCancel cancels the request of the same stream.
	KindCancel
	// KindReply is the reply to the request of the same stream.
	KindReply
	// KindPart carries a part of a message that is too long for one frame. The last part
	// has the kind of the message.
	KindPart
	// KindTopicRead carries a linkrpc.TopicRead.
	KindTopicRead
	// KindTokenGifts carries a linkrpc.TokenGifts and has no reply.
	KindTokenGifts
	// KindReports carries a linkrpc.Reports and has no reply.
	KindReports
	// KindDeparture carries a linkrpc.Status with the node and with the load of an instance
	// that leaves. The reply is an empty linkrpc.Status. Builds that do not know it do not
	// reply.
	KindDeparture
)

// StreamID identifies a request on its connection. Messages that belong to no
// request have the id 0.
type StreamID uint32

const (
	// headerBytes is the size of a frame header: payload length, kind, stream id.
	headerBytes = 4 + 1 + 4
	// maxMessageBytes bounds the payload of a received message.
	maxMessageBytes = 80 << 20
	// partBytes is the payload of a part. Messages with more are sent in parts.
	partBytes = 32 << 10
	// partHeaderBytes is the size of the length of the whole message, which each part
	// begins with except the last.
	partHeaderBytes = 4
	readBufferBytes = 16 << 10
)

// FrameError reports a message that is too large, whose parts do not fit together, or that
// is not the expected handshake message.
type FrameError struct {
	// Length is the payload length in bytes.
	Length int
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("invalid message of %d bytes from peer: too large, in parts that do not fit together, or not a handshake message", e.Length)
}

// BacklogError reports that the send queue is full because the peer does not
// read from the connection.
type BacklogError struct{}

// Error implements error.
func (e *BacklogError) Error() string {
	return "send queue to peer is full: the peer is not reading from the connection"
}

// EncodeError reports a message that cannot be encoded, so that nothing was sent.
type EncodeError struct {
	Kind  Kind
	Cause error
}

// Error implements error.
func (e *EncodeError) Error() string {
	return fmt.Sprintf("message of kind %d cannot be encoded: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// reportUnencodable passes an *EncodeError to a function, which may be nil, and reports whether
// the error is one.
func reportUnencodable(err error, report func(error)) bool {
	if err == nil {
		return false
	}
	var unencodable *EncodeError
	if !errors.As(err, &unencodable) {
		return false
	}
	if report != nil {
		report(unencodable)
	}
	return true
}

// framer reads and writes messages on a connection. send may be called
// concurrently; writeLoop and readMessage each belong to one goroutine.
type framer struct {
	conn  net.Conn
	clock clock.Clock
	// source is what reader reads from.
	source *waitReader
	reader *bufio.Reader

	// partial holds the messages of which some parts were read. It belongs to the reading
	// goroutine.
	partial map[StreamID]*partialMessage
	// budget bounds the bytes of the messages that are read in parts; nil means no bound.
	budget *memory.Budget
	// treatment returns how the message of a stream is read in parts; nil means that all are
	// reserved for.
	treatment func(stream StreamID) treatment
	// replies are the budgets that the messages in pending and large have reserved from.
	replies memory.Tiers

	// mu guards pending, pendingRequests, pendingReserved, large, largeBytes, sendsParts, finishing and
	// closeErr.
	mu sync.Mutex
	// pending holds the encoded messages that writeLoop has not picked up yet.
	pending []byte
	// pendingRequests lists the requests in pending, in their order there.
	pendingRequests []queuedRequest
	// pendingReserved lists the reservations of the messages in pending.
	pendingReserved []int64
	// large holds the messages that are sent in parts, the one whose part is next first,
	// and largeBytes is the number of their bytes that are not written yet.
	large      []*largeMessage
	largeBytes int
	// sendsParts reports whether the peer accepts messages in parts.
	sendsParts bool
	// finishing reports that nothing more is queued, and that writeLoop ends the sending
	// direction once it has written what is.
	finishing bool
	// closeErr is why the connection was closed, or nil while it is open. It is
	// set once, and nothing is queued afterwards.
	closeErr error
	// wake signals writeLoop that pending, finishing or closeErr has changed.
	wake chan struct{}
	// written is the number of bytes that the connection has taken.
	written atomic.Int64
	// beforeWrite receives the requests that are about to be written; nil is allowed.
	beforeWrite func([]queuedRequest)
}

// queuedRequest is a request in the send queue. Its message lies at [start, end) there.
type queuedRequest struct {
	stream     StreamID
	start, end int
}

func newFramer(conn net.Conn, c clock.Clock, beforeWrite func([]queuedRequest)) *framer {
	source := newWaitReader(conn)
	return &framer{conn: conn, clock: c, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), wake: make(chan struct{}, 1), beforeWrite: beforeWrite}
}

// closeWithError closes the connection. Only the first error is recorded.
func (f *framer) closeWithError(err error) {
	f.mu.Lock()
	if f.closeErr == nil {
		f.closeErr = err
	}
	f.mu.Unlock()
	_ = f.conn.Close()
	f.wakeWriter()
}

// message is a message that was read.
type message struct {
	kind    Kind
	stream  StreamID
	payload []byte
	// reserved is the number of bytes that the reader of the message must release from the
	// budget.
	reserved int64
	// discarded reports that the payload was skipped, as the budget had no room for it.
	discarded bool
}

// readMessage blocks until it has read a message. A message in parts is returned once it
// is whole; each part before the last is returned as a message of KindPart.
func (f *framer) readMessage() (message, error) { return f.readMessageUpTo(maxMessageBytes) }

// readMessageUpTo is readMessage with a bound for the payload.
func (f *framer) readMessageUpTo(maxBytes int) (message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return message{}, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	m := message{kind: Kind(header[4]), stream: StreamID(binary.BigEndian.Uint32(header[5:]))}
	switch {
	case length > maxBytes:
		return message{}, &FrameError{Length: length}
	case m.kind == KindPart:
		return m, f.readPart(m.stream, length)
	case m.kind == KindCancel:
		f.dropPartial(m.stream)
	case f.partial[m.stream] != nil:
		return f.readLastPart(m, length)
	}
	var err error
	m.payload, err = f.readPayload(length)
	return m, err
}

// readPayload reads a payload. Memory for a long one is taken as the data arrives.
func (f *framer) readPayload(length int) ([]byte, error) {
	payload := make([]byte, 0, min(length, partBytes))
	for len(payload) < length {
		start := len(payload)
		payload = slices.Grow(payload, min(length-start, max(start, partBytes)))
		payload = payload[:min(cap(payload), length)]
		if _, err := io.ReadFull(f.reader, payload[start:]); err != nil {
			return nil, err
		}
	}
	return payload, nil
}

// cause returns the error that closed the connection, or nil while it is open.
func (f *framer) cause() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closeErr
}

// Package link implements the protocol between nodes: protobuf messages in
// length-prefixed frames over TCP. A connection multiplexes many concurrent
// requests, and messages queued at the same time are sent in one write.
package link

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
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
)

// StreamID identifies a request on its connection. Messages that belong to no
// request have the id 0.
type StreamID uint32

const (
	// headerBytes is the size of a frame header: payload length, kind, stream id.
	headerBytes = 4 + 1 + 4
	// maxMessageBytes bounds the payload of a received message.
	maxMessageBytes = 80 << 20
	// maxPendingBytes bounds the send queue of a connection whose peer does not read.
	maxPendingBytes = 16 << 20
	// maxReusedBufferBytes is the largest write buffer that is kept for reuse.
	maxReusedBufferBytes = 64 << 10
	readBufferBytes      = 16 << 10
	// writeTimeout bounds one write, which blocks while the peer does not read.
	writeTimeout = 2 * time.Second
)

// FrameError reports a message that is too large or that is not the expected
// handshake message.
type FrameError struct {
	// Length is the payload length in bytes.
	Length int
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("invalid message of %d bytes from peer: too large, or not a handshake message", e.Length)
}

// BacklogError reports that the send queue is full because the peer does not
// read from the connection.
type BacklogError struct{}

// Error implements error.
func (e *BacklogError) Error() string {
	return "send queue to peer is full: the peer is not reading from the connection"
}

// framer reads and writes messages on a connection. send may be called
// concurrently; writeLoop and readMessage each belong to one goroutine.
type framer struct {
	conn  net.Conn
	clock clock.Clock
	// source is what reader reads from.
	source *waitReader
	reader *bufio.Reader

	// mu guards pending, pendingRequests, finishing and closeErr.
	mu sync.Mutex
	// pending holds the encoded messages that writeLoop has not picked up yet.
	pending []byte
	// pendingRequests lists the requests in pending, in their order there.
	pendingRequests []queuedRequest
	// finishing reports that nothing more is queued, and that writeLoop ends the sending
	// direction once it has written what is.
	finishing bool
	// closeErr is why the connection was closed, or nil while it is open. It is
	// set once, and nothing is queued afterwards.
	closeErr error
	// wake signals writeLoop that pending, finishing or closeErr has changed.
	wake chan struct{}
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

// send queues a message for writeLoop. On a closed connection it returns the
// error that closed it, after finishWrites net.ErrClosed, and *BacklogError when the
// queue is full. The queue always takes the cancellation of a request. With isRequest set,
// the stream is passed to beforeWrite.
func (f *framer) send(kind Kind, stream StreamID, message proto.Message, isRequest bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closeErr != nil {
		return f.closeErr
	}
	if f.finishing {
		return net.ErrClosed
	}
	if len(f.pending) > maxPendingBytes && kind != KindCancel {
		return &BacklogError{}
	}
	start := len(f.pending)
	f.pending = append(f.pending, 0, 0, 0, 0, byte(kind))
	f.pending = binary.BigEndian.AppendUint32(f.pending, uint32(stream))
	if message != nil {
		encoded, err := proto.MarshalOptions{}.MarshalAppend(f.pending, message)
		if err != nil {
			f.pending = f.pending[:start]
			return err
		}
		f.pending = encoded
	}
	binary.BigEndian.PutUint32(f.pending[start:], uint32(len(f.pending)-start-headerBytes))
	if isRequest {
		f.pendingRequests = append(f.pendingRequests, queuedRequest{stream: stream, start: start, end: len(f.pending)})
	}
	f.wakeWriter()
	return nil
}

// withdraw removes a request from the send queue. It returns false if the request is not
// in the queue any more, so that it may have been written.
func (f *framer) withdraw(stream StreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.pendingRequests, func(q queuedRequest) bool { return q.stream == stream })
	if i < 0 {
		return false
	}
	q := f.pendingRequests[i]
	f.pending = slices.Delete(f.pending, q.start, q.end)
	f.pendingRequests = slices.Delete(f.pendingRequests, i, i+1)
	for j := range f.pendingRequests[i:] {
		f.pendingRequests[i+j].start -= q.end - q.start
		f.pendingRequests[i+j].end -= q.end - q.start
	}
	return true
}

// wakeWriter signals writeLoop, without waiting for it.
func (f *framer) wakeWriter() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes queued messages until the connection fails or finishWrites was
// called. It swaps two buffers, so that messages can be queued during a write.
func (f *framer) writeLoop() {
	var spare []byte
	for range f.wake {
		f.mu.Lock()
		batch, requests := f.pending, f.pendingRequests
		f.pending, f.pendingRequests = spare[:0], nil
		closeErr, isLast := f.closeErr, f.finishing
		f.mu.Unlock()
		if closeErr != nil {
			return
		}
		if err := f.write(batch, requests); err != nil {
			f.closeWithError(err)
			return
		}
		if isLast {
			f.endSending()
			return
		}
		if cap(batch) > maxReusedBufferBytes {
			batch = nil
		}
		spare = batch
	}
}

// write writes a batch of messages, which may be empty.
func (f *framer) write(batch []byte, requests []queuedRequest) error {
	if len(batch) == 0 {
		return nil
	}
	if len(requests) > 0 && f.beforeWrite != nil {
		f.beforeWrite(requests)
	}
	_ = f.conn.SetWriteDeadline(f.clock.Now().Add(writeTimeout))
	_, err := f.conn.Write(batch)
	return err
}

// finishWrites makes writeLoop write what is queued and then end the sending
// direction. Messages can still be read.
func (f *framer) finishWrites() {
	f.mu.Lock()
	f.finishing = true
	f.mu.Unlock()
	f.wakeWriter()
}

// endSending tells the peer that no more data follows. To close the connection at once
// would discard what TCP has not sent yet if data of the peer is unread.
func (f *framer) endSending() {
	if c, ok := f.conn.(interface{ CloseWrite() error }); !ok || c.CloseWrite() != nil {
		f.closeWithError(net.ErrClosed)
	}
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

// readMessage blocks until it has read a message, and returns its kind, stream
// and payload.
func (f *framer) readMessage() (Kind, StreamID, []byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return 0, 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > maxMessageBytes {
		return 0, 0, nil, &FrameError{Length: length}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(f.reader, payload); err != nil {
		return 0, 0, nil, err
	}
	return Kind(header[4]), StreamID(binary.BigEndian.Uint32(header[5:])), payload, nil
}

// cause returns the error that closed the connection, or nil while it is open.
func (f *framer) cause() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closeErr
}

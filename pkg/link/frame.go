// Package link carries messages between two nodes: many calls in flight on one
// connection, several messages in one write.
package link

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// Kind tells what a message is.
type Kind uint8

// Kinds of messages.
const (
	KindHello Kind = iota + 1
	KindPing
	KindPong
	KindRun
	KindAsk
	KindTokenRequest
	KindStatus
	KindCancel
	// KindReply ends the request of the same stream.
	KindReply
)

// StreamID numbers the requests of one connection; 0 belongs to none.
type StreamID uint32

const (
	headerBytes = 4 + 1 + 4
	// maxMessageBytes bounds one message in bytes.
	maxMessageBytes = 80 << 20
	// maxPendingBytes bounds what waits to be written to a peer that does not read, in bytes.
	maxPendingBytes = 16 << 20
	// maxReusedBufferBytes is the largest write buffer that is kept for reuse, in bytes.
	maxReusedBufferBytes = 64 << 10
	readBufferBytes      = 16 << 10
	// writeTimeout bounds one write to a peer that does not read.
	writeTimeout = 2 * time.Second
)

// FrameError reports bytes that are no message.
type FrameError struct {
	Length int
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("a peer sent a message of %d bytes, beyond the bound", e.Length)
}

// BacklogError reports a peer that does not read what is sent to it.
type BacklogError struct{}

// Error implements error.
func (e *BacklogError) Error() string { return "the peer does not read; too much waits to be sent" }

// framer writes and reads messages on a connection.
type framer struct {
	conn   net.Conn
	clock  clock.Clock
	reader *bufio.Reader

	mu sync.Mutex
	// pending holds messages that the writer has not taken yet.
	pending []byte
	// pendingStreams lists the streams whose request is in pending.
	pendingStreams []StreamID
	// closeErr is set once; nothing is written after it.
	closeErr error
	wake     chan struct{}
	// beforeWrite is told of the streams whose requests are about to be written.
	beforeWrite func([]StreamID)
}

func newFramer(conn net.Conn, c clock.Clock, beforeWrite func([]StreamID)) *framer {
	return &framer{conn: conn, clock: c, reader: bufio.NewReaderSize(conn, readBufferBytes), wake: make(chan struct{}, 1), beforeWrite: beforeWrite}
}

// send queues a message. It returns the error of a connection that has failed.
func (f *framer) send(kind Kind, stream StreamID, message proto.Message, isRequest bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closeErr != nil {
		return f.closeErr
	}
	if len(f.pending) > maxPendingBytes {
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
		f.pendingStreams = append(f.pendingStreams, stream)
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
	return nil
}

// writeLoop sends what is queued until the connection fails.
func (f *framer) writeLoop() {
	var spare []byte
	for range f.wake {
		f.mu.Lock()
		batch, streams := f.pending, f.pendingStreams
		f.pending, f.pendingStreams = spare[:0], nil
		closeErr := f.closeErr
		f.mu.Unlock()
		if closeErr != nil {
			return
		}
		if len(batch) == 0 {
			spare = batch
			continue
		}
		if len(streams) > 0 && f.beforeWrite != nil {
			f.beforeWrite(streams)
		}
		_ = f.conn.SetWriteDeadline(f.clock.Now().Add(writeTimeout))
		if _, err := f.conn.Write(batch); err != nil {
			f.closeWithError(err)
			return
		}
		if cap(batch) > maxReusedBufferBytes {
			batch = nil
		}
		spare = batch
	}
}

// closeWithError closes the connection for a reason; the first reason stays.
func (f *framer) closeWithError(err error) {
	f.mu.Lock()
	if f.closeErr == nil {
		f.closeErr = err
	}
	f.mu.Unlock()
	_ = f.conn.Close()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// readMessage returns the next message.
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

// closeCause returns why the connection failed, or nil.
func (f *framer) closeCause() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closeErr
}

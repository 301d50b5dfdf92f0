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
	KindTokens
	KindStatus
	KindCancel
	// KindReply ends the request of the same stream.
	KindReply
)

// Stream numbers the requests of one connection; 0 belongs to none.
type Stream uint32

const (
	headerBytes = 4 + 1 + 4
	// maxMessage bounds one message in bytes.
	maxMessage = 80 << 20
	// maxPending bounds what waits to be written to a peer that does not read, in bytes.
	maxPending = 16 << 20
	// keptBuffer is the largest write buffer that is kept for reuse, in bytes.
	keptBuffer = 64 << 10
	readBuffer = 16 << 10
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
	// unsent lists the streams whose request is in pending.
	unsent []Stream
	// failed is set once; nothing is written after it.
	failed error
	wake   chan struct{}
	// taken is told of the streams whose requests are about to be written.
	taken func([]Stream)
}

func newFramer(conn net.Conn, c clock.Clock, taken func([]Stream)) *framer {
	return &framer{conn: conn, clock: c, reader: bufio.NewReaderSize(conn, readBuffer), wake: make(chan struct{}, 1), taken: taken}
}

// send queues a message. It returns the error of a connection that has failed.
func (f *framer) send(kind Kind, stream Stream, message proto.Message, track bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed != nil {
		return f.failed
	}
	if len(f.pending) > maxPending {
		return &BacklogError{}
	}
	start := len(f.pending)
	f.pending = append(f.pending, 0, 0, 0, 0, byte(kind))
	f.pending = binary.BigEndian.AppendUint32(f.pending, uint32(stream))
	if message != nil {
		grown, err := proto.MarshalOptions{}.MarshalAppend(f.pending, message)
		if err != nil {
			f.pending = f.pending[:start]
			return err
		}
		f.pending = grown
	}
	binary.BigEndian.PutUint32(f.pending[start:], uint32(len(f.pending)-start-headerBytes))
	if track {
		f.unsent = append(f.unsent, stream)
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
	return nil
}

// write sends what is queued until the connection fails.
func (f *framer) write() {
	var spare []byte
	for range f.wake {
		f.mu.Lock()
		batch, streams := f.pending, f.unsent
		f.pending, f.unsent = spare[:0], nil
		failed := f.failed
		f.mu.Unlock()
		if failed != nil {
			return
		}
		if len(batch) == 0 {
			spare = batch
			continue
		}
		if len(streams) > 0 && f.taken != nil {
			f.taken(streams)
		}
		_ = f.conn.SetWriteDeadline(f.clock.Now().Add(writeTimeout))
		if _, err := f.conn.Write(batch); err != nil {
			f.fail(err)
			return
		}
		if cap(batch) > keptBuffer {
			batch = nil
		}
		spare = batch
	}
}

// fail closes the connection for a reason; the first reason stays.
func (f *framer) fail(err error) {
	f.mu.Lock()
	if f.failed == nil {
		f.failed = err
	}
	f.mu.Unlock()
	_ = f.conn.Close()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// read returns the next message.
func (f *framer) read() (Kind, Stream, []byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return 0, 0, nil, err
	}
	length := int(binary.BigEndian.Uint32(header[:]))
	if length > maxMessage {
		return 0, 0, nil, &FrameError{Length: length}
	}
	payload := make([]byte, length)
	if _, err := io.ReadFull(f.reader, payload); err != nil {
		return 0, 0, nil, err
	}
	return Kind(header[4]), Stream(binary.BigEndian.Uint32(header[5:])), payload, nil
}

// cause returns why the connection failed, or nil.
func (f *framer) cause() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

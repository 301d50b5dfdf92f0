package link

import (
	"bytes"
	"encoding/binary"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// maxWriteBytes bounds the data that is written under one writeTimeout.
	maxWriteBytes = 64 << 10
	// maxPendingBytes bounds the send queue of a connection whose peer does not read.
	maxPendingBytes = 16 << 20
	// maxReusedBufferBytes is the largest write buffer that is kept for reuse.
	maxReusedBufferBytes = 64 << 10
	// writeTimeout bounds the time to write maxWriteBytes, which takes longer while the
	// peer does not read.
	writeTimeout = 2 * time.Second
)

// send queues a message for writeLoop. On a closed connection it returns the
// error that closed it, after finishWrites net.ErrClosed, *BacklogError when the
// queue is full, and *EncodeError. The queue always takes the cancellation of a request. With isRequest set,
// the stream is passed to beforeWrite.
func (f *framer) send(kind Kind, stream StreamID, message proto.Message, isRequest bool) error {
	return f.sendReserved(kind, stream, message, isRequest, 0)
}

// sendReserved is send for a message for which bytes of f.replies are reserved. These are
// released once the message is written, or is not any more. If it returns an error, its caller
// releases them.
func (f *framer) sendReserved(kind Kind, stream StreamID, message proto.Message, isRequest bool, reserved int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closeErr != nil {
		return f.closeErr
	}
	if f.finishing {
		return net.ErrClosed
	}
	if len(f.pending)+f.largeBytes > maxPendingBytes && kind != KindCancel {
		return &BacklogError{}
	}
	start := len(f.pending)
	f.pending = append(f.pending, 0, 0, 0, 0, byte(kind))
	f.pending = binary.BigEndian.AppendUint32(f.pending, uint32(stream))
	if message != nil {
		encoded, err := proto.MarshalOptions{}.MarshalAppend(f.pending, message)
		if err != nil {
			f.pending = f.pending[:start]
			return &EncodeError{Kind: kind, Cause: err}
		}
		f.pending = encoded
	}
	if len(f.pending)-start-headerBytes > partBytes && f.sendsParts && stream != 0 {
		// The message keeps the buffer, and what is queued before it gets another.
		f.queueLarge(&largeMessage{kind: kind, stream: stream, isRequest: isRequest, payload: f.pending[start+headerBytes:], reserved: reserved})
		f.pending = bytes.Clone(f.pending[:start])
		f.wakeWriter()
		return nil
	}
	binary.BigEndian.PutUint32(f.pending[start:], uint32(len(f.pending)-start-headerBytes))
	if isRequest {
		f.pendingRequests = append(f.pendingRequests, queuedRequest{stream: stream, start: start, end: len(f.pending)})
	}
	if reserved > 0 {
		f.pendingReserved = append(f.pendingReserved, reserved)
	}
	f.wakeWriter()
	return nil
}

// withdraw removes a request from the send queue. It returns false if the request is not
// in the queue any more, so that it may have been written.
func (f *framer) withdraw(stream StreamID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.withdrawLarge(stream) {
		return true
	}
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
	defer f.dropQueued()
	var spare []byte
	for range f.wake {
		for more := true; more; {
			f.mu.Lock()
			batch, requests, reserved := f.pending, f.pendingRequests, f.pendingReserved
			f.pending, f.pendingRequests, f.pendingReserved = spare[:0], nil, nil
			batch, requests = f.appendPart(batch, requests)
			more = len(f.large) > 0
			closeErr, isLast := f.closeErr, f.finishing && !more
			f.mu.Unlock()
			if closeErr != nil {
				f.releaseReplies(reserved)
				return
			}
			err := f.write(batch, requests)
			f.releaseReplies(reserved)
			if err != nil {
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
}

// write writes a batch of messages, which may be empty.
func (f *framer) write(batch []byte, requests []queuedRequest) error {
	if len(requests) > 0 && f.beforeWrite != nil {
		f.beforeWrite(requests)
	}
	for chunk := range slices.Chunk(batch, maxWriteBytes) {
		_ = f.conn.SetWriteDeadline(f.clock.Now().Add(writeTimeout))
		n, err := f.conn.Write(chunk)
		f.written.Add(int64(n))
		if err != nil {
			return err
		}
	}
	return nil
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

package link

import (
	"encoding/binary"
	"io"
	"slices"
)

// maxPartialMessages bounds the messages of one connection that are read in parts at the
// same time.
const maxPartialMessages = 4096

// Treatments of a message that is read in parts.
const (
	// treatReserved means that it is read if the budget has room for it.
	treatReserved treatment = iota
	// treatExempt means that it is read in any case.
	treatExempt
	// treatUnwanted means that it is skipped, as nobody waits for it.
	treatUnwanted
)

// treatment is how a message is read in parts.
type treatment int

// largeMessage is a message in the send queue that is sent in parts, so that it does not
// delay the messages behind it.
type largeMessage struct {
	kind    Kind
	stream  StreamID
	payload []byte
	// sent is the number of bytes of payload that were taken out of the queue.
	sent      int
	isRequest bool
	// reserved is the number of bytes to release from framer.replies.
	reserved int64
}

// partialMessage is a message of which some parts were read.
type partialMessage struct {
	payload []byte
	// length is that of the whole message.
	length int
	// discarded reports that the budget had no room. The parts are skipped, and the
	// message is passed on without its payload.
	discarded bool
	// isExempt reports that nothing is reserved for the message.
	isExempt bool
}

// queueLarge adds a message to large. The caller holds mu.
func (f *framer) queueLarge(m *largeMessage) {
	f.large = append(f.large, m)
	f.largeBytes += len(m.payload)
}

// withdrawLarge removes a message of which the last part was not taken out of the queue,
// and reports whether there was one. The peer drops the parts that it has received. The
// caller holds mu.
func (f *framer) withdrawLarge(stream StreamID) bool {
	i := slices.IndexFunc(f.large, func(m *largeMessage) bool { return m.stream == stream })
	if i < 0 {
		return false
	}
	m := f.large[i]
	f.large = slices.Delete(f.large, i, i+1)
	f.largeBytes -= len(m.payload) - m.sent
	if m.sent > 0 {
		f.pending = appendFrameHeader(f.pending, 0, KindCancel, stream)
		f.wakeWriter()
	}
	return true
}

// appendPart appends one part of the next large message to a batch, and the message to
// the requests if it is a request and the part its last. The caller holds mu.
func (f *framer) appendPart(batch []byte, requests []queuedRequest) ([]byte, []queuedRequest) {
	if len(f.large) == 0 {
		return batch, requests
	}
	m := f.large[0]
	rest := m.payload[m.sent:]
	if len(rest) > partBytes {
		batch = appendFrameHeader(batch, partHeaderBytes+partBytes, KindPart, m.stream)
		batch = binary.BigEndian.AppendUint32(batch, uint32(len(m.payload)))
		batch = append(batch, rest[:partBytes]...)
		m.sent += partBytes
		f.largeBytes -= partBytes
		f.large = append(f.large[1:], m)
		return batch, requests
	}
	f.large = f.large[1:]
	f.largeBytes -= len(rest)
	f.replies.Release(m.reserved)
	start := len(batch)
	batch = appendFrameHeader(batch, len(rest), m.kind, m.stream)
	batch = append(batch, rest...)
	if m.isRequest {
		requests = append(requests, queuedRequest{stream: m.stream, start: start, end: len(batch)})
	}
	return batch, requests
}

func appendFrameHeader(b []byte, length int, kind Kind, stream StreamID) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(length))
	b = append(b, byte(kind))
	return binary.BigEndian.AppendUint32(b, uint32(stream))
}

// readPart reads a part, other than the last, of a message.
func (f *framer) readPart(stream StreamID, frameLength int) error {
	var header [partHeaderBytes]byte
	if frameLength <= partHeaderBytes {
		return &FrameError{Length: frameLength}
	}
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return err
	}
	length, size := int(binary.BigEndian.Uint32(header[:])), frameLength-partHeaderBytes
	m := f.partial[stream]
	if m == nil {
		m = f.startPartial(stream, length)
	}
	if m == nil || length != m.length {
		return &FrameError{Length: length}
	}
	return f.readInto(m, size)
}

// startPartial begins a message in parts. It returns nil if the peer may not send it.
func (f *framer) startPartial(stream StreamID, length int) *partialMessage {
	if length > maxMessageBytes || len(f.partial) >= maxPartialMessages {
		return nil
	}
	if f.partial == nil {
		f.partial = map[StreamID]*partialMessage{}
	}
	m := &partialMessage{length: length}
	how := treatReserved
	if f.treatment != nil {
		how = f.treatment(stream)
	}
	m.isExempt = how == treatExempt
	m.discarded = how == treatUnwanted || f.budget != nil && how == treatReserved && !f.budget.Reserve(int64(length))
	if f.budget != nil && !m.isExempt && !m.discarded {
		// The memory is reserved, and a buffer that grows would take more.
		m.payload = make([]byte, 0, length)
	}
	f.partial[stream] = m
	return m
}

// readInto reads size bytes of a message, or skips them if it is discarded. Memory for which
// nothing is reserved is taken as the data arrives.
func (f *framer) readInto(m *partialMessage, size int) error {
	start := len(m.payload)
	if start+size > m.length {
		return &FrameError{Length: start + size}
	}
	if m.discarded {
		_, err := io.CopyN(io.Discard, f.reader, int64(size))
		return err
	}
	if cap(m.payload) < start+size {
		grown := make([]byte, start, min(max(2*cap(m.payload), start+size), m.length))
		copy(grown, m.payload)
		m.payload = grown
	}
	m.payload = m.payload[:start+size]
	_, err := io.ReadFull(f.reader, m.payload[start:])
	return err
}

// readLastPart reads the last part of a message, which is then whole.
func (f *framer) readLastPart(m message, size int) (message, error) {
	p := f.partial[m.stream]
	if err := f.readInto(p, size); err != nil {
		return message{}, err
	}
	if !p.discarded && len(p.payload) != p.length {
		return message{}, &FrameError{Length: len(p.payload)}
	}
	delete(f.partial, m.stream)
	m.payload, m.discarded = p.payload, p.discarded
	if f.budget != nil && !p.discarded && !p.isExempt {
		m.reserved = int64(p.length)
	}
	return m, nil
}

// dropPartial drops the parts of a message that were read, if there are any.
func (f *framer) dropPartial(stream StreamID) {
	m := f.partial[stream]
	if m == nil {
		return
	}
	delete(f.partial, stream)
	if !m.discarded && !m.isExempt {
		f.release(int64(m.length))
	}
}

// release releases bytes of a message that was read.
func (f *framer) release(reserved int64) {
	if f.budget != nil && reserved > 0 {
		f.budget.Release(reserved)
	}
}

// releaseReplies releases the bytes of messages that were sent, or are not.
func (f *framer) releaseReplies(reserved []int64) {
	for _, n := range reserved {
		f.replies.Release(n)
	}
}

// dropQueued drops the messages in the send queue when writeLoop ends.
func (f *framer) dropQueued() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releaseReplies(f.pendingReserved)
	f.pendingReserved = nil
	for _, m := range f.large {
		f.replies.Release(m.reserved)
	}
	f.large, f.largeBytes = nil, 0
}

// dropPartials drops all messages of which some parts were read.
func (f *framer) dropPartials() {
	for stream := range f.partial {
		f.dropPartial(stream)
	}
}

// acceptParts records whether the peer accepts messages in parts.
func (f *framer) acceptParts(accepts bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sendsParts = accepts
}

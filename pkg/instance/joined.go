package instance

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
)

// statusLineStart is how a status line begins; each N stands for a digit.
const statusLineStart = "HTTP/1.N NNN"

// peekHead returns the head of the next response without reading it: its status line, its
// header and the empty line at their end, or what there is of it if the connection ends first.
// The slice is valid until the next read.
func (k *conn) peekHead() []byte {
	for want := 1; ; {
		data, err := k.reader.Peek(want)
		if buffered, _ := k.reader.Peek(k.reader.Buffered()); len(buffered) > len(data) {
			data = buffered
		}
		if end := endOfHead(data); end > 0 {
			return data[:end]
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			k.growBuffer()
			continue
		}
		if err != nil {
			return data
		}
		want = len(data) + 1
	}
}

// growBuffer doubles the read buffer and keeps what is in it.
func (k *conn) growBuffer() {
	buffered, _ := k.reader.Peek(k.reader.Buffered())
	source := io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), &k.header)
	k.reader = bufio.NewReaderSize(source, 2*k.reader.Size())
}

// endOfHead returns the length of a head including the empty line, or 0 if there is none.
func endOfHead(data []byte) int {
	for start := 0; ; {
		i := bytes.IndexByte(data[start:], '\n')
		if i < 0 {
			return 0
		}
		start += i + 1
		rest := data[start:]
		switch {
		case len(rest) > 0 && rest[0] == '\n':
			return start + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return start + 2
		}
	}
}

// hasJoinedBody reports whether a body that was read contains the start of another response,
// and data follows it: the body has broken off, and a response that was sent after it was read
// in its place.
func (k *conn) hasJoinedBody(body []byte) bool {
	if k.reader.Buffered() == 0 {
		return false
	}
	// A status line that begins behind the body is that of another response, not a part of it.
	next, _ := k.reader.Peek(min(k.reader.Buffered(), len(statusLineStart)-1))
	last := body[max(0, len(body)-len(statusLineStart)):]
	return hasStatusLine(body) || hasStatusLine(slices.Concat(last, next))
}

// isJoined reports whether a head contains another status line behind its own: a response has
// broken off there, and the rest belongs to another one. A header value that quotes a status
// line cannot be told from that.
func isJoined(head []byte) bool { return len(head) > 0 && hasStatusLine(head[1:]) }

// hasStatusLine reports whether a text contains the start of a status line.
func hasStatusLine[T string | []byte](text T) bool {
	for i := 0; i+len(statusLineStart) <= len(text); i++ {
		if text[i] == statusLineStart[0] && startsStatusLine(text[i:i+len(statusLineStart)]) {
			return true
		}
	}
	return false
}

// startsStatusLine compares a text with statusLineStart, which is as long.
func startsStatusLine[T string | []byte](text T) bool {
	for i := range len(statusLineStart) {
		isDigit := '0' <= text[i] && text[i] <= '9'
		if want := statusLineStart[i]; want == 'N' && !isDigit || want != 'N' && text[i] != want {
			return false
		}
	}
	return true
}

package instance

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"iter"
	"net/http"
	"slices"
)

// statusLineStart is how a status line begins; each N stands for a digit.
const statusLineStart = "HTTP/1.N NNN"

// noFieldName holds characters of texts that the name of a header field cannot contain.
const noFieldName = " \t<"

// peekHead returns the head of the next response without reading it: its status line, its
// header and the empty line at their end, or what there is of it if the connection ends first or
// bytes that are no head have arrived. The slice is valid until the next read.
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
		if err != nil || isNoHead(data) {
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

// isNoHead reports whether the whole lines of a text are not the beginning of a head, so that to
// read it as a response fails at once. To wait for its end could take until the call expires.
func isNoHead(data []byte) bool {
	status, header, found := bytes.Cut(data, []byte("\n"))
	if !found {
		return false
	}
	if !isStatusLine(status) || len(header) > 0 && isFolded(header) {
		return true
	}
	for line := range bytes.Lines(header) {
		isWhole := line[len(line)-1] == '\n'
		if isWhole && !isFolded(line) && !bytes.Contains(line, []byte(":")) {
			return true
		}
	}
	return false
}

// isFolded reports whether a line continues the one before.
func isFolded(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// isStatusLine reports whether net/http may take a line, without its end, for a status line.
func isStatusLine(line []byte) bool {
	version, status, found := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(status, " "), []byte(" "))
	return found && bytes.HasPrefix(version, []byte("HTTP/")) && len(code) == len("NNN")
}

// hasJoinedBody reports whether the body of a response contains the start of another one: it has
// broken off, or has no length, and a response that was sent after it was read in its place or
// behind it. A status line alone may be a quote if nothing follows the body.
func (k *conn) hasJoinedBody(response *http.Response, body []byte, idHeader string) bool {
	quotableID := ""
	if isDelimited(response) {
		quotableID = response.Header.Get(idHeader)
	}
	// Most bodies contain none, which this search tells sooner.
	if !bytes.Contains(body, []byte(statusLineStart[:len("HTTP/1.")])) {
		return k.endsInStatusLine(body)
	}
	for i := range statusLines(body) {
		if k.hasUnreadData() || k.startsResponse(body[i:], idHeader, quotableID) {
			return true
		}
	}
	return k.endsInStatusLine(body)
}

// endsInStatusLine reports whether a status line begins in a body and ends in what was read
// behind it. One that begins behind the body is that of another response, not a part of it.
func (k *conn) endsInStatusLine(body []byte) bool {
	next, _ := k.reader.Peek(min(k.reader.Buffered(), len(statusLineStart)-1))
	last := body[max(0, len(body)-len(statusLineStart)+1):]
	return hasStatusLine(slices.Concat(last, next))
}

// hasUnreadData reports whether data has arrived that was not read.
func (k *conn) hasUnreadData() bool { return k.reader.Buffered() > 0 || hasData(k.Conn) }

// startsResponse reports whether a text that begins with a status line is the start of a response
// to a call of the connection. A whole one with the id quotableID is a quote, unless that is empty.
func (k *conn) startsResponse(text []byte, idHeader, quotableID string) bool {
	if endOfHead(text) == 0 {
		return isUnfinishedHead(text)
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		return false
	}
	id := response.Header.Get(idHeader)
	if id == "" || !k.carried.has(digestOf(id)) {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err != nil || id != quotableID || !isDelimited(response)
}

// isDelimited reports whether a response says where its body ends. Otherwise it ends with its
// connection.
func isDelimited(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// isUnfinishedHead reports whether a text is a status line and the start of a header, with the
// name of a field at least, and nothing else.
func isUnfinishedHead(text []byte) bool {
	lines := bytes.Split(text, []byte("\n"))[1:]
	for i, line := range lines {
		name, _, found := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		isLast := i == len(lines)-1
		if !found && (!isLast || i == 0) || found && len(name) == 0 || bytes.ContainsAny(name, noFieldName) {
			return false
		}
	}
	return len(lines) > 0
}

// isJoined reports whether a head contains another status line behind its own: a response has
// broken off there, and the rest belongs to another one. A header value that quotes a status
// line cannot be told from that.
func isJoined(head []byte) bool { return len(head) > 0 && hasStatusLine(head[1:]) }

// quotesOwnStatus reports whether each further status line in a head lies behind its first line
// and has the version and the code of its own. Both are then the same if one of them is a seam.
func quotesOwnStatus(head []byte) bool {
	firstLine, _, _ := bytes.Cut(head, []byte("\n"))
	for i := range statusLines(head) {
		quoted := head[i : i+len(statusLineStart)]
		if i > 0 && (i < len(firstLine) || !bytes.HasPrefix(head, quoted)) {
			return false
		}
	}
	return true
}

// hasStatusLine reports whether a text contains the start of a status line.
func hasStatusLine[T string | []byte](text T) bool {
	for range statusLines(text) {
		return true
	}
	return false
}

// statusLines returns the positions in a text at which a status line starts.
func statusLines[T string | []byte](text T) iter.Seq[int] {
	return func(yield func(int) bool) {
		for i := 0; i+len(statusLineStart) <= len(text); i++ {
			if text[i] == statusLineStart[0] && startsStatusLine(text[i:i+len(statusLineStart)]) && !yield(i) {
				return
			}
		}
	}
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

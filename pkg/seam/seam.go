// Package seam tells whether the bytes of one HTTP/1.1 response contain those of another: a
// response that has broken off, or was begun and replaced, is read together with the one sent after
// it. The place at which they meet is a seam. The package has no input or output; its callers keep
// the bytes as they arrived.
package seam

import (
	"bufio"
	"bytes"
	"io"
	"iter"
	"net/http"
	"slices"
)

// statusLineStart is how a status line begins; each N stands for a digit.
const statusLineStart = "HTTP/1.N NNN"

// noFieldName holds characters of texts that the name of a header field cannot contain.
const noFieldName = " \t<"

// EndOfHead returns the length of a head including the empty line, or 0 if there is none.
func EndOfHead(data []byte) int {
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

// IsNoHead reports whether the whole lines of a text are not the beginning of a head, so that to
// read it as a response fails at once. To wait for its end could take until the call expires.
func IsNoHead(data []byte) bool {
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

// Origin tells where a response comes from whose header is in the body of another one.
type Origin int

const (
	// Elsewhere means that it is no response of the connection, so that the body quotes it.
	Elsewhere Origin = iota
	// SameCall means that it is a response to the same call, or looks like one. Only a body that
	// says where it ends quotes such a response, and only a whole one.
	SameCall
	// OtherCall means that it is a response to another call of the connection. It is no quote.
	OtherCall
)

// Body is the body of a response with what is known of the bytes behind it.
type Body struct {
	Response *http.Response
	Text     []byte
	// Next holds the bytes behind the body that were read, or the first of them.
	Next []byte
	// HasMore reports whether bytes have arrived behind the body, read or not.
	HasMore func() bool
	// Origin tells where a response with a header comes from.
	Origin func(header http.Header) Origin
}

// IsJoined reports whether the body contains the start of another response: it has broken off,
// or has no length, and a response that was sent after it was read in its place or behind it. A
// status line alone may be a quote if nothing follows the body.
func (b *Body) IsJoined() bool {
	// Most bodies contain none, which this search tells sooner.
	if !bytes.Contains(b.Text, []byte(statusLineStart[:len("HTTP/1.")])) {
		return b.endsInStatusLine()
	}
	for i := range statusLines(b.Text) {
		if b.HasMore() || b.hasResponse(b.Text[i:]) {
			return true
		}
	}
	return b.endsInStatusLine()
}

// endsInStatusLine reports whether a status line begins in the body and ends in what was read
// behind it. One that begins behind the body is that of another response, not a part of it.
func (b *Body) endsInStatusLine() bool {
	const most = len(statusLineStart) - 1
	last, next := b.Text[max(0, len(b.Text)-most):], b.Next[:min(len(b.Next), most)]
	return HasStatusLine(slices.Concat(last, next))
}

// hasResponse reports whether a part of the body that begins with a status line is the start of
// another response and not a quote.
func (b *Body) hasResponse(text []byte) bool {
	if EndOfHead(text) == 0 {
		return isUnfinishedHead(text)
	}
	response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(text)), nil)
	if err != nil {
		return false
	}
	origin := b.Origin(response.Header)
	if origin != SameCall {
		return origin == OtherCall
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err != nil || !isDelimited(b.Response) || !isDelimited(response)
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

// IsJoined reports whether a head contains another status line behind its own: a response has
// broken off there, and the rest belongs to another one. A header value that quotes a status
// line cannot be told from that.
func IsJoined(head []byte) bool { return len(head) > 0 && HasStatusLine(head[1:]) }

// QuotesOwnStatus reports whether each further status line in a head lies behind its first line
// and has the version and the code of its own. Both are then the same if one of them is a seam.
func QuotesOwnStatus(head []byte) bool {
	firstLine, _, _ := bytes.Cut(head, []byte("\n"))
	for i := range statusLines(head) {
		quoted := head[i : i+len(statusLineStart)]
		if i > 0 && (i < len(firstLine) || !bytes.HasPrefix(head, quoted)) {
			return false
		}
	}
	return true
}

// HasStatusLine reports whether a text contains the start of a status line.
func HasStatusLine[T string | []byte](text T) bool {
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

package instance

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/plantainramp/plantainramp/pkg/seam"
	"github.com/plantainramp/plantainramp/pkg/socket"
)

// peekHead returns the head of the next response without reading it: its status line, its
// header and the empty line at their end, or what there is of it if the connection ends first or
// bytes that are no head have arrived. The slice is valid until the next read.
func (k *conn) peekHead() []byte {
	for want := 1; ; {
		data, err := k.reader.Peek(want)
		if buffered, _ := k.reader.Peek(k.reader.Buffered()); len(buffered) > len(data) {
			data = buffered
		}
		if end := seam.EndOfHead(data); end > 0 {
			return data[:end]
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			k.growBuffer()
			continue
		}
		if err != nil || seam.IsNoHead(data) {
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

// hasJoinedBody reports whether the body of a response contains the start of another response to
// a call of the connection.
func (k *conn) hasJoinedBody(response *http.Response, body []byte, idHeader string) bool {
	next, _ := k.reader.Peek(k.reader.Buffered())
	b := seam.Body{Response: response, Text: body, Next: next, HasMore: k.hasUnreadData}
	b.Origin = func(header http.Header) seam.Origin {
		id := header.Get(idHeader)
		switch {
		case id == "" || !k.carried.has(digestOf(id)):
			return seam.Elsewhere
		case id == response.Header.Get(idHeader):
			return seam.SameCall
		}
		return seam.OtherCall
	}
	return b.IsJoined()
}

// hasUnreadData reports whether data has arrived that was not read.
func (k *conn) hasUnreadData() bool { return k.reader.Buffered() > 0 || socket.HasData(k.Conn) }

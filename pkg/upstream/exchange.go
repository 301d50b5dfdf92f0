package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/seam"
	"github.com/plantainramp/plantainramp/pkg/socket"
)

const (
	// maxHeadBytes bounds the head of a response.
	maxHeadBytes = 1 << 20
	// maxInterimResponses bounds the interim (1xx) responses before the final one.
	maxInterimResponses = 8
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// readBytes is the size of a read of a head.
	readBytes = 4 << 10
	// asyncWriteBytes is the size of a body above which a request is written while the
	// response is being read.
	asyncWriteBytes = 4 << 10
	// maxBudgetWait bounds how long a response waits for memory.
	maxBudgetWait = 250 * time.Millisecond
)

// commonHeaders lists headers, besides those of the body and of the connection, whose values are
// the same in responses of many servers.
var commonHeaders = []string{"Accept-Ranges", "Cache-Control", "Vary", "X-Content-Type-Options"}

// exchange is one request and its response on a connection of their own.
type exchange struct {
	net.Conn
	// ahead holds the bytes that were read from the connection and not yet from the exchange.
	ahead []byte
	// reader reads from the exchange. It is set once the head of the final response is ahead.
	reader *bufio.Reader
}

// Read implements io.Reader.
func (x *exchange) Read(b []byte) (int, error) {
	if len(x.ahead) == 0 {
		return x.Conn.Read(b)
	}
	n := copy(b, x.ahead)
	x.ahead = x.ahead[n:]
	return n, nil
}

// roundTrip sends a request over a new connection and reads its response, with a body of up to
// limitBytes and one byte more. It fails if the response is joined with another one, for which a
// body above the limit is not searched.
func (u *Client) roundTrip(ctx context.Context, req *http.Request, limitBytes int64) (*http.Response, []byte, error) {
	conn, err := dial(ctx, u.Address)
	if err != nil {
		return nil, nil, err
	}
	x := &exchange{Conn: conn}
	stopWatching := context.AfterFunc(ctx, func() { _ = x.Close() })
	defer stopWatching()
	wait := x.send(req)
	defer wait()
	defer func() { _ = x.Close() }()
	response, err := x.readResponse(req)
	if err != nil {
		return nil, nil, err
	}
	collector := memory.Collector{Clock: u.Clock, Tiers: u.Budgets, MaxWait: maxBudgetWait}
	defer collector.Release()
	body, err := collector.ReadAll(io.LimitReader(response.Body, limitBytes+1))
	isWhole := err == nil && int64(len(body)) <= limitBytes
	if isWhole && x.isJoined(response, body) {
		err = &JoinedResponsesError{Status: response.Status}
	}
	return response, body, err
}

// dial fails with the error of ctx if that has ended: this says nothing about the upstream.
func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return conn, err
}

// send writes a request. A large one is written while the response is read, as the upstream may
// respond before it has read the request; wait returns when nothing more is written, which it is
// not once the connection is closed.
func (x *exchange) send(req *http.Request) (wait func()) {
	write := func() {
		// An upstream that reads no more may have responded all the same.
		_ = req.Write(x.Conn)
	}
	if req.ContentLength <= asyncWriteBytes {
		write()
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		write()
	}()
	return func() { <-done }
}

// readResponse reads the head of the final response, skipping interim (1xx) ones. The head of
// one may quote its own status; another status line is a seam.
func (x *exchange) readResponse(req *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		head, err := x.peekHead()
		if err != nil {
			return nil, err
		}
		if isInterim(head) {
			x.ahead = x.ahead[len(head):]
			continue
		}
		x.reader = bufio.NewReader(x)
		response, err := http.ReadResponse(x.reader, req)
		if err == nil && seam.IsJoined(head) && !seam.QuotesOwnStatus(head) {
			return nil, &JoinedResponsesError{Status: response.Status}
		}
		if err == nil && (response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus) {
			return nil, &InvalidStatusError{Status: response.Status}
		}
		return response, err
	}
	return nil, &TooManyInterimError{}
}

// peekHead reads ahead until it has the head of the next response, and returns that. It returns
// less if the connection ends first or the bytes are no head.
func (x *exchange) peekHead() ([]byte, error) {
	for {
		if end := seam.EndOfHead(x.ahead); end > 0 {
			return x.ahead[:end], nil
		}
		if seam.IsNoHead(x.ahead) {
			return x.ahead, nil
		}
		if len(x.ahead) >= maxHeadBytes {
			return nil, &HeadTooLargeError{LimitBytes: maxHeadBytes}
		}
		x.ahead = slices.Grow(x.ahead, readBytes)
		n, err := x.Conn.Read(x.ahead[len(x.ahead):cap(x.ahead)])
		x.ahead = x.ahead[:len(x.ahead)+n]
		if err == io.EOF {
			return x.ahead, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// isInterim reports whether a head is that of an interim response. Status 101 is final.
func isInterim(head []byte) bool {
	_, status, _ := bytes.Cut(head, []byte(" "))
	if !bytes.HasPrefix(bytes.TrimLeft(status, " "), []byte("1")) {
		return false
	}
	response, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(head), len(head)), nil)
	return err == nil && response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols
}

// isJoined reports whether the body of a response contains the start of another one.
func (x *exchange) isJoined(response *http.Response, text []byte) bool {
	next, _ := x.reader.Peek(x.reader.Buffered())
	body := seam.Body{Response: response, Text: text, Next: next, HasMore: x.hasMore}
	body.Origin = func(header http.Header) seam.Origin {
		if sharesValue(response.Header, header) {
			return seam.SameCall
		}
		return seam.Elsewhere
	}
	return body.IsJoined()
}

// hasMore reports whether data has arrived that was not read from the reader.
func (x *exchange) hasMore() bool {
	return x.reader.Buffered() > 0 || len(x.ahead) > 0 || socket.HasData(x.Conn)
}

// sharesValue reports whether two headers have a value in common that tells the server or the
// call, such as Server, Date or an id. Upstreams need not send any that do.
func sharesValue(a, b http.Header) bool {
	for name, values := range a {
		if strings.HasPrefix(name, "Content-") || slices.Contains(hopByHopHeaders, name) || slices.Contains(commonHeaders, name) {
			continue
		}
		if slices.ContainsFunc(values, func(v string) bool { return slices.Contains(b[name], v) }) {
			return true
		}
	}
	return false
}

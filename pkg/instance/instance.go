// Package instance speaks HTTP/1.1 to the one instance beside a node. It owns
// its connections, so that it always knows whether a call may have run.
package instance

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 500 * time.Millisecond
	// readBufferBytes is the size of a connection's buffer in bytes.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long a connection is kept where the instance does not say.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how much earlier a connection is given up than the instance would close it.
	idleTimeoutMargin = time.Second
	// asyncWriteBytes is the size in bytes from which a call is written while its answer is awaited.
	asyncWriteBytes = 4 << 10
	// skipCheckWithin is how long after its use a connection carries an idempotent
	// call without a look whether it is still open.
	skipCheckWithin = 200 * time.Millisecond
	// maxMismatchedResponses bounds the answers to other requests that are skipped on one connection.
	maxMismatchedResponses = 2
	// maxInterimResponses bounds the interim answers (1xx) before the final one.
	maxInterimResponses = 8
)

// Headers names the headers that carry meaning between node and instance.
type Headers struct {
	RequestID, NotExecuted, InstanceID string
}

// Client calls one instance. Set the exported fields before use.
type Client struct {
	Address      string
	Clock        clock.Clock
	Headers      Headers
	MaxBodyBytes int64
	// Dial opens a connection; nil stands for a plain TCP dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnConnect is told of each new connection; nil is allowed.
	OnConnect func()

	mu   sync.Mutex
	idle []*conn
}

// Call is one call as the instance receives it.
type Call struct {
	Method, Target, Host string
	// Headers holds names and values in turn.
	Headers []string
	Body    []byte
	// RequestID is what the answer must echo; empty where the call has none.
	RequestID        string
	ExpectedInstance string
	// Idempotent calls may be lost on a connection that was closed just now.
	Idempotent bool
}

// Response is a whole answer.
type Response struct {
	Status int
	// Headers holds names and values in turn.
	Headers []string
	Body    []byte
}

// conn is a connection to the instance. It carries one call at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	reused bool
	// lastUsed is when the last answer was read.
	lastUsed time.Time
	// expiresAt is when the connection must no longer be used.
	expiresAt time.Time
}

// Do makes a call. Its errors are *NotSentError, *RejectedError and
// *BrokenError. When ctx ends the connection is closed, which tells the
// instance to stop.
func (c *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	request := encodeRequest(call)
	for {
		k, err := c.acquire(ctx, call.Idempotent)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		stopWatching := context.AfterFunc(ctx, func() { _ = k.Close() })
		response, reusable, err := c.roundTrip(k, call, request)
		if !stopWatching() || !reusable {
			_ = k.Close()
		} else {
			c.putIdle(k)
		}
		var unsent *NotSentError
		if k.reused && ctx.Err() == nil && errors.As(err, &unsent) {
			continue
		}
		return response, err
	}
}

// roundTrip sends the call and reads its answer. It tells whether the
// connection may be used again.
func (c *Client) roundTrip(k *conn, call *Call, request []byte) (*Response, bool, error) {
	written := make(chan error, 1)
	if len(request) > asyncWriteBytes {
		// An instance may answer before it has read everything.
		go func() {
			_, err := k.Write(request)
			written <- err
		}()
	} else {
		n, err := k.Write(request)
		if err != nil && n == 0 {
			return nil, false, &NotSentError{Cause: err}
		}
		written <- err
	}
	response, reusable, err := c.readResponse(k, call)
	for range maxMismatchedResponses {
		var mismatch *RequestIDMismatchError
		if !k.reused || !errors.As(err, &mismatch) {
			break
		}
		response, _, err = c.readResponse(k, call)
		reusable = false
	}
	select {
	case writeErr := <-written:
		reusable = reusable && writeErr == nil
	default:
		reusable = false
	}
	return response, reusable && k.reader.Buffered() == 0, err
}

// readResponse reads one final answer and tells whether the connection may be used again.
func (c *Client) readResponse(k *conn, call *Call) (*Response, bool, error) {
	response, err := readFinalResponse(k.reader, &http.Request{Method: call.Method})
	if err != nil {
		return nil, false, &ResponseError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response, c.MaxBodyBytes)
	if err != nil {
		return nil, false, &ResponseError{HeaderReceived: true, Cause: err}
	}
	c.updateExpiry(k, response)
	id := response.Header.Get(c.Headers.RequestID)
	if id != "" && id != call.RequestID {
		return nil, false, &ResponseError{HeaderReceived: true, Cause: &RequestIDMismatchError{Got: id}}
	}
	if err := c.rejection(response, call); err != nil {
		return nil, !response.Close, err
	}
	if id != call.RequestID {
		return nil, false, &ResponseError{HeaderReceived: true, Cause: &RequestIDMismatchError{Got: id}}
	}
	return &Response{Status: response.StatusCode, Headers: flattenHeader(response.Header), Body: body}, !response.Close, nil
}

// readFinalResponse reads an answer, passing over interim ones.
func readFinalResponse(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, &TooManyInterimError{}
}

// rejection returns a *RejectedError where the answer says that the call was not run.
func (c *Client) rejection(response *http.Response, call *Call) error {
	misdirected := response.StatusCode == http.StatusMisdirectedRequest && call.ExpectedInstance != ""
	if misdirected || response.Header.Get(c.Headers.NotExecuted) != "" {
		return &RejectedError{Status: response.StatusCode, RespondedBy: response.Header.Get(c.Headers.InstanceID)}
	}
	return nil
}

func readBody(response *http.Response, limitBytes int64) ([]byte, error) {
	if response.ContentLength > limitBytes {
		return nil, &ResponseTooLargeError{LimitBytes: limitBytes}
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limitBytes+1))
	if err == nil && int64(len(body)) > limitBytes {
		return nil, &ResponseTooLargeError{LimitBytes: limitBytes}
	}
	return body, err
}

func flattenHeader(header http.Header) []string {
	list := make([]string, 0, 2*len(header))
	for name, values := range header {
		for _, v := range values {
			list = append(list, name, v)
		}
	}
	return list
}

// updateExpiry reads how long the instance keeps the connection.
func (c *Client) updateExpiry(k *conn, response *http.Response) {
	idleTimeout := defaultIdleTimeout
	for parameter := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idleTimeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
		}
	}
	k.lastUsed = c.Clock.Now()
	k.expiresAt = k.lastUsed.Add(idleTimeout)
}

// acquire returns an idle connection that is still good, or a new one.
func (c *Client) acquire(ctx context.Context, idempotent bool) (*conn, error) {
	for {
		k := c.popIdle()
		if k == nil {
			return c.connect(ctx)
		}
		now := c.Clock.Now()
		skipCheck := idempotent && now.Sub(k.lastUsed) < skipCheckWithin
		if now.Before(k.expiresAt) && (skipCheck || isOpenAndIdle(k.Conn)) {
			k.reused = true
			return k, nil
		}
		_ = k.Close()
	}
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dial = dialTCP
	}
	raw, err := dial(ctx, c.Address)
	if err != nil {
		return nil, err
	}
	if c.OnConnect != nil {
		c.OnConnect()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}

// popIdle takes the connection that was used last.
func (c *Client) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	k := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return k
}

func (c *Client) putIdle(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

// CloseExpired closes the connections that nobody uses and whose time has passed.
func (c *Client) CloseExpired() {
	now := c.Clock.Now()
	c.mu.Lock()
	kept := c.idle[:0]
	var expired []*conn
	for _, k := range c.idle {
		if now.Before(k.expiresAt) {
			kept = append(kept, k)
		} else {
			expired = append(expired, k)
		}
	}
	c.idle = kept
	c.mu.Unlock()
	for _, k := range expired {
		_ = k.Close()
	}
}

// encodeRequest writes the head and body of a call in one piece.
func encodeRequest(call *Call) []byte {
	size := len(call.Method) + len(call.Target) + len(call.Host) + len(call.Body) + 64
	for _, h := range call.Headers {
		size += len(h) + 4
	}
	b := bytes.NewBuffer(make([]byte, 0, size))
	for _, s := range []string{call.Method, " ", call.Target, " HTTP/1.1\r\nHost: ", call.Host, "\r\n"} {
		b.WriteString(s)
	}
	for i := 0; i+1 < len(call.Headers); i += 2 {
		b.WriteString(call.Headers[i])
		b.WriteString(": ")
		b.WriteString(call.Headers[i+1])
		b.WriteString("\r\n")
	}
	if len(call.Body) > 0 || needsContentLength(call.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

func needsContentLength(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

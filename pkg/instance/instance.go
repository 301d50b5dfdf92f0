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
	// readBuffer is the size of a connection's buffer in bytes.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept where the instance does not say.
	defaultIdle = 4 * time.Second
	// idleMargin is how much earlier a connection is given up than the instance would close it.
	idleMargin = time.Second
	// longCall is the size in bytes from which a call is written while its answer is awaited.
	longCall = 4 << 10
	// uncheckedFor is how long after its use a connection carries an idempotent
	// call without a look whether it is still open.
	uncheckedFor = 200 * time.Millisecond
	// maxStray bounds the answers to other requests that are skipped on one connection.
	maxStray = 2
	// maxInterim bounds the interim answers (1xx) before the final one.
	maxInterim = 8
)

// Headers names the headers that carry meaning between node and instance.
type Headers struct {
	RequestID, NotExecuted, InstanceID string
}

// Client calls one instance. Set the exported fields before use.
type Client struct {
	Address   string
	Clock     clock.Clock
	Headers   Headers
	MaxAnswer int64
	// Dial opens a connection; nil stands for a plain TCP dial.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Opened is told of each new connection; nil is allowed.
	Opened func()

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
	RequestID string
	Expected  string
	// Idempotent calls may be lost on a connection that was closed just now.
	Idempotent bool
}

// Answer is a whole answer.
type Answer struct {
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
	// used is when the last answer was read.
	used time.Time
	// until is when the connection must no longer be used.
	until time.Time
}

// Do makes a call. Its errors are *NotSentError, *RejectedError and
// *BrokenError. When ctx ends the connection is closed, which tells the
// instance to stop.
func (c *Client) Do(ctx context.Context, call *Call) (*Answer, error) {
	head := encode(call)
	for {
		k, err := c.take(ctx, call.Idempotent)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		stop := context.AfterFunc(ctx, func() { _ = k.Close() })
		answer, keep, err := c.exchange(k, call, head)
		if !stop() || !keep {
			_ = k.Close()
		} else {
			c.put(k)
		}
		var unsent *NotSentError
		if k.reused && ctx.Err() == nil && errors.As(err, &unsent) {
			continue
		}
		return answer, err
	}
}

// exchange sends the call and reads its answer. It tells whether the
// connection may be used again.
func (c *Client) exchange(k *conn, call *Call, head []byte) (*Answer, bool, error) {
	written := make(chan error, 1)
	if len(head) > longCall {
		// An instance may answer before it has read everything.
		go func() {
			_, err := k.Write(head)
			written <- err
		}()
	} else {
		n, err := k.Write(head)
		if err != nil && n == 0 {
			return nil, false, &NotSentError{Cause: err}
		}
		written <- err
	}
	answer, keep, err := c.receive(k, call)
	for range maxStray {
		var other *OtherAnswerError
		if !k.reused || !errors.As(err, &other) {
			break
		}
		answer, _, err = c.receive(k, call)
		keep = false
	}
	select {
	case failed := <-written:
		keep = keep && failed == nil
	default:
		keep = false
	}
	return answer, keep && k.reader.Buffered() == 0, err
}

// receive reads one final answer and tells whether the connection may be used again.
func (c *Client) receive(k *conn, call *Call) (*Answer, bool, error) {
	response, err := readFinal(k.reader, &http.Request{Method: call.Method})
	if err != nil {
		return nil, false, &BrokenError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response, c.MaxAnswer)
	if err != nil {
		return nil, false, &BrokenError{Heard: true, Cause: err}
	}
	c.noteIdle(k, response)
	id := response.Header.Get(c.Headers.RequestID)
	if id != "" && id != call.RequestID {
		return nil, false, &BrokenError{Heard: true, Cause: &OtherAnswerError{Got: id}}
	}
	if err := c.rejected(response, call); err != nil {
		return nil, !response.Close, err
	}
	if id != call.RequestID {
		return nil, false, &BrokenError{Heard: true, Cause: &OtherAnswerError{Got: id}}
	}
	return &Answer{Status: response.StatusCode, Headers: flatten(response.Header), Body: body}, !response.Close, nil
}

// readFinal reads an answer, passing over interim ones.
func readFinal(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(reader, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, &InterimError{}
}

// rejected returns a *RejectedError where the answer says that the call was not run.
func (c *Client) rejected(response *http.Response, call *Call) error {
	misdirected := response.StatusCode == http.StatusMisdirectedRequest && call.Expected != ""
	if misdirected || response.Header.Get(c.Headers.NotExecuted) != "" {
		return &RejectedError{Status: response.StatusCode, Other: response.Header.Get(c.Headers.InstanceID)}
	}
	return nil
}

func readBody(response *http.Response, bound int64) ([]byte, error) {
	if response.ContentLength > bound {
		return nil, &TooLargeError{Bound: bound}
	}
	if response.ContentLength >= 0 {
		body := make([]byte, response.ContentLength)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, bound+1))
	if err == nil && int64(len(body)) > bound {
		return nil, &TooLargeError{Bound: bound}
	}
	return body, err
}

func flatten(header http.Header) []string {
	list := make([]string, 0, 2*len(header))
	for name, values := range header {
		for _, v := range values {
			list = append(list, name, v)
		}
	}
	return list
}

// noteIdle reads how long the instance keeps the connection.
func (c *Client) noteIdle(k *conn, response *http.Response) {
	idle := defaultIdle
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			idle = time.Duration(seconds)*time.Second - idleMargin
		}
	}
	k.used = c.Clock.Now()
	k.until = k.used.Add(idle)
}

// take returns an idle connection that is still good, or a new one.
func (c *Client) take(ctx context.Context, idempotent bool) (*conn, error) {
	for {
		k := c.pop()
		if k == nil {
			return c.open(ctx)
		}
		now := c.Clock.Now()
		unchecked := idempotent && now.Sub(k.used) < uncheckedFor
		if now.Before(k.until) && (unchecked || alive(k.Conn)) {
			k.reused = true
			return k, nil
		}
		_ = k.Close()
	}
}

func (c *Client) open(ctx context.Context) (*conn, error) {
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
	if c.Opened != nil {
		c.Opened()
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	return d.DialContext(ctx, "tcp", address)
}

// pop takes the connection that was used last.
func (c *Client) pop() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	k := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return k
}

func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, k)
}

// CloseIdle closes the connections that nobody uses and whose time has passed.
func (c *Client) CloseIdle() {
	now := c.Clock.Now()
	c.mu.Lock()
	kept := c.idle[:0]
	var done []*conn
	for _, k := range c.idle {
		if now.Before(k.until) {
			kept = append(kept, k)
		} else {
			done = append(done, k)
		}
	}
	c.idle = kept
	c.mu.Unlock()
	for _, k := range done {
		_ = k.Close()
	}
}

// encode writes the head and body of a call in one piece.
func encode(call *Call) []byte {
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
	if len(call.Body) > 0 || mayHaveBody(call.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

func mayHaveBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

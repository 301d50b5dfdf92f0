// Package instance is an HTTP/1.1 client for the local instance of a node. It
// manages its connections itself instead of using net/http, so that it can tell for
// each failed call whether the call may have run.
//
// Instances may send a response again at any later time, whole or in part. A stray response is
// any that is read while a call awaits its own. One that is whole and belongs to an earlier call
// of the connection is a late copy, which is skipped. One that has broken off is joined with the
// next, which shows as a second status line. Any stray but a late copy ends the call as one
// that may have run.
package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/seam"
)

const (
	// dialTimeout bounds the dialling of a connection.
	dialTimeout = 500 * time.Millisecond
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept when the instance sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how long before the Keep-Alive timeout of the instance an idle
	// connection is closed, to avoid a race with the instance closing it.
	idleTimeoutMargin = time.Second
	// asyncWriteBytes is the size above which a request is written while the response
	// is being read.
	asyncWriteBytes = 4 << 10
	// skipCheckWithin is the time after its last use within which a connection carries an
	// idempotent call without a check that it is still open.
	skipCheckWithin = 200 * time.Millisecond
	// maxCopies bounds the copies of an earlier response that are skipped while the response
	// to a call is awaited.
	maxCopies = 2
	// maxHeaderBytes bounds the headers of the interim responses and the final one together.
	maxHeaderBytes = 256 << 10
	// maxInterimResponses bounds the interim (1xx) responses before the final one.
	maxInterimResponses = 8
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
)

// Headers holds the names of the response headers that the client evaluates.
type Headers struct {
	// RequestID is the header that repeats the id of the request, NotExecuted the one
	// that marks a call as not run, InstanceID the one with the id of the instance,
	// RateLimit the one with the calls per second that the instance takes, Leaving the one
	// that is true if the instance leaves, and ColdRemaining the one with the milliseconds
	// for which it stays cold.
	RequestID, NotExecuted, InstanceID, RateLimit, Leaving, ColdRemaining string
}

// Client sends calls to one instance over a pool of connections. Set the exported
// fields before use. Its methods are safe for concurrent use.
type Client struct {
	// Address is the host:port address of the instance.
	Address string
	Clock   clock.Clock
	Headers Headers
	// MaxBodyBytes bounds the body of a response.
	MaxBodyBytes int64
	// Budgets bound the memory for response bodies.
	Budgets memory.Tiers
	// MaxWaiting returns how many responses may wait for memory at the same time; nil means any
	// number.
	MaxWaiting func() int
	// Dial connects to the instance; nil means TCP without keep-alive probes.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnConnect is called for each new connection; nil is allowed.
	OnConnect func()
	// BeforeSend is called each time that a call is about to be written to a connection. If
	// it returns an error, the call is not sent. nil permits all calls.
	BeforeSend func(call *Call) error
	// OnBroken is called when no connection to the instance can be opened, for another reason than
	// a lack of descriptors or memory of the node, or when it ends one that is in use or kept for later calls, before Do returns or sends the call again; nil is allowed.
	OnBroken func(err error)
	// OnAnnouncement is called for each response of the instance that a call is addressed
	// to, before Do returns; nil is allowed.
	OnAnnouncement func(a Announcement)
	// OnStray is called for each response that is not taken for that of the call that
	// awaits one; nil is allowed.
	OnStray func(s Stray)
	// OnJoined is called for each call whose response is joined with another one, with the number
	// of calls that the connection has carried, including this one; nil is allowed.
	OnJoined func(call *Call, err *JoinedResponsesError, calls int)
	// OnRepeatedID is called for each call that passes over an idle connection, as that has
	// carried its id; nil is allowed.
	OnRepeatedID func(id string)

	// waiting is the number of responses that wait for memory.
	waiting atomic.Int64
	// mu guards idle.
	mu sync.Mutex
	// idle holds the idle connections, the most recently used one last.
	idle []*conn
}

// Call is an HTTP request to the instance.
type Call struct {
	// Target is the HTTP request target: path and query.
	Method, Target, Host string
	// Headers holds alternating names and values.
	Headers []string
	Body    []byte
	// RequestID is the id that the response must repeat; empty if the call has none.
	RequestID string
	// ExpectedInstance is the id of the instance that the call is addressed to. If it
	// is set, a response with status 421 means that the call was not run.
	ExpectedInstance string
	// Idempotent reports whether the call may be repeated. Such a call skips the check
	// of a recently used connection and may be lost if that has just been closed.
	Idempotent bool
	// HealthCheck reports whether the call is a health check of the node.
	HealthCheck bool
	// KeepsReservation reports whether the memory for the response body stays reserved when
	// Do returns, until ReleaseBody.
	KeepsReservation bool
	// SentAt is set by Do before the first byte is written; zero if nothing was.
	SentAt time.Time
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	// Headers holds alternating names and values.
	Headers []string
	Body    []byte
}

// Header returns the first value of a header, or an empty string.
func (r *Response) Header(name string) string {
	for i := 0; i+1 < len(r.Headers); i += 2 {
		if strings.EqualFold(r.Headers[i], name) {
			return r.Headers[i+1]
		}
	}
	return ""
}

// Do sends a call and returns its response. Its errors are *NotSentError,
// *RejectedError and *ResponseError. A call that could not be sent on a reused
// connection is sent again on another one. When ctx ends before the call is sent, Do sends
// nothing. When it ends later, Do closes the connection, which signals the instance to
// abort the call.
func (c *Client) Do(ctx context.Context, call *Call) (*Response, error) {
	request := encodeRequest(call)
	for {
		k, err := c.acquire(ctx, call)
		if err != nil {
			return nil, &NotSentError{Cause: err}
		}
		if err := c.checkSend(ctx, call); err != nil {
			c.putIdle(k)
			return nil, &NotSentError{Cause: err}
		}
		// Once k is idle again, another call may use it.
		reused := k.reused
		stopWatching := context.AfterFunc(ctx, func() { _ = k.Close() })
		response, reusable, err := c.roundTrip(k, call, request)
		if !stopWatching() || !reusable {
			_ = k.Close()
		} else {
			c.putIdle(k)
		}
		c.noteBroken(ctx, err)
		var unsent *NotSentError
		if reused && ctx.Err() == nil && errors.As(err, &unsent) {
			continue
		}
		if response != nil && !call.KeepsReservation {
			c.ReleaseBody(response.Body)
		}
		return response, err
	}
}

// roundTrip sends a call, reads its response, and reports whether the connection may
// be reused. It skips late copies of earlier responses on the connection, and nothing else: what
// follows another response need not be that of the call.
func (c *Client) roundTrip(k *conn, call *Call, request []byte) (*Response, bool, error) {
	call.SentAt = c.Clock.Now()
	k.carried.add(digestOf(call.RequestID))
	written := make(chan error, 1)
	if len(request) > asyncWriteBytes {
		// The instance may respond before it has read the whole request.
		go func() {
			_, err := k.Write(request)
			written <- err
		}()
	} else {
		n, err := k.Write(request)
		if err != nil && n == 0 {
			call.SentAt = time.Time{}
			return nil, false, &NotSentError{Cause: err}
		}
		written <- err
	}
	copies := 0
	response, reusable, err := c.readResponse(k, call, copies < maxCopies)
	var mismatch *RequestIDMismatchError
	for errors.As(err, &mismatch) && mismatch.Skipped {
		copies++
		response, reusable, err = c.readResponse(k, call, copies < maxCopies)
	}
	var joined *JoinedResponsesError
	if c.OnJoined != nil && errors.As(err, &joined) {
		c.OnJoined(call, joined, k.carried.count())
	}
	select {
	case writeErr := <-written:
		reusable = reusable && writeErr == nil
	default:
		reusable = false
	}
	return response, reusable && copies == 0 && k.reader.Buffered() == 0, err
}

// readResponse reads the final response to a call and reports whether the
// connection may be reused. maySkip tells whether a late copy may be skipped.
func (c *Client) readResponse(k *conn, call *Call, maySkip bool) (result *Response, reusable bool, err error) {
	k.header.limit(maxHeaderBytes)
	response, joined, err := k.readFinalResponse(&http.Request{Method: call.Method})
	k.header.unlimit()
	if err != nil {
		return nil, false, &ResponseError{Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	c.announce(response, call)
	body, err := c.readBody(response)
	defer func() {
		if result == nil {
			c.ReleaseBody(body)
		}
	}()
	if err != nil {
		// Closing the body of an open connection would read the rest of it.
		_ = k.Close()
		return nil, false, &ResponseError{HeaderReceived: true, Cause: err}
	}
	c.updateExpiry(k, response)
	id := c.requestID(response)
	rejection := c.rejection(response, call)
	// On a new connection there is no earlier call that the response could be to, and a
	// rejection may lack the id, as some do that are sent before the request is read.
	isOwn := id == call.RequestID || id == "" && rejection != nil && k.carried.count() == 1
	if !isOwn {
		skipped := maySkip && call.Method != http.MethodHead && k.isLateCopy(id, response, body, c.Headers.RequestID)
		c.noteStray(k, call, response, skipped)
		return nil, false, &ResponseError{HeaderReceived: true, Cause: &RequestIDMismatchError{Got: id, Skipped: skipped}}
	}
	if joined && rejection != nil || k.hasJoinedBody(response, body, c.Headers.RequestID) {
		return nil, false, &ResponseError{HeaderReceived: true, Cause: &JoinedResponsesError{Status: response.Status}}
	}
	reusable = !response.Close && !joined
	if rejection != nil {
		return nil, reusable, rejection
	}
	return &Response{Status: response.StatusCode, Headers: flattenHeader(response.Header), Body: body}, reusable, nil
}

// requestID returns the request id in a response, or all of them if there are several.
func (c *Client) requestID(response *http.Response) string {
	return strings.Join(response.Header.Values(c.Headers.RequestID), ", ")
}

// readFinalResponse reads a response, skipping interim (1xx) ones. It reports whether the head
// of one of them contains another status line. On a connection that has carried earlier calls
// that is an error. On a new one no answer to another call can precede the response, which may
// quote its own status.
func (k *conn) readFinalResponse(request *http.Request) (response *http.Response, joined bool, err error) {
	for range maxInterimResponses {
		head := k.peekHead()
		joined = seam.IsJoined(head) || joined
		isSeam := joined && (k.carried.count() > 1 || !seam.QuotesOwnStatus(head))
		response, err := http.ReadResponse(k.reader, request)
		if err == nil && isSeam {
			return nil, joined, &JoinedResponsesError{Status: response.Status}
		}
		// A status that is none must not be taken for that of an interim response.
		if err == nil && !isStatus(response.StatusCode) {
			return nil, joined, &InvalidStatusError{Status: response.Status}
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, joined, err
		}
	}
	return nil, joined, &TooManyInterimError{}
}

// isStatus reports whether a number is a status of HTTP.
func isStatus(code int) bool { return code >= http.StatusContinue && code <= maxStatus }

// rejection returns a *RejectedError if the response states that the call was not run.
func (c *Client) rejection(response *http.Response, call *Call) error {
	misdirected := response.StatusCode == http.StatusMisdirectedRequest && call.ExpectedInstance != ""
	if misdirected || response.Header.Get(c.Headers.NotExecuted) != "" {
		return &RejectedError{Status: response.StatusCode, RespondedBy: response.Header.Get(c.Headers.InstanceID)}
	}
	return nil
}

// flattenHeader returns alternating names and values.
func flattenHeader(header http.Header) []string {
	list := make([]string, 0, 2*len(header))
	for name, values := range header {
		for _, v := range values {
			list = append(list, name, v)
		}
	}
	return list
}

// updateExpiry sets when a connection expires, from the Keep-Alive header of the
// response.
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

// Package upstream hands calls to the node's own upstream instance and follows
// the calls that the upstream makes in turn.
package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

const (
	// maxIdleConns bounds the kept connections to the upstream.
	maxIdleConns = 512
	dialTimeout  = time.Second
)

// hopByHopHeaders belong to one connection and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Token stands for a call that runs; the upstream passes it on with the calls
// that it makes for it.
type Token string

// Client hands calls to the upstream. It needs Address, Clock and MaxAnswer.
type Client struct {
	Address string
	Clock   clock.Clock
	// MaxResponseBytes bounds an answer in bytes.
	MaxResponseBytes int64
	// Unfenced starts calls whose lease to start has ended.
	Unfenced bool
	// OnDialError, where set, is called when the upstream refuses connections.
	OnDialError func()

	once sync.Once
	// transport follows no redirects and adds no headers: answers pass as they are.
	transport    *http.Transport
	runningCalls sync.Map
}

func (u *Client) init() {
	u.once.Do(func() {
		dialer := &net.Dialer{Timeout: dialTimeout}
		u.transport = &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
		}
	})
}

// RunningCall returns the call that a token stands for, or nil.
func (u *Client) RunningCall(token Token) *call.Call {
	if found, ok := u.runningCalls.Load(token); ok {
		return found.(*call.Call)
	}
	return nil
}

// Handle implements call.Handler: it runs the call on the upstream. The start
// limit of the call is judged immediately before the hand-over.
func (u *Client) Handle(ctx context.Context, c *call.Call) (*call.Response, error) {
	u.init()
	ctx, cancel := context.WithTimeout(ctx, c.Remaining(u.Clock.Now()))
	defer cancel()
	token := Token(fleet.NewID())
	u.runningCalls.Store(token, c)
	defer u.runningCalls.Delete(token)
	req, err := u.newRequest(ctx, c, token)
	if err != nil {
		return nil, problem.New(problem.KindMalformed, "the call cannot be written as an HTTP request")
	}
	if !u.Unfenced && u.Clock.Now().After(c.StartDeadline()) {
		return nil, problem.New(problem.KindDeadline, "the time to start the call had passed")
	}
	resp, err := u.transport.RoundTrip(req)
	if err != nil {
		return nil, u.transportError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, u.MaxResponseBytes+1))
	if err != nil {
		return nil, u.transportError(ctx, err)
	}
	if int64(len(body)) > u.MaxResponseBytes {
		return nil, &problem.Error{Kind: problem.KindTooLarge, Detail: "the answer is larger than the node passes on", Execution: problem.Executed}
	}
	header := resp.Header.Clone()
	StripHeaders(header)
	return &call.Response{Status: resp.StatusCode, Header: header, Body: body, Shed: c.Children.Shed()}, nil
}

func (u *Client) newRequest(ctx context.Context, c *call.Call, token Token) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+u.Address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return nil, eris.Wrap(err, "make upstream request")
	}
	// Without GetBody the transport cannot send a request a second time.
	req.GetBody = nil
	req.Header = c.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set(call.HeaderRequestID, string(c.Request))
	req.Header.Set(call.HeaderOrganisation, string(c.Organisation))
	req.Header.Set(call.HeaderContext, string(token))
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(c.Remaining(u.Clock.Now()).Milliseconds(), 10))
	if c.IdempotencyKey != "" {
		req.Header.Set(call.HeaderIdempotencyKey, c.IdempotencyKey)
	}
	return req, nil
}

func (u *Client) transportError(ctx context.Context, err error) error {
	var op *net.OpError
	if eris.As(err, &op) && op.Op == "dial" {
		if u.OnDialError != nil {
			u.OnDialError()
		}
		return problem.New(problem.KindUnreachable, "the upstream of this instance does not accept connections")
	}
	if ctx.Err() != nil {
		return problem.NewUncertain(problem.KindDeadline, "the call was cancelled while it ran")
	}
	return problem.NewUncertain(problem.KindUncertain, "the connection to the upstream broke before its whole answer came")
}

// StripHeaders removes headers that belong to one connection or to the nodes.
func StripHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for _, name := range strings.Split(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for name := range h {
		if strings.HasPrefix(name, call.HeaderPrefix) {
			h.Del(name)
		}
	}
}

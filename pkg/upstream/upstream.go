// Package upstream sends calls to the node's local upstream over HTTP. It also
// associates the calls that the upstream makes in turn with the call that it runs.
package upstream

import (
	"bytes"
	"context"
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
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

const dialTimeout = time.Second

// hopByHopHeaders lists the headers that apply to one connection only and are never
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Token identifies a running call. The upstream receives it in call.HeaderContext and
// sends it with the child calls that it makes to run that call.
type Token string

// Client sends calls to the upstream. Address, Clock and MaxResponseBytes must be set
// before use. It is safe for concurrent use. It follows no redirects and requests no compression, so
// that responses pass unmodified. Each connection carries one request: upstreams need not echo an
// id, so that on a reused connection, a late duplicate of an earlier response could not be told from
// the response to the request. A response that is joined with another one ends its call as one that
// may have run.
type Client struct {
	Address string
	Clock   clock.Clock
	// MaxResponseBytes bounds the body of a response. Larger responses are refused.
	MaxResponseBytes int64
	// Budgets bound the memory for responses while they are read.
	Budgets memory.Tiers
	// Unfenced disables the check that the start deadline of a call has not passed.
	Unfenced bool
	// OnDialError, if set, is called when a connection to the upstream cannot be
	// established.
	OnDialError func()

	// runningCalls maps Token to *call.Call.
	runningCalls sync.Map
}

// RunningCall returns the running call that a token identifies, or nil.
func (u *Client) RunningCall(token Token) *call.Call {
	if found, ok := u.runningCalls.Load(token); ok {
		return found.(*call.Call)
	}
	return nil
}

// Handle runs a call on the upstream. It is a call.Handler. It checks the start
// deadline of the call immediately before sending it.
func (u *Client) Handle(ctx context.Context, c *call.Call) (*call.Response, error) {
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
	resp, body, err := u.roundTrip(ctx, req, u.MaxResponseBytes)
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
		return nil, eris.Wrap(err, "create upstream request")
	}
	req.Close = true
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

// transportError converts an error of the transport to *problem.Error. Only a failed
// dial proves that the call was not executed.
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
	var noMemory *memory.NoMemoryError
	if eris.As(err, &noMemory) {
		return problem.NewUncertain(problem.KindUncertain, "the node has no memory for the answer of the upstream")
	}
	var joined *JoinedResponsesError
	if eris.As(err, &joined) {
		return problem.NewUncertain(problem.KindUncertain, "the answer of the upstream is joined with another one")
	}
	var invalid *InvalidStatusError
	if eris.As(err, &invalid) {
		return problem.NewUncertain(problem.KindUncertain, "the answer of the upstream has no valid status")
	}
	return problem.NewUncertain(problem.KindUncertain, "the connection to the upstream broke before its whole answer came")
}

// StripHeaders removes hop-by-hop headers and headers with call.HeaderPrefix.
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

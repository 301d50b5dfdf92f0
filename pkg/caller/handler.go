package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/meter"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/retry"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

const (
	// maxCallDepth is the maximum number of calls in a chain of calls.
	maxCallDepth = 16
	// maxBodyWait bounds how long the body of a request waits for memory.
	maxBodyWait = 250 * time.Millisecond
)

// Handler is an http.Handler that reads requests as calls and passes them to
// CallHandler. All exported fields but FindParent and ForwardKeys must be set before
// use. It is safe for concurrent use.
type Handler struct {
	Follower    *config.Follower
	Clock       clock.Clock
	Logger      *logs.Logger
	Meter       *meter.Meter
	CallHandler call.Handler
	// FindParent returns the running call that a token identifies, or nil. If it is
	// set, the handler identifies requests by the token in call.HeaderContext. If it is
	// not, the handler is public and authenticates requests by API key.
	FindParent func(upstream.Token) *call.Call
	// Ready reports whether the node may serve requests.
	Ready func() bool
	// ForwardKeys forwards all headers unmodified and disables the check for API keys
	// in the URI and the body.
	ForwardKeys  bool
	MaxBodyBytes int64
	// DefaultDeadline is the time until the deadline of requests that set none.
	DefaultDeadline time.Duration
	// SmallResponses and LargeResponses bound the memory for responses that callers have not
	// read, as memory.Tiers does; nil means no bound.
	SmallResponses, LargeResponses *memory.HeldBudget
	// Bodies bound the memory for the bodies of requests until these end.
	Bodies memory.Tiers
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := h.Clock.Now()
	responses := connection.Responses{Clock: h.Clock, Small: h.SmallResponses, Large: h.LargeResponses}
	responses.Limit(w, start, start.Add(h.DefaultDeadline))
	body := &memory.Collector{Clock: h.Clock, Tiers: h.Bodies, MaxWait: maxBodyWait}
	defer body.Release()
	c, err := h.readCall(w, r, body, start)
	var response *call.Response
	if err == nil {
		response, err = h.handleCall(r.Context(), c)
	}
	var hold *memory.Hold
	if err == nil {
		var held bool
		if hold, held = responses.Hold(w, len(response.Body)); !held {
			err = problem.NewUncertain(problem.KindUncertain, "the node has no memory for the answer; the call has run")
		}
	}
	if hold != nil {
		defer hold.Release()
	}
	defer func() { h.recordResult(c, response, err, h.Clock.Now().Sub(start)) }()
	responses.Limit(w, h.Clock.Now(), c.Deadline)
	h.writeHead(w, c, response, err)
	if err == nil {
		responses.Write(w, response.Body, c.Deadline, hold)
	}
}

// handleCall passes a call to CallHandler. If the call has a parent, handleCall adds its
// duration to the time that the parent waited for child calls, returns its unused
// retries to the parent, and marks the parent if the call or one below it was shed.
func (h *Handler) handleCall(ctx context.Context, c *parsedCall) (*call.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if c.parent == nil {
		return h.CallHandler(ctx, c.Call)
	}
	start := h.Clock.Now()
	response, err := h.CallHandler(ctx, c.Call)
	c.parent.Children.AddWait(h.Clock.Now().Sub(start))
	c.parent.Retries.Return(c.Retries.Remaining())
	var p *problem.Error
	if eris.As(err, &p) && p.Kind == problem.KindShed || response != nil && response.Shed {
		c.parent.Children.MarkShed()
	}
	return response, err
}

// parsedCall is a call read from an HTTP request.
type parsedCall struct {
	*call.Call
	// parent is the running call whose upstream sent the request. It is nil for a root
	// call.
	parent *call.Call
}

// readCall validates a request and converts it to a call. The returned call is never
// nil; if readCall fails, the call has at least a request id.
func (h *Handler) readCall(w http.ResponseWriter, r *http.Request, body *memory.Collector, now time.Time) (*parsedCall, error) {
	c := &parsedCall{Call: &call.Call{Request: fleet.RequestID(fleet.NewID()), Weight: 1}}
	view := h.Follower.View()
	if !h.Ready() {
		return c, problem.New(problem.KindNotReady, "the node holds no configuration yet; try another or wait")
	}
	dest, err := readTarget(r, view.ServiceOfHost)
	if err != nil {
		return c, err
	}
	if err := h.identify(c, r, view); err != nil {
		return c, err
	}
	service := view.Service(dest.service)
	if service == nil {
		return c, problem.New(problem.KindNotFound, "no ticket has made this service")
	}
	c.Service, c.Method = dest.service, r.Method
	if c.Route = service.Route(r.Method, dest.path); c.Route == nil {
		return c, problem.New(problem.KindNotFound, "the service has no route for this method and path")
	}
	if c.parent != nil {
		c.Route = inheritClass(c.Route, c.parent)
	}
	if c.Organisation == "" && !c.Route.Open {
		return c, problem.New(problem.KindInvalidKey, "this route needs a key")
	}
	if err := h.readDetails(c, r, dest, now); err != nil {
		return c, err
	}
	return c, h.readBody(w, r, body, c)
}

// inheritClass returns a copy of a route with the class of the parent call, so that all
// calls of a request have the class of its root.
func inheritClass(r *ticket.Route, parent *call.Call) *ticket.Route {
	inherited := *r
	inherited.Class = parent.Route.Class
	return &inherited
}

// identify sets the organisation, its weight and the retry allowance of the call: from
// the parent call if FindParent is set, otherwise from the API key.
func (h *Handler) identify(c *parsedCall, r *http.Request, view *config.View) error {
	if h.FindParent != nil {
		return h.attachToParent(c, upstream.Token(r.Header.Get(call.HeaderContext)))
	}
	c.Retries = retry.NewAllowance(retry.MaxRequestRetries)
	key, err := readAPIKey(r.Header)
	if err != nil || key == "" {
		return err
	}
	organisation, known := view.Authenticate(key)
	if !known {
		return problem.New(problem.KindInvalidKey, "the key is unknown or withdrawn")
	}
	c.Organisation = organisation
	if o := view.Organisation(organisation); o != nil {
		c.Weight = o.Weight
	}
	return nil
}

// attachToParent makes the call a child of the running call that the token identifies.
// Without a token, the call is a root without organisation or retries, and may use
// open routes only.
func (h *Handler) attachToParent(c *parsedCall, token upstream.Token) error {
	c.Retries = retry.NewAllowance(0)
	if token == "" {
		return nil
	}
	parent := h.FindParent(token)
	if parent == nil {
		return problem.New(problem.KindForbidden, call.HeaderContext+" names no call that runs here")
	}
	if parent.Depth+1 >= maxCallDepth {
		return problem.New(problem.KindForbidden, "the chain of calls is too deep")
	}
	c.parent = parent
	c.Request, c.Organisation, c.Weight = parent.Request, parent.Organisation, parent.Weight
	c.Depth = parent.Depth + 1
	c.Retries = retry.NewAllowance(parent.Retries.Grant())
	return nil
}

// readDetails sets the deadline, idempotency key, path and headers of the call. A call does not
// outlive the deadline of its parent.
func (h *Handler) readDetails(c *parsedCall, r *http.Request, dest target, now time.Time) error {
	timeout, err := readDeadline(r.Header, h.DefaultDeadline)
	if err != nil {
		return err
	}
	c.Deadline = now.Add(timeout)
	if c.parent != nil && c.parent.Deadline.Before(c.Deadline) {
		c.Deadline = c.parent.Deadline
	}
	if c.IdempotencyKey, err = readIdempotencyKey(r.Header); err != nil {
		return err
	}
	c.Path = dest.path
	if _, query, hasQuery := strings.Cut(r.RequestURI, "?"); hasQuery {
		c.Path += "?" + query
	}
	if h.ForwardKeys {
		c.Header = r.Header.Clone()
		return nil
	}
	c.Header = cleanHeaders(r.Header)
	return nil
}

// readBody reads the body of a call until its deadline.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, body *memory.Collector, c *parsedCall) error {
	controller := http.NewResponseController(w)
	// A connection without deadlines is read at any pace.
	_ = controller.SetReadDeadline(c.Deadline)
	var err error
	if c.Body, err = readBody(r, body, h.MaxBodyBytes); err != nil {
		return err
	}
	// While the call runs, the server reads on to notice that the caller leaves.
	_ = controller.SetReadDeadline(time.Time{})
	if !h.ForwardKeys && containsAPIKey(r.RequestURI, c.Body, strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)) {
		return newMalformedError("path, query or body hold a key; a key belongs into the Authorization header only")
	}
	return nil
}

// writeHead writes the head of a response, or a whole one if the call failed.
func (h *Handler) writeHead(w http.ResponseWriter, c *parsedCall, response *call.Response, err error) {
	w.Header().Set(call.HeaderRequestID, string(c.Request))
	if err != nil {
		asProblem(err).Write(w)
		return
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(call.HeaderRequestID, string(c.Request))
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.WriteHeader(response.Status)
}

// asProblem returns the *problem.Error in err. Any other error becomes a problem of
// unknown execution status, so that internal errors do not reach a caller.
func asProblem(err error) *problem.Error {
	var p *problem.Error
	if eris.As(err, &p) {
		return p
	}
	return problem.NewUncertain(problem.KindUncertain, "the node failed")
}

// recordResult records the metrics of a request and logs a refusal with its request id.
func (h *Handler) recordResult(c *parsedCall, response *call.Response, err error, latency time.Duration) {
	class := fleet.ClassNormal
	if c.Route != nil {
		class = c.Route.Class
	}
	if err == nil {
		h.Meter.ObserveResponse(c.Organisation, class, response.Status, latency)
		return
	}
	p := asProblem(err)
	h.Meter.ObserveRefusal(c.Organisation, class, p.Kind)
	h.Logger.WithField("requestId", c.Request).WithField("organisation", c.Organisation).
		WithField("service", c.Service).WithField("depth", c.Depth).WithField("class", class.String()).
		WithField("kind", p.Kind).WithField("run", p.Execution).WithField("why", p.Detail).Info("request refused")
}

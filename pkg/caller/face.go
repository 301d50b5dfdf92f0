package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/meter"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/retry"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

// maxDepth bounds a chain of calls.
const maxDepth = 16

// Face serves requests. All exported fields must be set.
type Face struct {
	Follower *config.Follower
	Clock    clock.Clock
	Logger   *logs.Logger
	Meter    *meter.Meter
	Handler  call.Handler
	// Parents finds the call that a context stands for; nil on the public face.
	Parents func(upstream.Token) *call.Call
	// Ready tells whether the node may serve.
	Ready func() bool
	// PassKeys leaves keys where the caller put them.
	PassKeys bool
	MaxBody  int64
	Deadline time.Duration

	busy atomic.Int64
}

// Busy returns the number of requests that are being served.
func (f *Face) Busy() int64 { return f.busy.Load() }

// ServeHTTP implements http.Handler.
func (f *Face) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.busy.Add(1)
	defer f.busy.Add(-1)
	start := f.Clock.Now()
	c, err := f.read(r, start)
	var answer *call.Response
	if err == nil {
		answer, err = f.handle(r.Context(), c)
	}
	f.write(w, c, answer, err)
	f.note(c, answer, err, f.Clock.Now().Sub(start))
}

// handle passes a call on and, for a call out, keeps the parent's books.
func (f *Face) handle(ctx context.Context, c *outgoing) (*call.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	if c.parent == nil {
		return f.Handler(ctx, c.Call)
	}
	start := f.Clock.Now()
	answer, err := f.Handler(ctx, c.Call)
	c.parent.Children.AddWait(f.Clock.Now().Sub(start))
	c.parent.Retries.Return(c.Retries.Remaining())
	var p *problem.Error
	if eris.As(err, &p) && p.Kind == problem.KindShed || answer != nil && answer.Shed {
		c.parent.Children.MarkShed()
	}
	return answer, err
}

// outgoing is a call with the call that it is made for, if any.
type outgoing struct {
	*call.Call
	parent *call.Call
}

// read checks a request and makes a call of it. The call it returns with an
// error holds at least the request id.
func (f *Face) read(r *http.Request, now time.Time) (*outgoing, error) {
	c := &outgoing{Call: &call.Call{Request: fleet.RequestID(fleet.NewID()), Weight: 1}}
	view := f.Follower.View()
	if !f.Ready() {
		return c, problem.New(problem.KindNotReady, "the node holds no configuration yet; try another or wait")
	}
	to, err := readTarget(r, view.ServiceOfHost)
	if err != nil {
		return c, err
	}
	if err := f.identify(c, r, view); err != nil {
		return c, err
	}
	service := view.Service(to.service)
	if service == nil {
		return c, problem.New(problem.KindNotFound, "no ticket has made this service")
	}
	c.Service, c.Method = to.service, r.Method
	if c.Route = service.Route(r.Method, to.path); c.Route == nil {
		return c, problem.New(problem.KindNotFound, "the service has no route for this method and path")
	}
	if c.parent != nil {
		c.Route = inherit(c.Route, c.parent)
	}
	if c.Organisation == "" && !c.Route.Open {
		return c, problem.New(problem.KindInvalidKey, "this route needs a key")
	}
	return c, f.fill(c, r, to, now)
}

// inherit gives a call out the class of the call that it is made for: a whole
// request is as important as its root, at every depth.
func inherit(r *ticket.Route, parent *call.Call) *ticket.Route {
	inherited := *r
	inherited.Class = parent.Route.Class
	return &inherited
}

// identify finds out for whom the call runs: by key on the public face, by
// context for calls out.
func (f *Face) identify(c *outgoing, r *http.Request, view *config.View) error {
	if f.Parents != nil {
		return f.adopt(c, upstream.Token(r.Header.Get(call.HeaderContext)))
	}
	c.Retries = retry.NewAllowance(retry.MaxRequestRetries)
	key, err := readKey(r.Header)
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

// adopt makes the call part of the chain that its context names. Without one it
// is a new root, open routes only, with no retries of its own.
func (f *Face) adopt(c *outgoing, token upstream.Token) error {
	c.Retries = retry.NewAllowance(0)
	if token == "" {
		return nil
	}
	parent := f.Parents(token)
	if parent == nil {
		return problem.New(problem.KindForbidden, call.HeaderContext+" names no call that runs here")
	}
	if parent.Depth+1 >= maxDepth {
		return problem.New(problem.KindForbidden, "the chain of calls is too deep")
	}
	c.parent = parent
	c.Request, c.Organisation, c.Weight = parent.Request, parent.Organisation, parent.Weight
	c.Depth = parent.Depth + 1
	c.Retries = retry.NewAllowance(parent.Retries.Grant())
	return nil
}

// fill reads what is left: deadline, idempotency key, headers and body.
func (f *Face) fill(c *outgoing, r *http.Request, to target, now time.Time) error {
	patience, err := readDeadline(r.Header, f.Deadline)
	if err != nil {
		return err
	}
	c.Deadline = now.Add(patience)
	if c.parent != nil && c.parent.Deadline.Before(c.Deadline) {
		c.Deadline = c.parent.Deadline
	}
	if c.IdempotencyKey, err = readIdempotencyKey(r.Header); err != nil {
		return err
	}
	if c.Body, err = readBody(r, f.MaxBody); err != nil {
		return err
	}
	c.Path = to.path
	if _, query, has := strings.Cut(r.RequestURI, "?"); has {
		c.Path += "?" + query
	}
	if f.PassKeys {
		c.Header = r.Header.Clone()
		return nil
	}
	if leaksKey(r.RequestURI, c.Body, strings.TrimPrefix(r.Header.Get("Authorization"), bearer)) {
		return malformed("path, query or body hold a key; a key belongs into the Authorization header only")
	}
	c.Header = cleanHeaders(r.Header)
	return nil
}

func (f *Face) write(w http.ResponseWriter, c *outgoing, answer *call.Response, err error) {
	w.Header().Set(call.HeaderRequestID, string(c.Request))
	if err != nil {
		asProblem(err).Write(w)
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(call.HeaderRequestID, string(c.Request))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// asProblem makes sure that nothing but a problem reaches a caller.
func asProblem(err error) *problem.Error {
	var p *problem.Error
	if eris.As(err, &p) {
		return p
	}
	return problem.NewUncertain(problem.KindUncertain, "the node failed")
}

// note counts the request and logs a refusal under its request id.
func (f *Face) note(c *outgoing, answer *call.Response, err error, took time.Duration) {
	class := fleet.ClassNormal
	if c.Route != nil {
		class = c.Route.Class
	}
	if err == nil {
		f.Meter.ObserveResponse(c.Organisation, class, answer.Status, took)
		return
	}
	p := asProblem(err)
	f.Meter.ObserveRefusal(c.Organisation, class, p.Kind)
	f.Logger.WithField("requestId", c.Request).WithField("organisation", c.Organisation).
		WithField("service", c.Service).WithField("depth", c.Depth).WithField("class", class.String()).
		WithField("kind", p.Kind).WithField("run", p.Execution).WithField("why", p.Detail).Info("request refused")
}

// Package call defines one call as it passes through a node, its answer, and
// the filter chain that handles it.
package call

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/retry"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// Headers of the caller interface and towards upstreams.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Plantainramp-Deadline-Ms"
	HeaderRequestID      = "Plantainramp-Request-Id"
	HeaderContext        = "Plantainramp-Context"
	HeaderOrganisation   = "Plantainramp-Organisation"
	// HeaderPrefix starts every header that callers may not set.
	HeaderPrefix = "Plantainramp-"
)

// BucketCount is the number of hash buckets that requests fall into.
const BucketCount = 1024

// Call is one call on its way to an instance of a service.
type Call struct {
	Request      fleet.RequestID
	Organisation fleet.OrganisationID
	// Weight is the organisation's fair share, above 0.
	Weight  float64
	Service fleet.ServiceName
	Route   *ticket.Route
	Method  string
	// Path is the escaped path with its query, as the upstream sees it.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is on this node's clock and never zero.
	Deadline time.Time
	// StartBy ends the lease under which the call may start; zero means that
	// only the deadline bounds the start.
	StartBy time.Time
	// Depth is 0 at the root.
	Depth int
	// Retries is what is left of the root's allowance for this part of the chain.
	Retries *retry.Allowance
	// IdempotencyKey is empty where the caller gave none.
	IdempotencyKey string
	// Children follows the calls that the upstream makes for this one.
	Children ChildCalls
}

// WithRetries returns a copy of the call with its own account of n retries, as the
// instance that runs it gets it.
func (c *Call) WithRetries(n int) *Call {
	return &Call{
		Request: c.Request, Organisation: c.Organisation, Weight: c.Weight, Service: c.Service, Route: c.Route,
		Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, Deadline: c.Deadline, StartBy: c.StartBy,
		Depth: c.Depth, Retries: retry.NewAllowance(n), IdempotencyKey: c.IdempotencyKey,
	}
}

// ChildCalls follows the calls made for one call. The zero value works.
type ChildCalls struct {
	waitedNanos atomic.Int64
	shed        atomic.Bool
}

// AddWait adds time spent waiting for a deeper call.
func (c *ChildCalls) AddWait(d time.Duration) { c.waitedNanos.Add(int64(d)) }

// Waited returns the time spent waiting for deeper calls.
func (c *ChildCalls) Waited() time.Duration { return time.Duration(c.waitedNanos.Load()) }

// MarkShed notes that a deeper call was shed.
func (c *ChildCalls) MarkShed() { c.shed.Store(true) }

// Shed tells whether a deeper call was shed.
func (c *ChildCalls) Shed() bool { return c.shed.Load() }

// IsAction tells whether the call may run at most once.
func (c *Call) IsAction() bool { return !c.Route.Idempotent }

// Bucket returns the request's hash bucket, the same at every hop.
func (c *Call) Bucket() int {
	return int(xxhash.Sum64String(string(c.Request)) % BucketCount)
}

// Remaining returns what is left until the deadline.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// StartDeadline returns the time after which the call must not start.
func (c *Call) StartDeadline() time.Time {
	if c.StartBy.IsZero() || c.StartBy.After(c.Deadline) {
		return c.Deadline
	}
	return c.StartBy
}

// Response is a whole answer of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Shed tells that a deeper service shed a call made for this one.
	Shed bool
}

// Handler handles a call. Its error is *problem.Error.
type Handler func(ctx context.Context, c *Call) (*Response, error)

// Middleware wraps a handler with one step of the chain.
type Middleware func(next Handler) Handler

// Chain puts filters before a handler; the first filter sees the call first.
func Chain(last Handler, middleware ...Middleware) Handler {
	for i := len(middleware) - 1; i >= 0; i-- {
		last = middleware[i](last)
	}
	return last
}

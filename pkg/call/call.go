// Package call defines a call as it passes through a node, its response, and the
// chain of middleware that handles it.
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

// Headers of requests from callers and of requests to upstreams.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderDeadline       = "Plantainramp-Deadline-Ms"
	HeaderRequestID      = "Plantainramp-Request-Id"
	HeaderContext        = "Plantainramp-Context"
	HeaderOrganisation   = "Plantainramp-Organisation"
	// HeaderPrefix is the prefix of the headers that nodes define. A node sets them
	// itself and doesn't forward those of a caller or an upstream.
	HeaderPrefix = "Plantainramp-"
)

// BucketCount is the number of hash buckets that requests are divided into.
const BucketCount = 1024

// Call is one call on its way to an instance of a service.
type Call struct {
	Request      fleet.RequestID
	Organisation fleet.OrganisationID
	// Weight is the organisation's weight in fair queueing, above 0.
	Weight  float64
	Service fleet.ServiceName
	Route   *ticket.Route
	Method  string
	// Path is the escaped path with its query, as the upstream sees it.
	Path   string
	Header http.Header
	Body   []byte
	// Deadline is a time of this node's clock. It is never zero.
	Deadline time.Time
	// StartBy is the end of the lease under which the call may start. If it is zero,
	// only Deadline bounds the start.
	StartBy time.Time
	// Depth is the number of calls above this one in its chain: 0 for the root.
	Depth int
	// Retries is the share of the request's retries that this call and its child calls
	// may use.
	Retries *retry.Allowance
	// IdempotencyKey is empty if the caller set none.
	IdempotencyKey string
	// Children tracks the child calls: those that the upstream makes to run this one.
	Children ChildCalls
}

// WithRetries returns a copy of the call for the instance that runs it, with an
// allowance of n retries and without child calls.
func (c *Call) WithRetries(n int) *Call {
	return &Call{
		Request: c.Request, Organisation: c.Organisation, Weight: c.Weight, Service: c.Service, Route: c.Route,
		Method: c.Method, Path: c.Path, Header: c.Header, Body: c.Body, Deadline: c.Deadline, StartBy: c.StartBy,
		Depth: c.Depth, Retries: retry.NewAllowance(n), IdempotencyKey: c.IdempotencyKey,
	}
}

// ChildCalls tracks the calls that an upstream makes to run one call. The zero value is
// ready to use. It is safe for concurrent use.
type ChildCalls struct {
	waitedNanos atomic.Int64
	shed        atomic.Bool
}

// AddWait adds the time spent waiting for a child call.
func (c *ChildCalls) AddWait(d time.Duration) { c.waitedNanos.Add(int64(d)) }

// Waited returns the total time spent waiting for child calls.
func (c *ChildCalls) Waited() time.Duration { return time.Duration(c.waitedNanos.Load()) }

// MarkShed records that a child call was shed.
func (c *ChildCalls) MarkShed() { c.shed.Store(true) }

// Shed reports whether a child call was shed.
func (c *ChildCalls) Shed() bool { return c.shed.Load() }

// IsAction reports whether the call is an action: a call that is not idempotent and may
// be executed at most once.
func (c *Call) IsAction() bool { return !c.Route.Idempotent }

// Bucket returns the hash bucket of the request, from 0 to BucketCount-1. It is the
// same at every hop.
func (c *Call) Bucket() int {
	return int(xxhash.Sum64String(string(c.Request)) % BucketCount)
}

// Remaining returns the time until the deadline; it is negative after it.
func (c *Call) Remaining(now time.Time) time.Duration { return c.Deadline.Sub(now) }

// StartDeadline returns the time after which the call must not start: the earlier of
// StartBy and Deadline.
func (c *Call) StartDeadline() time.Time {
	if c.StartBy.IsZero() || c.StartBy.After(c.Deadline) {
		return c.Deadline
	}
	return c.StartBy
}

// Response is a complete response of an upstream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Shed reports whether a child call was shed.
	Shed bool
}

// Handler handles a call. Its errors are of type *problem.Error.
type Handler func(ctx context.Context, c *Call) (*Response, error)

// Middleware wraps a handler with one step of call handling.
type Middleware func(next Handler) Handler

// Chain wraps a handler in middleware. The first middleware receives the call first.
func Chain(last Handler, middleware ...Middleware) Handler {
	for i := len(middleware) - 1; i >= 0; i-- {
		last = middleware[i](last)
	}
	return last
}

// Package routing holds one version of the configuration, indexed for requests:
// routes by host and path, organisations by key digest, and limits.
package routing

import (
	"crypto/sha256"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

type (
	// Version is the number of a configuration. A newer configuration has a
	// higher one.
	Version uint64
	// RouteName identifies a route.
	RouteName string
	// KeyDigest is the SHA-256 digest of a caller's key. The keys themselves
	// are not stored.
	KeyDigest [sha256.Size]byte
)

// Target is one service of a route and its share of the requests.
type Target struct {
	Service fleet.ServiceName
	// Weight is relative to the other targets of the route. A target with
	// weight 0 gets no requests.
	Weight float64
}

// Route specifies where requests for one host and path prefix are sent.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Idempotent bool
	// Timeout bounds the wait for a response. If it is zero, only the caller's
	// deadline does.
	Timeout time.Duration
	// TargetLatency is the time within which a response is worth most to the
	// caller.
	TargetLatency time.Duration
	// Priority is lower for more urgent routes.
	Priority int
	// Targets has at least one element.
	Targets []Target
	// MaxAttempts bounds the number of instances that one request is sent to; 0
	// means one.
	MaxAttempts int
	// AllowAnonymous accepts requests without a key.
	AllowAnonymous bool
	// Regions restricts where the requests may run.
	Regions Regions
}

// Organisation is a customer with its rate limit and priority.
type Organisation struct {
	ID fleet.OrganisationID
	// Rate and Burst limit the requests. There is no limit if Rate is 0.
	Rate  fleet.Rate
	Burst fleet.Tokens
	// Priority takes precedence over that of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Regions restricts where the requests may run.
	Regions Regions
}

// Limits are the limits on a caller's requests.
type Limits struct {
	// MaxBodyBytes bounds the size of request bodies; 0 means the default of
	// the entrance.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds the header fields of a request, HeaderTimeout the time for
	// reading its head, and IdleTimeout how long a connection waits for a request; 0 means
	// the defaults of the node.
	MaxHeaderBytes             int64
	HeaderTimeout, IdleTimeout time.Duration
}

// View is one version of the configuration. It is immutable once built.
type View struct {
	Version       Version
	Limits        Limits
	Organisations []*Organisation
	Routes        []*Route

	routes map[string]map[string]*Route
	keys   map[KeyDigest]*Organisation
	// organisations holds the organisations by their id.
	organisations map[fleet.OrganisationID]*Organisation
	// healthPaths holds the path of the health check of each service that has one.
	healthPaths map[fleet.ServiceName]string
	// coldRates holds the calls per second that a cold instance of each service can take.
	coldRates map[fleet.ServiceName]float64
}

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Builder assembles a view.
type Builder struct {
	view View
}

// NewBuilder returns a builder for a view with the given version and limits.
func NewBuilder(version Version, limits Limits) *Builder {
	return &Builder{view: View{
		Version: version, Limits: limits, routes: map[string]map[string]*Route{}, keys: map[KeyDigest]*Organisation{},
		healthPaths: map[fleet.ServiceName]string{}, coldRates: map[fleet.ServiceName]float64{}, organisations: map[fleet.OrganisationID]*Organisation{},
	}}
}

// AddRoute adds a route.
func (b *Builder) AddRoute(r *Route) {
	host := strings.ToLower(r.Host)
	if b.view.routes[host] == nil {
		b.view.routes[host] = map[string]*Route{}
	}
	b.view.routes[host][r.Prefix] = r
	b.view.Routes = append(b.view.Routes, r)
}

// SetHealthPath sets the path of the health check of a service; empty means none.
func (b *Builder) SetHealthPath(service fleet.ServiceName, path string) {
	b.view.healthPaths[service] = path
}

// SetColdRate sets the calls per second that a cold instance of a service can take from all
// nodes together; 0 means no limit.
func (b *Builder) SetColdRate(service fleet.ServiceName, rate float64) {
	b.view.coldRates[service] = rate
}

// AddOrganisation adds an organisation with its keys.
func (b *Builder) AddOrganisation(o *Organisation, keys []string) {
	b.view.Organisations = append(b.view.Organisations, o)
	b.view.organisations[o.ID] = o
	for _, k := range keys {
		b.view.keys[DigestKey(k)] = o
	}
}

// Build returns the finished view.
func (b *Builder) Build() *View {
	v := b.view
	return &v
}

// Lookup returns the route of the host with the longest prefix that matches the
// path, or nil. A port in the host is ignored.
func (v *View) Lookup(host, path string) *Route {
	if portSeparator := strings.LastIndexByte(host, ':'); portSeparator >= 0 {
		host = host[:portSeparator]
	}
	prefixes := v.routes[host]
	if prefixes == nil {
		prefixes = v.routes[strings.ToLower(host)]
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := prefixes[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// HealthPath returns the path of the health check of a service, or an empty path.
func (v *View) HealthPath(service fleet.ServiceName) string { return v.healthPaths[service] }

// ColdRate returns the calls per second that a cold instance of a service can take from all
// nodes together, or 0 if there is no limit.
func (v *View) ColdRate(service fleet.ServiceName) float64 { return v.coldRates[service] }

// OrganisationByKey returns the organisation that holds the key with the given
// digest, or nil.
func (v *View) OrganisationByKey(d KeyDigest) *Organisation { return v.keys[d] }

// Organisation returns the organisation with the given id, or nil.
func (v *View) Organisation(id fleet.OrganisationID) *Organisation { return v.organisations[id] }

// NeedsKey reports whether requests on the route need a key. No key is needed
// if the view has no organisations.
func (v *View) NeedsKey(r *Route) bool { return !r.AllowAnonymous && len(v.Organisations) > 0 }

// RoutesTo reports whether the route sends requests to the service.
func (r *Route) RoutesTo(service fleet.ServiceName) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// PickService returns a random target's service, drawn by weight.
func (r *Route) PickService() fleet.ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	draw := rand.Float64() * total
	for _, t := range r.Targets {
		if draw < t.Weight {
			return t.Service
		}
		draw -= t.Weight
	}
	return r.Targets[0].Service
}

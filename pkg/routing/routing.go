// Package routing holds one version of the configuration in a form that
// requests are decided by: routes by host and path, keys by digest, bounds.
package routing

import (
	"crypto/sha256"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

type (
	// Version numbers the configurations; it only grows.
	Version uint64
	// RouteName names a route.
	RouteName string
	// KeyDigest stands for a caller's key, which is kept nowhere.
	KeyDigest [sha256.Size]byte
)

// Target is one service of a route with its part of the requests.
type Target struct {
	Service fleet.ServiceName
	// Weight is above 0 where the target gets any requests.
	Weight float64
}

// Route tells where requests of one host and path prefix go.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix     string
	Idempotent bool
	// Timeout bounds the wait for an answer; zero means that only the caller's deadline does.
	Timeout time.Duration
	// TargetLatency is the time in which an answer is worth most to the caller.
	TargetLatency time.Duration
	// Priority is lower for more urgent routes.
	Priority int
	// Targets is never empty.
	Targets []Target
	// MaxAttempts bounds the instances that one request is sent to; 0 means one.
	MaxAttempts int
	// AllowAnonymous routes need no key.
	AllowAnonymous bool
}

// Organisation is a customer with its keys and its rate.
type Organisation struct {
	ID fleet.OrganisationID
	// Rate is 0 where the organisation has no bound.
	Rate  fleet.Rate
	Burst fleet.Tokens
	// Priority goes before that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxBodyBytes is 0 where bodies have no bound of their own.
	MaxBodyBytes int64
}

// View is one version of the configuration. It never changes once built.
type View struct {
	Version       Version
	Limits        Limits
	Organisations []*Organisation
	Routes        []*Route

	routes map[string]map[string]*Route
	keys   map[KeyDigest]*Organisation
}

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Builder collects the parts of a view.
type Builder struct {
	view View
}

// NewBuilder starts a view of a version.
func NewBuilder(version Version, limits Limits) *Builder {
	return &Builder{view: View{
		Version: version, Limits: limits, routes: map[string]map[string]*Route{}, keys: map[KeyDigest]*Organisation{},
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

// AddOrganisation adds an organisation with the keys it holds.
func (b *Builder) AddOrganisation(o *Organisation, keys []string) {
	b.view.Organisations = append(b.view.Organisations, o)
	for _, k := range keys {
		b.view.keys[DigestKey(k)] = o
	}
}

// Build returns the finished view.
func (b *Builder) Build() *View {
	v := b.view
	return &v
}

// Lookup returns the route with the longest prefix that begins the path, or nil.
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

// OrganisationByKey returns the organisation that holds a key, or nil.
func (v *View) OrganisationByKey(d KeyDigest) *Organisation { return v.keys[d] }

// NeedsKey tells whether a request on the route needs a key.
func (v *View) NeedsKey(r *Route) bool { return !r.AllowAnonymous && len(v.Organisations) > 0 }

// RoutesTo tells whether the route sends requests to a service.
func (r *Route) RoutesTo(service fleet.ServiceName) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// PickService draws a target by weight.
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

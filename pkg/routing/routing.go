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
	// Open routes need no key.
	Open bool
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
	// BodyBytes is 0 where bodies have no bound of their own.
	BodyBytes int64
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

// Digest returns the digest of a key.
func Digest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

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

// Route adds a route.
func (b *Builder) Route(r *Route) {
	host := strings.ToLower(r.Host)
	if b.view.routes[host] == nil {
		b.view.routes[host] = map[string]*Route{}
	}
	b.view.routes[host][r.Prefix] = r
	b.view.Routes = append(b.view.Routes, r)
}

// Organisation adds an organisation with the keys it holds.
func (b *Builder) Organisation(o *Organisation, keys []string) {
	b.view.Organisations = append(b.view.Organisations, o)
	for _, k := range keys {
		b.view.keys[Digest(k)] = o
	}
}

// View returns the finished view.
func (b *Builder) View() *View {
	v := b.view
	return &v
}

// Lookup returns the route with the longest prefix that begins the path, or nil.
func (v *View) Lookup(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
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

// Holder returns the organisation that holds a key, or nil.
func (v *View) Holder(d KeyDigest) *Organisation { return v.keys[d] }

// NeedsKey tells whether a request on the route needs a key.
func (v *View) NeedsKey(r *Route) bool { return !r.Open && len(v.Organisations) > 0 }

// Leads tells whether the route sends requests to a service.
func (r *Route) Leads(service fleet.ServiceName) bool {
	for _, t := range r.Targets {
		if t.Service == service && t.Weight > 0 {
			return true
		}
	}
	return false
}

// Pick draws a target by weight.
func (r *Route) Pick() fleet.ServiceName {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	whole := 0.0
	for _, t := range r.Targets {
		whole += t.Weight
	}
	at := rand.Float64() * whole
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return r.Targets[0].Service
}

package ticket

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"path"
	"regexp"
	"strings"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// Kinds of objects that a ticket can touch.
const (
	KindOrganisation ObjectKind = "organisation"
	KindKey          ObjectKind = "key"
	KindService      ObjectKind = "service"
	KindUpstream     ObjectKind = "upstream"
)

// States of keys and upstreams.
const (
	KeyActive       = "inForce"
	KeyWithdrawn    = "withdrawn"
	UpstreamServing = "serving"
	UpstreamLeaving = "leaving"
)

// keyPrefix starts every caller key, so that leaked keys can be searched for.
const keyPrefix = "prk"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9.-]{0,62}$`)

type (
	// ObjectKind is a kind of object.
	ObjectKind string
	// Ref names one object.
	Ref struct {
		Kind ObjectKind `json:"kind"`
		Name string     `json:"name"`
	}
	// KeyDigest is a salted digest of a key, in the form sha256:SALT:DIGEST.
	KeyDigest string
)

// String returns kind and name, as in organisation/dakar.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// MarshalText makes Ref usable as a JSON object key.
func (r Ref) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (r *Ref) UnmarshalText(text []byte) error {
	kind, name, _ := strings.Cut(string(text), "/")
	*r = Ref{Kind: ObjectKind(kind), Name: name}
	return nil
}

// Organisation is the whole state of an organisation.
type Organisation struct {
	ID fleet.OrganisationID `json:"id"`
	// Rate and Burst hold over the whole fleet, in every window.
	Rate  fleet.Rate   `json:"rate"`
	Burst fleet.Tokens `json:"burst"`
	// Weight is the organisation's fair share under overload, above 0.
	Weight float64 `json:"weight"`
}

// Key is the whole state of a caller's key.
type Key struct {
	ID           fleet.KeyID          `json:"id"`
	Organisation fleet.OrganisationID `json:"organisation"`
	Digest       KeyDigest            `json:"digest"`
	State        string               `json:"state"`
}

// Route is one rule for calls of a service; the first that matches holds.
type Route struct {
	Method string `json:"method"`
	// Pattern is a path; a last element * matches the rest of the path.
	Pattern string      `json:"pattern"`
	Class   fleet.Class `json:"class"`
	// Idempotent routes may run more than once.
	Idempotent bool `json:"idempotent"`
	// Open routes need no key.
	Open bool `json:"open"`
}

// Matches tells whether the route rules the call.
func (r *Route) Matches(method, callPath string) bool {
	if r.Method != "ANY" && r.Method != method {
		return false
	}
	if prefix, wild := strings.CutSuffix(r.Pattern, "*"); wild {
		return strings.HasPrefix(callPath, prefix)
	}
	return callPath == r.Pattern
}

// String returns the route as tickets write it.
func (r *Route) String() string {
	words := []string{r.Method, r.Pattern, r.Class.String()}
	if r.Idempotent {
		words = append(words, "idempotent")
	}
	if r.Open {
		words = append(words, "open")
	}
	return strings.Join(words, " ")
}

// Service is the whole state of a service.
type Service struct {
	Name fleet.ServiceName `json:"name"`
	// Host maps calls with this Host header to the service; empty maps none.
	Host   string  `json:"host,omitempty"`
	Routes []Route `json:"routes"`
}

// Route returns the first route that matches, or nil.
func (s *Service) Route(method, callPath string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Matches(method, callPath) {
			return &s.Routes[i]
		}
	}
	return nil
}

// Upstream is what operators decide of an upstream instance.
type Upstream struct {
	Instance fleet.InstanceName `json:"instance"`
	State    string             `json:"state"`
}

// RouteError reports a route line that cannot be read.
type RouteError struct {
	Line string
}

// Error implements error.
func (e *RouteError) Error() string { return fmt.Sprintf("route = %q", e.Line) }

// ParseRoute reads METHOD PATTERN CLASS [idempotent] [open].
func ParseRoute(line string) (Route, error) {
	words := strings.Fields(line)
	if len(words) < 3 || !validMethod(words[0]) || !validPattern(words[1]) {
		return Route{}, &RouteError{Line: line}
	}
	class, err := fleet.ParseClass(words[2])
	if err != nil {
		return Route{}, &RouteError{Line: line}
	}
	r := Route{Method: words[0], Pattern: words[1], Class: class}
	for _, w := range words[3:] {
		switch w {
		case "idempotent":
			r.Idempotent = true
		case "open":
			r.Open = true
		default:
			return Route{}, &RouteError{Line: line}
		}
	}
	return r, nil
}

func validMethod(m string) bool {
	return m != "" && strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func validPattern(p string) bool {
	return strings.HasPrefix(p, "/") && path.Clean(p) == p && !strings.Contains(strings.TrimSuffix(p, "*"), "*")
}

// NewKey makes a caller's key and the digest that tickets carry.
func NewKey(id fleet.KeyID) (string, KeyDigest) {
	secret := fleet.NewID() + fleet.NewID()
	return strings.Join([]string{keyPrefix, string(id), secret}, "_"), saltedDigest(fleet.NewID(), secret)
}

// SplitKey returns the id and the secret of a presented key.
func SplitKey(presented string) (fleet.KeyID, string, bool) {
	parts := strings.Split(presented, "_")
	if len(parts) != 3 || parts[0] != keyPrefix {
		return "", "", false
	}
	return fleet.KeyID(parts[1]), parts[2], true
}

func saltedDigest(salt, secret string) KeyDigest {
	sum := sha256.Sum256([]byte(salt + ":" + secret))
	return KeyDigest("sha256:" + salt + ":" + hex.EncodeToString(sum[:]))
}

// Valid tells whether the digest has the form sha256:SALT:DIGEST.
func (d KeyDigest) Valid() bool {
	parts := strings.Split(string(d), ":")
	return len(parts) == 3 && parts[0] == "sha256" && len(parts[1]) >= 16 && len(parts[2]) == 2*sha256.Size
}

// Matches compares a presented secret with the digest in constant time.
func (d KeyDigest) Matches(secret string) bool {
	parts := strings.Split(string(d), ":")
	if len(parts) != 3 {
		return false
	}
	want := saltedDigest(parts[1], secret)
	return subtle.ConstantTimeCompare([]byte(want), []byte(d)) == 1
}

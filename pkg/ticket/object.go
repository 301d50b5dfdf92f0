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

// Kinds of objects that a ticket can change.
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

// keyPrefix is the first part of every caller key, so that scanners can find leaked
// keys.
const keyPrefix = "prk"

var namePattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9.-]{0,62}$`)

type (
	// ObjectKind is a kind of object, such as an organisation.
	ObjectKind string
	// Ref identifies an object by kind and name.
	Ref struct {
		Kind ObjectKind `json:"kind"`
		Name string     `json:"name"`
	}
	// KeyDigest is the salted digest of the secret of a key, in the form
	// sha256:SALT:DIGEST.
	KeyDigest string
)

// String returns the kind and the name separated by a slash, as in
// organisation/dakar.
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// MarshalText encodes the reference as String does, so that Ref can be the key of
// a JSON object.
func (r Ref) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText decodes the form that MarshalText writes. It never returns an
// error.
func (r *Ref) UnmarshalText(text []byte) error {
	kind, name, _ := strings.Cut(string(text), "/")
	*r = Ref{Kind: ObjectKind(kind), Name: name}
	return nil
}

// Organisation is the complete configuration of an organisation.
type Organisation struct {
	ID fleet.OrganisationID `json:"id"`
	// Rate and Burst limit the calls of the organisation over the whole fleet, in
	// every time window.
	Rate  fleet.Rate   `json:"rate"`
	Burst fleet.Tokens `json:"burst"`
	// Weight is the relative share of the organisation under overload. It is
	// above 0.
	Weight float64 `json:"weight"`
}

// Key is the complete configuration of a caller's API key.
type Key struct {
	ID           fleet.KeyID          `json:"id"`
	Organisation fleet.OrganisationID `json:"organisation"`
	Digest       KeyDigest            `json:"digest"`
	State        string               `json:"state"`
}

// Route is a rule for calls to a service. The first matching route of a service
// applies.
type Route struct {
	Method string `json:"method"`
	// Pattern is a path. A * at its end matches the rest of the path.
	Pattern string      `json:"pattern"`
	Class   fleet.Class `json:"class"`
	// Idempotent is true if a call may be executed more than once.
	Idempotent bool `json:"idempotent"`
	// Open is true if a call needs no key.
	Open bool `json:"open"`
}

// Matches reports whether the route applies to a call. Method ANY matches every
// method.
func (r *Route) Matches(method, callPath string) bool {
	if r.Method != "ANY" && r.Method != method {
		return false
	}
	if prefix, wild := strings.CutSuffix(r.Pattern, "*"); wild {
		return strings.HasPrefix(callPath, prefix)
	}
	return callPath == r.Pattern
}

// String returns the route in the form used in tickets.
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

// Service is the complete configuration of a service.
type Service struct {
	Name fleet.ServiceName `json:"name"`
	// Host maps calls with this Host header to the service. If it is empty, no
	// Host header does.
	Host   string  `json:"host,omitempty"`
	Routes []Route `json:"routes"`
}

// Route returns the first route that matches a call, or nil.
func (s *Service) Route(method, callPath string) *Route {
	for i := range s.Routes {
		if s.Routes[i].Matches(method, callPath) {
			return &s.Routes[i]
		}
	}
	return nil
}

// Upstream is the state that operators set for an upstream instance.
type Upstream struct {
	Instance fleet.InstanceName `json:"instance"`
	State    string             `json:"state"`
}

// RouteError reports a route that cannot be parsed.
type RouteError struct {
	Line string
}

// Error implements error.
func (e *RouteError) Error() string { return fmt.Sprintf("route = %q", e.Line) }

// ParseRoute parses a route of the form METHOD PATTERN CLASS [idempotent] [open].
// It returns *RouteError if the line has another form.
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

// NewKey generates a key for a caller and returns it with the digest to put into a
// ticket.
func NewKey(id fleet.KeyID) (string, KeyDigest) {
	secret := fleet.NewID() + fleet.NewID()
	return strings.Join([]string{keyPrefix, string(id), secret}, "_"), saltedDigest(fleet.NewID(), secret)
}

// SplitKey returns the id and the secret of a presented key, and false if the key
// is malformed.
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

// Valid reports whether the digest has the form sha256:SALT:DIGEST.
func (d KeyDigest) Valid() bool {
	parts := strings.Split(string(d), ":")
	return len(parts) == 3 && parts[0] == "sha256" && len(parts[1]) >= 16 && len(parts[2]) == 2*sha256.Size
}

// Matches reports whether the digest is that of secret. It compares in constant
// time.
func (d KeyDigest) Matches(secret string) bool {
	parts := strings.Split(string(d), ":")
	if len(parts) != 3 {
		return false
	}
	want := saltedDigest(parts[1], secret)
	return subtle.ConstantTimeCompare([]byte(want), []byte(d)) == 1
}

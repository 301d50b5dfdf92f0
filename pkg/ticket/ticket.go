// Package ticket defines change tickets: their text format, their objects and
// their checks. A ticket carries the whole new state of what it touches.
package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/inifile"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
)

// RecordKind marks tickets in the config stream.
const RecordKind platformlog.Kind = "ticket"

// Limits of what a ticket may say.
const (
	MaxRate  = 1e7
	MaxBurst = 1e7
)

// Ticket is a numbered change. Exactly the objects in Against are touched.
type Ticket struct {
	Number fleet.TicketNumber `json:"number"`
	Author string             `json:"author"`
	Reason string             `json:"reason"`
	// Against holds, for each object touched, the number of the ticket that
	// was in force when this one was written; 0 for a new object.
	Against       map[Ref]fleet.TicketNumber `json:"against"`
	Organisations []Organisation             `json:"organisations,omitempty"`
	Keys          []Key                      `json:"keys,omitempty"`
	Services      []Service                  `json:"services,omitempty"`
	Upstreams     []Upstream                 `json:"upstreams,omitempty"`
}

// Digest identifies the content of a ticket.
type Digest string

// Digest returns the digest of the ticket's canonical JSON form.
func (t *Ticket) Digest() Digest {
	raw, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(raw)
	return Digest(hex.EncodeToString(sum[:]))
}

// Record returns the ticket as a log record. The id is derived from number and
// content, so that filing the same ticket twice appends the same record.
func (t *Ticket) Record() (platformlog.Record, error) {
	id := fmt.Sprintf("ticket-%d-%s", t.Number, t.Digest()[:16])
	return platformlog.NewRecord(platformlog.RecordID(id), RecordKind, t)
}

// Parse reads a ticket from its text. It returns *inifile.InvalidError with
// every problem found.
func Parse(name string, text []byte) (*Ticket, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	t := &Ticket{Against: map[Ref]fleet.TicketNumber{}}
	t.readHead(f.Section("ticket"))
	for _, name := range f.Sections("") {
		if name != "ticket" {
			t.readObject(f, name)
		}
	}
	if len(t.Against) == 0 {
		f.AddProblem("ticket", "", "the ticket touches nothing", `a section such as [organisation "dakar"]`)
	}
	if err := f.Finish(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Ticket) readHead(s *inifile.Section) {
	raw := s.Required("number", "a whole number above 0")
	number, err := strconv.ParseUint(raw, 10, 63)
	if raw != "" && (err != nil || number == 0) {
		s.AddProblem("number", fmt.Sprintf("number = %q", raw), "a whole number above 0")
	}
	t.Number = fleet.TicketNumber(number)
	t.Author = s.Required("author", "who files the ticket")
	t.Reason = s.Required("reason", "why, in one line")
}

func (t *Ticket) readObject(f *inifile.File, section string) {
	kind, quoted, _ := strings.Cut(section, " ")
	name := strings.Trim(strings.TrimSpace(quoted), `"`)
	s := f.Section(section)
	if !namePattern.MatchString(name) {
		s.AddProblem("", fmt.Sprintf("[%s] names no object", section), `a name in quotation marks of letters, digits, "." and "-", as in [organisation "dakar"]`)
		return
	}
	switch ObjectKind(kind) {
	case KindOrganisation:
		t.readOrganisation(s, name)
	case KindKey:
		t.readKey(s, name)
	case KindService:
		t.readService(s, name)
	case KindUpstream:
		t.readUpstream(s, name)
	default:
		s.AddProblem("", fmt.Sprintf("unknown kind of object %q", kind), "organisation, key, service, upstream")
		return
	}
	against := s.Int("against", -1, 0, 1<<62)
	if against < 0 {
		s.AddProblem("against", fmt.Sprintf(`"against" is missing in [%s]`, section), "the number of the ticket now in force for this object, 0 for a new one; see plantainramp state show")
	}
	t.Against[Ref{Kind: ObjectKind(kind), Name: name}] = fleet.TicketNumber(max(against, 0))
}

func (t *Ticket) readOrganisation(s *inifile.Section, name string) {
	const rate, burst = "rate", "burst"
	s.Required(rate, "calls a second over the whole fleet")
	s.Required(burst, "calls over the whole fleet")
	t.Organisations = append(t.Organisations, Organisation{
		ID:     fleet.OrganisationID(name),
		Rate:   fleet.Rate(s.Float(rate, 0, 0, MaxRate)),
		Burst:  fleet.Tokens(s.Float(burst, 1, 1, MaxBurst)),
		Weight: s.Float("weight", 1, 0.001, 1000),
	})
}

func (t *Ticket) readKey(s *inifile.Section, name string) {
	digest := KeyDigest(s.Required("digest", "the digest that plantainramp key new prints"))
	if digest != "" && !digest.Valid() {
		s.AddProblem("digest", "the digest cannot be read", "the digest that plantainramp key new prints, sha256:SALT:DIGEST")
	}
	t.Keys = append(t.Keys, Key{
		ID:           fleet.KeyID(name),
		Organisation: fleet.OrganisationID(s.Required("organisation", "the organisation that the key belongs to")),
		Digest:       digest,
		State:        s.OneOf("state", KeyInForce, KeyInForce, KeyWithdrawn),
	})
}

func (t *Ticket) readService(s *inifile.Section, name string) {
	service := Service{Name: fleet.ServiceName(name), Host: s.String("host", "")}
	const form = "METHOD PATTERN CLASS [idempotent] [open], as in GET /homes/* normal idempotent"
	for _, line := range s.Strings("route") {
		r, err := ParseRoute(line)
		if err != nil {
			s.AddProblem("route", err.Error(), form)
			continue
		}
		service.Routes = append(service.Routes, r)
	}
	if len(service.Routes) == 0 {
		s.AddProblem("route", fmt.Sprintf("[%s] has no route", s.Name()), form)
	}
	t.Services = append(t.Services, service)
}

func (t *Ticket) readUpstream(s *inifile.Section, name string) {
	t.Upstreams = append(t.Upstreams, Upstream{
		Instance: fleet.InstanceName(name),
		State:    s.OneOf("state", UpstreamServing, UpstreamServing, UpstreamLeaving),
	})
}

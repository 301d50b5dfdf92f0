// Package ticket defines change tickets: their text format, the objects that they
// change and the checks on them. A ticket contains the complete new configuration
// of every object that it changes.
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

// RecordKind is the kind of records that hold a ticket in the config stream.
const RecordKind platformlog.Kind = "ticket"

// Upper limits of the rate and the burst of an organisation.
const (
	MaxRatePerSecond = 1e7
	MaxBurstTokens   = 1e7
)

// Ticket is a numbered change. It changes exactly the objects in Against.
type Ticket struct {
	Number fleet.TicketNumber `json:"number"`
	Author string             `json:"author"`
	Reason string             `json:"reason"`
	// Against maps each changed object to the number of the ticket that was in
	// effect for it when this ticket was written, or to 0 for a new object.
	Against       map[Ref]fleet.TicketNumber `json:"against"`
	Organisations []Organisation             `json:"organisations,omitempty"`
	Keys          []Key                      `json:"keys,omitempty"`
	Services      []Service                  `json:"services,omitempty"`
	Upstreams     []Upstream                 `json:"upstreams,omitempty"`
}

// Digest is the hexadecimal SHA-256 digest of the content of a ticket.
type Digest string

// Digest returns the digest of the JSON form of the ticket, or an empty digest if
// the ticket cannot be encoded.
func (t *Ticket) Digest() Digest {
	raw, err := json.Marshal(t)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(raw)
	return Digest(hex.EncodeToString(sum[:]))
}

// Record returns the ticket as a log record. Its id is derived from the number and
// the content, so that filing the same ticket twice appends the same record.
func (t *Ticket) Record() (platformlog.Record, error) {
	id := fmt.Sprintf("ticket-%d-%s", t.Number, t.Digest()[:16])
	return platformlog.NewRecord(platformlog.RecordID(id), RecordKind, t)
}

// Parse parses the text of a ticket. The name of the file is used in problem
// reports. Parse returns *inifile.InvalidError, which lists every problem found.
func Parse(name string, text []byte) (*Ticket, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	t := &Ticket{Against: map[Ref]fleet.TicketNumber{}}
	t.readHeader(f.Section("ticket"))
	for _, name := range f.Sections("") {
		if name != "ticket" {
			t.readObject(f, name)
		}
	}
	if len(t.Against) == 0 {
		f.AddProblem("ticket", "", "the ticket changes no object", `at least one section such as [organisation "dakar"]`)
	}
	if err := f.Finish(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Ticket) readHeader(s *inifile.Section) {
	raw := s.Required("number", "a whole number above 0")
	number, err := strconv.ParseUint(raw, 10, 63)
	if raw != "" && (err != nil || number == 0) {
		s.AddProblem("number", fmt.Sprintf("number = %q", raw), "a whole number above 0")
	}
	t.Number = fleet.TicketNumber(number)
	t.Author = s.Required("author", "the name of the person who files the ticket")
	t.Reason = s.Required("reason", "the reason for the change, in one line")
}

func (t *Ticket) readObject(f *inifile.File, section string) {
	kind, quotedName, _ := strings.Cut(section, " ")
	name := strings.Trim(strings.TrimSpace(quotedName), `"`)
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
		s.AddProblem("against", fmt.Sprintf(`"against" is missing in [%s]`, section), "the number of the ticket in effect for this object (see plantainramp state show), or 0 for a new object")
	}
	t.Against[Ref{Kind: ObjectKind(kind), Name: name}] = fleet.TicketNumber(max(against, 0))
}

func (t *Ticket) readOrganisation(s *inifile.Section, name string) {
	const rate, burst = "rate", "burst"
	s.Required(rate, "calls a second over the whole fleet")
	s.Required(burst, "calls over the whole fleet")
	t.Organisations = append(t.Organisations, Organisation{
		ID:     fleet.OrganisationID(name),
		Rate:   fleet.Rate(s.Float(rate, 0, 0, MaxRatePerSecond)),
		Burst:  fleet.Tokens(s.Float(burst, 1, 1, MaxBurstTokens)),
		Weight: s.Float("weight", 1, 0.001, 1000),
	})
}

func (t *Ticket) readKey(s *inifile.Section, name string) {
	digest := KeyDigest(s.Required("digest", "the digest printed by plantainramp key new"))
	if digest != "" && !digest.Valid() {
		s.AddProblem("digest", "the digest is malformed", "the digest printed by plantainramp key new, in the form sha256:SALT:DIGEST")
	}
	t.Keys = append(t.Keys, Key{
		ID:           fleet.KeyID(name),
		Organisation: fleet.OrganisationID(s.Required("organisation", "the organisation that the key belongs to")),
		Digest:       digest,
		State:        s.OneOf("state", KeyActive, KeyActive, KeyWithdrawn),
	})
}

func (t *Ticket) readService(s *inifile.Section, name string) {
	service := Service{Name: fleet.ServiceName(name), Host: s.String("host", "")}
	const routeSyntax = "METHOD PATTERN CLASS [idempotent] [open], as in GET /homes/* normal idempotent"
	for _, line := range s.Strings("route") {
		r, err := ParseRoute(line)
		if err != nil {
			s.AddProblem("route", err.Error(), routeSyntax)
			continue
		}
		service.Routes = append(service.Routes, r)
	}
	if len(service.Routes) == 0 {
		s.AddProblem("route", fmt.Sprintf("[%s] has no route", s.Name()), routeSyntax)
	}
	t.Services = append(t.Services, service)
}

func (t *Ticket) readUpstream(s *inifile.Section, name string) {
	t.Upstreams = append(t.Upstreams, Upstream{
		Instance: fleet.InstanceName(name),
		State:    s.OneOf("state", UpstreamServing, UpstreamServing, UpstreamLeaving),
	})
}

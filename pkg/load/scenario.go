// Package load runs load experiments: it runs a scenario of arrivals and triggers against
// a running fleet and computes the measures of the run.
package load

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/inifile"
)

// Kinds of triggers.
const (
	// TriggerSurge multiplies the arrival rate of some traffic.
	TriggerSurge = "surge"
	// TriggerUpstream changes the behaviour of upstream stand-ins.
	TriggerUpstream = "upstream"
	// TriggerLog changes the faults of the log stand-in.
	TriggerLog = "log"
)

// Traffic is one open-loop stream of requests: arrivals do not wait for responses.
type Traffic struct {
	Name         string
	Organisation fleet.OrganisationID
	// Class only labels the results; the nodes take the class from their tickets.
	Class  string
	Method string
	// Path is the request path; %d in it is replaced by the number of the request.
	Path string
	// Rate is the mean arrivals per second.
	Rate float64
	// MaxWait is how long the caller waits for the response to one try.
	MaxWait time.Duration
	// MaxRetries is how often the caller retries a failed request.
	MaxRetries int
	// Action reports whether the requests are actions, which carry an idempotency key.
	Action bool
}

// Trigger is a surge or a fault injected during the scenario.
type Trigger struct {
	Name string
	Kind string
	// From and Until are measured from the start of the measured time.
	From, Until time.Duration
	// TrafficPrefix is the prefix of the names of traffic that a surge multiplies, and
	// ArrivalFactor the factor.
	TrafficPrefix string
	ArrivalFactor float64
	// UpstreamPrefix is the prefix of the names of the affected upstream instances.
	UpstreamPrefix string
	// SetBody and ResetBody are the JSON bodies sent at From and Until.
	SetBody, ResetBody string
}

// Scenario describes the traffic and the triggers of one run.
type Scenario struct {
	Name string
	// Scale labels the results with the size of the scenario relative to the users' fleet.
	Scale    string
	Seed     uint64
	Warmup   time.Duration
	Duration time.Duration
	// Rates are the rates of the organisations, used to tell which refusals were wrong.
	Rates map[fleet.OrganisationID]fleet.Rate
	// Bursts are the burst sizes of the organisations.
	Bursts   map[fleet.OrganisationID]fleet.Tokens
	Traffic  []Traffic
	Triggers []Trigger
}

// ParseScenario parses a scenario file; name is the file name used in errors. It returns
// *inifile.InvalidError.
func ParseScenario(name string, text []byte) (*Scenario, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	s := &Scenario{Rates: map[fleet.OrganisationID]fleet.Rate{}, Bursts: map[fleet.OrganisationID]fleet.Tokens{}}
	general := f.Section("scenario")
	s.Name = general.Required("name", "a name")
	s.Scale = general.String("scale", "1/1")
	s.Seed = uint64(general.Int("seed", 1, 0, math.MaxInt32))
	s.Warmup = general.Duration("warmup", 8*time.Second, 0)
	s.Duration = general.Duration("duration", 30*time.Second, time.Second)
	for _, section := range f.Sections("") {
		kind, label, _ := strings.Cut(section, " ")
		label = strings.Trim(label, `"`)
		switch kind {
		case "scenario":
		case "organisation":
			o := f.Section(section)
			s.Rates[fleet.OrganisationID(label)] = fleet.Rate(o.Float("rate", 1, 0, 1e7))
			s.Bursts[fleet.OrganisationID(label)] = fleet.Tokens(o.Float("burst", 1, 1, 1e7))
		case "traffic":
			s.Traffic = append(s.Traffic, readTraffic(f.Section(section), label))
		case "trigger":
			s.Triggers = append(s.Triggers, readTrigger(f.Section(section), label))
		default:
			f.Section(section).AddProblem("", fmt.Sprintf("unknown section [%s]", section), "scenario, organisation, traffic, trigger")
		}
	}
	if len(s.Traffic) == 0 {
		f.AddProblem("scenario", "", "the scenario has no traffic", `a section such as [traffic "dakar browsing"]`)
	}
	return s, f.Finish()
}

func readTraffic(t *inifile.Section, label string) Traffic {
	return Traffic{
		Name:         label,
		Organisation: fleet.OrganisationID(t.Required("organisation", "an organisation")),
		Class:        t.Required("class", "a label, such as reads or actions"),
		Method:       t.OneOf("method", "GET", "GET", "POST"),
		Path:         t.Required("path", "a path that starts with the service"),
		Rate:         t.Float("rate", 1, 0.1, 1e6),
		MaxWait:      t.Duration("patience", time.Second, time.Millisecond),
		MaxRetries:   t.Int("retries", 0, 0, 100),
		Action:       t.Bool("action", false),
	}
}

func readTrigger(t *inifile.Section, label string) Trigger {
	return Trigger{
		Name:           label,
		Kind:           t.OneOf("kind", "", TriggerSurge, TriggerUpstream, TriggerLog),
		From:           t.Duration("from", 0, 0),
		Until:          t.Duration("until", 0, 0),
		TrafficPrefix:  t.String("traffic", ""),
		ArrivalFactor:  t.Float("factor", 1, 0, 1000),
		UpstreamPrefix: t.String("upstream", ""),
		SetBody:        t.String("set", ""),
		ResetBody:      t.String("reset", ""),
	}
}

// TriggerEnd returns the end of the last trigger, and 0 if there is none.
func (s *Scenario) TriggerEnd() time.Duration {
	var end time.Duration
	for _, t := range s.Triggers {
		end = max(end, t.Until)
	}
	return end
}

// TriggerStart returns the start of the first trigger, and Duration if there is none.
func (s *Scenario) TriggerStart() time.Duration {
	start := s.Duration
	for _, t := range s.Triggers {
		start = min(start, t.From)
	}
	return start
}

// Mesh describes the fleet that a scenario runs against.
type Mesh struct {
	// CallerURLs are the base URLs at which the nodes serve callers.
	CallerURLs []string
	// CallerKeys holds one caller's key per organisation.
	CallerKeys map[fleet.OrganisationID]string
	// UpstreamURLs are the base URLs of the upstream stand-ins, by instance.
	UpstreamURLs map[string]string
	// LogURL is the base URL of the log stand-in.
	LogURL string
	// Policy labels the results.
	Policy string
}

// ParseMesh parses a mesh file; name is the file name used in errors. It returns
// *inifile.InvalidError.
func ParseMesh(name string, text []byte) (*Mesh, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	m := &Mesh{CallerKeys: map[fleet.OrganisationID]string{}, UpstreamURLs: map[string]string{}}
	general := f.Section("mesh")
	m.Policy = general.Required("policy", "a label, such as on or off")
	m.LogURL = general.URL("log")
	for _, section := range f.Sections("") {
		kind, label, _ := strings.Cut(section, " ")
		label = strings.Trim(label, `"`)
		switch kind {
		case "instance":
			in := f.Section(section)
			m.CallerURLs = append(m.CallerURLs, in.URL("callers"))
			m.UpstreamURLs[label] = in.URL("upstream")
		case "key":
			m.CallerKeys[fleet.OrganisationID(label)] = f.Section(section).Required("key", "a caller's key")
		}
	}
	return m, f.Finish()
}

// Package load is the experiment tool: it plays a scenario of arrivals and
// triggers against a running fleet and computes the four measures.
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
	// TriggerSurge multiplies the arrivals of some traffic.
	TriggerSurge = "surge"
	// TriggerUpstream changes the behaviour of upstream stand-ins.
	TriggerUpstream = "upstream"
	// TriggerLog changes the faults of the log stand-in.
	TriggerLog = "log"
)

// Traffic is one open-loop stream of requests.
type Traffic struct {
	Name         string
	Organisation fleet.OrganisationID
	// Class labels the results; the nodes go by their tickets.
	Class  string
	Method string
	// Path may hold %d for the number of the request.
	Path string
	// Rate is arrivals a second.
	Rate float64
	// MaxWait is how long the caller waits for one answer.
	MaxWait time.Duration
	// MaxRetries is how often the caller repeats at once after a failure.
	MaxRetries int
	// Action requests carry an idempotency key.
	Action bool
}

// Trigger is something that happens during the scenario.
type Trigger struct {
	Name string
	Kind string
	// From and Until are counted from the start of the measured time.
	From, Until time.Duration
	// TrafficPrefix starts the names of the traffic that a surge multiplies.
	TrafficPrefix string
	ArrivalFactor float64
	// UpstreamPrefix starts the names of the instances that change.
	UpstreamPrefix string
	// SetBody and ResetBody are the JSON sent at From and Until.
	SetBody, ResetBody string
}

// Scenario is what one run plays.
type Scenario struct {
	Name string
	// Scale tells what part of the users' sizes the scenario stands for.
	Scale    string
	Seed     uint64
	Warmup   time.Duration
	Duration time.Duration
	// Rates are the organisations' rates, to judge refusals by.
	Rates map[fleet.OrganisationID]fleet.Rate
	// Bursts are the organisations' bursts.
	Bursts   map[fleet.OrganisationID]fleet.Tokens
	Traffic  []Traffic
	Triggers []Trigger
}

// ParseScenario reads a scenario. It returns *inifile.InvalidError.
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

// TriggerEnd returns when the last trigger ends; zero where there is none.
func (s *Scenario) TriggerEnd() time.Duration {
	var end time.Duration
	for _, t := range s.Triggers {
		end = max(end, t.Until)
	}
	return end
}

// TriggerStart returns when the first trigger begins.
func (s *Scenario) TriggerStart() time.Duration {
	start := s.Duration
	for _, t := range s.Triggers {
		start = min(start, t.From)
	}
	return start
}

// Mesh is the fleet that a scenario is played against.
type Mesh struct {
	// CallerURLs are the base addresses of callers' faces.
	CallerURLs []string
	// CallerKeys are the callers' keys by organisation.
	CallerKeys map[fleet.OrganisationID]string
	// UpstreamURLs are the base addresses of stand-ins by instance.
	UpstreamURLs map[string]string
	LogURL       string
	// Policy labels the results.
	Policy string
}

// ParseMesh reads a mesh file.
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

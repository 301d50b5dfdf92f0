package mesh

import (
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/inifile"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Settings of a node that stands on a platform with a store of its own.
type Settings struct {
	Node       string
	Service    fleet.ServiceName
	DataCentre fleet.DataCentre
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool

	// Callers serves clients and the instance's own calls, Heartbeats the
	// instance, Readiness the platform, Peers other nodes.
	Callers, Heartbeats, Readiness, Peers string
	// Metrics is empty where no metrics are served.
	Metrics  string
	Instance string
	Store    string

	// Heartbeat is the period in which the instance announces itself.
	Heartbeat time.Duration
	// Revoke is how long a withdrawn key may still be used.
	Revoke time.Duration
	// RateOverage and RateSlack are what organisations may be over their rate and
	// burst in a window over all nodes: a part, and a number of requests.
	RateOverage float64
	RateSlack   fleet.Tokens
	// Repeats bounds the requests that are sent to a further instance.
	Repeats entrance.RetryLimits
	// Grace is the time between a stop signal and the end by force.
	Grace time.Duration

	LogLevel, LogFormat string
}

// LoadSettings reads a settings file. It returns *settings.FileError or
// *inifile.InvalidError.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &settings.FileError{Path: path, Cause: err}
	}
	return ParseSettings(path, text)
}

// ParseSettings reads settings from a text.
func ParseSettings(name string, text []byte) (*Settings, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	s := &Settings{}
	n := f.Section("node")
	s.Node = n.Required("name", "the name of the node")
	s.Service = fleet.ServiceName(n.Required("service", "the service of the instance"))
	s.DataCentre = fleet.DataCentre(n.Required("dataCentre", "the data centre of the instance"))
	s.FirstStart = n.Bool("firstStart", false)
	l := f.Section("listen")
	s.Callers, s.Heartbeats, s.Readiness, s.Peers = l.Address("callers"), l.Address("heartbeats"), l.Address("readiness"), l.Address("peers")
	if l.Has("metrics") {
		s.Metrics = l.Address("metrics")
	}
	s.Instance = f.Section("instance").Address("address")
	s.Store = f.Section("store").Address("address")
	b := f.Section("bounds")
	s.Heartbeat = b.Duration("heartbeat", 1500*time.Millisecond, 10*time.Millisecond)
	s.Revoke = b.Duration("revoke", 5*time.Second, 100*time.Millisecond)
	s.RateOverage = b.Float("rateOverage", 0, 0, 1)
	s.RateSlack = fleet.Tokens(b.Float("rateSlack", 0, 0, 1e6))
	s.Repeats.Ratio = b.Float("repeatRatio", 0.1, 0, 1)
	s.Repeats.Slack = b.Float("repeatSlack", 10, 0, 1e6)
	s.Grace = b.Duration("grace", 6*time.Second, 100*time.Millisecond)
	logging := f.Section("logs")
	s.LogLevel = logging.OneOf("level", "info", "debug", "info", "warning", "error")
	s.LogFormat = logging.OneOf("format", logs.FormatJSON, logs.FormatJSON, logs.FormatText)
	if err := f.Finish(); err != nil {
		return nil, err
	}
	return s, nil
}

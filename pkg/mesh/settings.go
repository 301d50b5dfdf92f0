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
	NodeName   string
	Service    fleet.ServiceName
	DataCentre fleet.DataCentre
	// FirstStart tells that the whole fleet starts for the first time.
	FirstStart bool

	// CallerAddress serves clients and the instance's own calls, HeartbeatAddress the
	// instance, ReadinessAddress the platform, PeerAddress other nodes.
	CallerAddress, HeartbeatAddress, ReadinessAddress, PeerAddress string
	// MetricsAddress is empty where no metrics are served.
	MetricsAddress  string
	InstanceAddress string
	StoreAddress    string

	// HeartbeatInterval is the period in which the instance announces itself.
	HeartbeatInterval time.Duration
	// MaxRevocationDelay is how long a withdrawn key may still be used.
	MaxRevocationDelay time.Duration
	// MaxOverageFraction and RateSlack are what organisations may be over their rate and
	// burst in a window over all nodes: a part, and a number of requests.
	MaxOverageFraction float64
	MaxOverageBurst    fleet.Tokens
	// RetryLimits bounds the requests that are sent to a further instance.
	RetryLimits entrance.Repeats
	// GracePeriod is the time between a stop signal and the end by force.
	GracePeriod time.Duration

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
	s.NodeName = n.Required("name", "the name of the node")
	s.Service = fleet.ServiceName(n.Required("service", "the service of the instance"))
	s.DataCentre = fleet.DataCentre(n.Required("dataCentre", "the data centre of the instance"))
	s.FirstStart = n.Bool("firstStart", false)
	l := f.Section("listen")
	s.CallerAddress, s.HeartbeatAddress, s.ReadinessAddress, s.PeerAddress = l.Address("callers"), l.Address("heartbeats"), l.Address("readiness"), l.Address("peers")
	if l.Has("metrics") {
		s.MetricsAddress = l.Address("metrics")
	}
	s.InstanceAddress = f.Section("instance").Address("address")
	s.StoreAddress = f.Section("store").Address("address")
	b := f.Section("bounds")
	s.HeartbeatInterval = b.Duration("heartbeat", 1500*time.Millisecond, 10*time.Millisecond)
	s.MaxRevocationDelay = b.Duration("revoke", 5*time.Second, 100*time.Millisecond)
	s.MaxOverageFraction = b.Float("rateOverage", 0, 0, 1)
	s.MaxOverageBurst = fleet.Tokens(b.Float("rateSlack", 0, 0, 1e6))
	s.RetryLimits.Ratio = b.Float("repeatRatio", 0.1, 0, 1)
	s.RetryLimits.Slack = b.Float("repeatSlack", 10, 0, 1e6)
	s.GracePeriod = b.Duration("grace", 6*time.Second, 100*time.Millisecond)
	logging := f.Section("logs")
	s.LogLevel = logging.OneOf("level", "info", "debug", "info", "warning", "error")
	s.LogFormat = logging.OneOf("format", logs.FormatJSON, logs.FormatJSON, logs.FormatText)
	if err := f.Finish(); err != nil {
		return nil, err
	}
	return s, nil
}

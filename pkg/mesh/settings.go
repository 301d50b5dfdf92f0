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

const (
	// defaultMemoryMB and minMemoryMB are the default and the lower bound of the memory of
	// the process, in MB.
	defaultMemoryMB = 256
	minMemoryMB     = 64
	// maxColdOverage is the upper bound of the setting coldOverage.
	maxColdOverage = 1000
	// minEvacuationDelay is the lower bound of the time in which an evacuation takes effect.
	// The store is asked at shorter intervals, the shorter that time is.
	minEvacuationDelay = time.Second
	// switchOn and switchOff are the values of settings that turn a part on or off.
	switchOn, switchOff = "on", "off"
)

// Settings holds the settings of a mesh node.
type Settings struct {
	NodeName   string
	Service    fleet.ServiceName
	DataCentre fleet.DataCentre
	// Regions holds the region of each data centre that is in one.
	Regions map[fleet.DataCentre]fleet.Region
	// FirstStart reports that the whole fleet starts for the first time, so that no
	// tokens of the rate limits have been spent, and no instance has departed.
	FirstStart bool

	// CallerAddress is the listen address for clients and the calls of the local
	// instance, HeartbeatAddress for heartbeats of the instance, ReadinessAddress for
	// readiness checks of the platform, PeerAddress for other nodes.
	CallerAddress, HeartbeatAddress, ReadinessAddress, PeerAddress string
	// MetricsAddress is the listen address for metrics; empty means that none are served.
	MetricsAddress string
	// InstanceAddress and StoreAddress are the addresses of the local instance and of
	// the platform's metadata store.
	InstanceAddress string
	StoreAddress    string

	// HeartbeatInterval is the interval at which the instance sends heartbeats.
	HeartbeatInterval time.Duration
	// MaxRevocationDelay is how long a withdrawn key may still be accepted.
	MaxRevocationDelay time.Duration
	// MaxEvacuationDelay is how long calls may still be sent to the instances of a data centre
	// after the operator has evacuated it; 0 means that no bound is set. With a bound, the gate
	// stays closed until the node has read which data centres are evacuated.
	MaxEvacuationDelay time.Duration
	// MaxOverageFraction and MaxOverageBurst bound by how much an organisation may exceed
	// its rate and burst in a window over all nodes: a fraction of the rate, and a number
	// of requests.
	MaxOverageFraction float64
	MaxOverageBurst    fleet.Tokens
	// ColdOverage and ColdSlack define the bound of a cold instance: in any second, it gets
	// at most ColdOverage times the rate of a cold instance of its service, plus ColdSlack
	// calls. Both are 0 if the settings define no bound.
	ColdOverage, ColdSlack float64
	// SlowStart limits the rate of an instance that says that it is cold, that was silent or
	// unreachable, or whose named limit has ended, to what it takes by how it responds.
	SlowStart bool
	// RetryLimits bounds the requests that are sent again to another instance.
	RetryLimits entrance.RetryLimits
	// GracePeriod is the time between the stop signal and the kill by the platform.
	GracePeriod time.Duration
	// MaxDescriptors is the number of descriptors that the process may have; 0 means the
	// limit that the kernel enforces.
	MaxDescriptors int
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64

	LogLevel, LogFormat string
}

// LoadSettings reads and parses a settings file. It returns *settings.FileError if the
// file cannot be read, or the error of ParseSettings.
func LoadSettings(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &settings.FileError{Path: path, Cause: err}
	}
	return ParseSettings(path, text)
}

// ParseSettings parses the text of a settings file; name is the name of the file in
// errors. It returns *inifile.InvalidError, possibly wrapped.
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
	s.Regions = map[fleet.DataCentre]fleet.Region{}
	for dataCentre, region := range f.Section("regions").All() {
		s.Regions[fleet.DataCentre(dataCentre)] = fleet.Region(region)
	}
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
	s.MaxEvacuationDelay = b.Duration("evacuation", 0, minEvacuationDelay)
	s.MaxOverageFraction = b.Float("rateOverage", 0, 0, 1)
	s.MaxOverageBurst = fleet.Tokens(b.Float("rateSlack", 0, 0, 1e6))
	s.ColdOverage = b.Float("coldOverage", 0, 0, maxColdOverage)
	s.ColdSlack = b.Float("coldSlack", 0, 0, 1e6)
	s.RetryLimits.Ratio = b.Float("repeatRatio", 0.1, 0, 1)
	s.RetryLimits.Slack = b.Float("repeatSlack", 10, 0, 1e6)
	s.GracePeriod = b.Duration("grace", 6*time.Second, 100*time.Millisecond)
	s.MaxDescriptors = b.Int("descriptors", 0, 0, 1<<30)
	s.MemoryBytes = int64(b.Int("memoryMB", defaultMemoryMB, minMemoryMB, 1<<20)) << 20
	s.SlowStart = f.Section("pacing").OneOf("slowStart", switchOff, switchOn, switchOff) == switchOn
	logging := f.Section("logs")
	s.LogLevel = logging.OneOf("level", "info", "debug", "info", "warning", "error")
	s.LogFormat = logging.OneOf("format", logs.FormatJSON, logs.FormatJSON, logs.FormatText)
	if err := f.Finish(); err != nil {
		return nil, err
	}
	return s, nil
}

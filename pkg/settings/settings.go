// Package settings reads the INI settings of a node.
package settings

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/inifile"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/rate"
)

// Example is a commented settings file that is valid except for the secret file, which
// must exist.
const Example = `# Settings of plantainnode. Durations need a unit.

[node]
# Name of the upstream instance beside this node.
instance = calendar-1
# Service that the upstream instance belongs to.
service = calendar
dataCentre = cap-vert-1
region = senegal

[listen]
# For requests of the organisations' callers.
callers = 127.0.0.1:7000
# For calls of the upstream instance to other services; loopback only.
callsOut = 127.0.0.1:7001
# For other nodes; they learn this address.
peers = 127.0.0.1:7002
# Address that other nodes learn in place of peers, if they reach it under another one.
# peersAnnounced = 127.0.0.1:7102
# For operators.
admin = 127.0.0.1:7003

[upstream]
address = 127.0.0.1:8000

[log]
url = http://127.0.0.1:6000
# How long the log keeps records; a new snapshot is written well within this time.
retention = 24h

[peers]
# File with the secret shared by all nodes of the fleet, at least 16 bytes.
secretFile = /etc/plantainramp/peer.secret
# Peer addresses to fetch the state from while the log is unavailable, separated by commas.
seeds =

[limits]
maxBody = 1048576
maxAnswer = 8388608
maxHeader = 32768
# Deadline of calls that do not set one.
deadline = 5s
# Memory that the node may take, in MB. Its budgets for what callers leave there are parts of it.
memoryMB = 128
# File descriptors that the node may take; 0 means those of the process.
descriptors = 0

[policy]
# Mechanisms to switch off, separated by commas, for tests and baselines only:
# rate, retries, admission, intents, strip, spread, fence, auth, silence, seal, leaving.
off =
# How long a node that holds rate slots grants tokens without reading the log.
rateLease = 1h
# How long callers are still answered after a stop was requested.
drain = 1s

[logs]
level = info
format = json
`

// Mechanism names a part of the policy that tests and baselines can switch off.
type Mechanism string

// Mechanisms that the key off of [policy] can name.
const (
	// MechanismRate limits organisations to their rate and burst.
	MechanismRate Mechanism = "rate"
	// MechanismRetries limits retries and does not send calls that would be shed.
	MechanismRetries Mechanism = "retries"
	// MechanismAdmission limits calls in flight and decides which calls are shed first.
	MechanismAdmission Mechanism = "admission"
	// MechanismIntents runs actions at most once.
	MechanismIntents Mechanism = "intents"
	// MechanismStrip removes the caller's key from requests to upstreams.
	MechanismStrip Mechanism = "strip"
	// MechanismSpread replicates configuration records between peers.
	MechanismSpread Mechanism = "spread"
	// MechanismFence rejects a call whose lease to start has expired.
	MechanismFence Mechanism = "fence"
	// MechanismAuth rejects peer messages without a valid authentication code.
	MechanismAuth Mechanism = "auth"
	// MechanismSilence asks a peer over a new connection for the outcome of a call if the
	// connection of the call is unresponsive.
	MechanismSilence Mechanism = "silence"
	// MechanismSeal prevents an abandoned call from starting later.
	MechanismSeal Mechanism = "seal"
	// MechanismLeaving rejects new calls for an instance that is draining, absent or
	// withdrawn by a ticket, or whose node is stopping.
	MechanismLeaving Mechanism = "leaving"
)

var mechanisms = []Mechanism{
	MechanismRate, MechanismRetries, MechanismAdmission, MechanismIntents, MechanismStrip, MechanismSpread, MechanismFence,
	MechanismAuth, MechanismSilence, MechanismSeal, MechanismLeaving,
}

// Settings holds the settings of one node.
type Settings struct {
	Instance   fleet.InstanceName
	Service    fleet.ServiceName
	DataCentre fleet.DataCentre
	Region     fleet.Region

	// Addresses to listen on, by kind of client.
	CallersAddress, CallsOutAddress, PeersAddress, AdminAddress string
	// AnnouncedPeersAddress is the address that other nodes connect to.
	AnnouncedPeersAddress string

	UpstreamAddress string

	LogURL       string
	LogRetention time.Duration

	PeerSecret []byte
	// SeedPeers are addresses of peers to fetch the state from while fewer than two
	// members are known.
	SeedPeers []string

	MaxBodyBytes, MaxResponseBytes int64
	MaxHeaderBytes                 int
	// MemoryBytes is the memory that the node may take; 0 means no bound.
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the node may have; 0 means the limit of
	// the process.
	MaxDescriptors int
	// DefaultDeadline applies to calls that do not set a deadline.
	DefaultDeadline time.Duration

	// Disabled is true for each mechanism that is switched off.
	Disabled map[Mechanism]bool

	// RateLease is how long a node that holds rate slots grants tokens without reading
	// the log.
	RateLease time.Duration
	// DrainPeriod is how long callers are still answered after a stop was requested.
	DrainPeriod time.Duration

	LogLevel, LogFormat string
}

// FileError reports a failure to open or read a file. Commands that write a file use it
// too.
type FileError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string {
	return fmt.Sprintf("cannot read %s: %s", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// ListenError reports a failure to listen on an address.
type ListenError struct {
	// Key is the key of the address in [listen].
	Key, Address string
	Cause        error
}

// Error implements error.
func (e *ListenError) Error() string {
	return fmt.Sprintf("cannot listen on %s for %s: %s; change [listen] %s or stop the process that uses the port", e.Address, e.Key, e.Cause, e.Key)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Load reads a settings file and the secret file that it names. It returns *FileError or
// *inifile.InvalidError.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Cause: err}
	}
	return Parse(path, text, os.ReadFile)
}

// Parse parses the text of a settings file; name is the file name used in errors, and
// readFile reads the secret file. It returns *inifile.InvalidError.
func Parse(name string, text []byte, readFile func(string) ([]byte, error)) (*Settings, error) {
	f, err := inifile.Parse(name, text)
	if err != nil {
		return nil, eris.Wrap(err, "settings")
	}
	s := &Settings{}
	s.readNode(f.Section("node"))
	s.readListen(f.Section("listen"))
	s.UpstreamAddress = f.Section("upstream").Address("address")
	log := f.Section("log")
	s.LogURL = log.URL("url")
	s.LogRetention = log.Duration("retention", 24*time.Hour, time.Second)
	s.readPeers(f.Section("peers"), readFile)
	s.readLimits(f.Section("limits"))
	s.readPolicy(f.Section("policy"))
	logging := f.Section("logs")
	s.LogLevel = logging.OneOf("level", "info", "debug", "info", "warning", "error")
	s.LogFormat = logging.OneOf("format", logs.FormatJSON, logs.FormatJSON, logs.FormatText)
	if err := f.Finish(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Settings) readNode(n *inifile.Section) {
	s.Instance = fleet.InstanceName(n.Required("instance", "the name of the upstream instance"))
	s.Service = fleet.ServiceName(n.Required("service", "the service of the upstream instance"))
	s.DataCentre = fleet.DataCentre(n.Required("dataCentre", "the data centre of the instance"))
	s.Region = fleet.Region(n.String("region", ""))
}

func (s *Settings) readListen(l *inifile.Section) {
	keyByAddress := map[string]string{}
	readAddress := func(key string) string {
		address := l.Address(key)
		if otherKey, taken := keyByAddress[address]; taken && address != "" {
			l.AddProblem(key, fmt.Sprintf("%s = %s clashes with %s", key, address, otherKey), "an address and port that no other key uses")
		}
		keyByAddress[address] = key
		return address
	}
	s.CallersAddress = readAddress("callers")
	s.CallsOutAddress = readAddress("callsOut")
	s.PeersAddress = readAddress("peers")
	s.AdminAddress = readAddress("admin")
	s.AnnouncedPeersAddress = s.PeersAddress
	if l.Has("peersAnnounced") {
		s.AnnouncedPeersAddress = l.Address("peersAnnounced")
	}
}

const (
	// defaultMemoryMB is the memory of a node in MB where the settings name none, and
	// minMemoryMB and maxMemoryMB bound what they may name.
	defaultMemoryMB = 128
	minMemoryMB     = 64
	maxMemoryMB     = 1 << 20
)

// minSecretBytes is the minimum length of the peer secret.
const minSecretBytes = 16

func (s *Settings) readPeers(p *inifile.Section, readFile func(string) ([]byte, error)) {
	path := p.Required("secretFile", "a file with the secret shared by all nodes")
	if path != "" {
		secret, err := readFile(path)
		if err != nil || len(secret) < minSecretBytes {
			p.AddProblem("secretFile", fmt.Sprintf("secretFile = %q cannot be used", path), fmt.Sprintf("a readable file of at least %d bytes", minSecretBytes))
		}
		s.PeerSecret = secret
	}
	for _, seed := range strings.Split(p.String("seeds", ""), ",") {
		if seed = strings.TrimSpace(seed); seed != "" {
			s.SeedPeers = append(s.SeedPeers, seed)
		}
	}
}

func (s *Settings) readLimits(l *inifile.Section) {
	s.MaxBodyBytes = int64(l.Int("maxBody", 1<<20, 1, 16<<20))
	s.MaxResponseBytes = int64(l.Int("maxAnswer", 8<<20, 1, 16<<20))
	s.MaxHeaderBytes = l.Int("maxHeader", 32<<10, 1<<10, 1<<20)
	s.DefaultDeadline = l.Duration("deadline", 5*time.Second, time.Millisecond)
	s.MemoryBytes = int64(l.Int("memoryMB", defaultMemoryMB, minMemoryMB, maxMemoryMB)) << 20
	s.MaxDescriptors = l.Int("descriptors", 0, 0, math.MaxInt32)
}

func (s *Settings) readPolicy(p *inifile.Section) {
	s.Disabled = map[Mechanism]bool{}
	for _, name := range strings.Split(p.String("off", ""), ",") {
		if name = strings.TrimSpace(name); name == "" {
			continue
		}
		if !slices.Contains(mechanisms, Mechanism(name)) {
			p.AddProblem("off", fmt.Sprintf("off names %q", name), fmt.Sprint(mechanisms))
		}
		s.Disabled[Mechanism(name)] = true
	}
	s.RateLease = p.Duration("rateLease", rate.DefaultLease, time.Second)
	s.DrainPeriod = p.Duration("drain", time.Second, 0)
}

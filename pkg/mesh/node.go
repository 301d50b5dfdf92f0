// Package mesh assembles a node of the service mesh: the process beside each instance
// that routes the calls of its instance and of clients, and limits the calls that its
// instance executes. It is for platforms that provide a metadata store and whose
// instances send heartbeats to their node. An adapter passes the names and formats of
// the platform as a Platform.
package mesh

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/demand"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/meter"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/processor"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/topic"
	"github.com/plantainramp/plantainramp/pkg/uptime"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// configPollFraction is how long a read of the configuration waits for a change, as
	// a fraction of the time for which keys are trusted without confirmation. Two
	// consecutive reads and the question of a peer fit into that time.
	configPollFraction = 0.3
	// directoryPollWait is how long one read of the directory waits for a change.
	directoryPollWait = 5 * time.Second
	// directoryBatchDelay is the delay after a change of the directory, so that the
	// entries of many nodes that start at once arrive in few reads.
	directoryBatchDelay = 250 * time.Millisecond
	// followStartDelay is the delay after the first read of a topic, in which the other
	// nodes that start at the same time become known.
	followStartDelay = 500 * time.Millisecond
	// pollMargin is how much longer than its wait a read of the store may take.
	pollMargin = 1200 * time.Millisecond
	// freshnessMargin is how long before Settings.MaxRevocationDelay has passed without
	// confirmation of the configuration the node stops trusting keys.
	freshnessMargin = 400 * time.Millisecond
	// usedToleranceFraction is the fraction of the allowed overage of rates and bursts
	// that is added to the limits. The rest covers tokens that a node holds beyond its
	// share after it borrowed them.
	usedToleranceFraction = 0.9
	// bodyFraction is the fraction of the memory of the process that large request bodies
	// may take at the entrance, and again at the gate. A body is copied on its way, so that
	// it takes up to three times its size.
	bodyFraction = 1.0 / 12
	// maxLinesPerSecond bounds the log lines of each kind of event.
	maxLinesPerSecond = 10
)

// Platform holds the names, formats and functions that are specific to the platform on
// which a node is deployed. Platform adapters provide it.
type Platform struct {
	GateHeaders     gate.Headers
	InstanceHeaders instance.Headers
	EntranceHeaders entrance.Headers
	// ConfigSource and DirectorySource read the topics of the configuration and of the
	// directory of instances.
	ConfigSource, DirectorySource topic.Source
	// ConfigKey is the key of the configuration in its topic, and EvacuationPrefix precedes
	// the name of an evacuated data centre in the key of its record there.
	ConfigKey, EvacuationPrefix string
	// PutEntry appends a record to the topic of the directory.
	PutEntry func(ctx context.Context, r topic.Record) error
	// FleetSource reads the topic with what the fleet records of itself as a whole. It is
	// apart from the directory, so that both are seldom unavailable at once. Without its
	// functions nothing is recorded.
	FleetSource topic.Source
	// PutFleetRecord appends a record to that topic.
	PutFleetRecord func(ctx context.Context, r topic.Record) error
	// DecodeConfig decodes a configuration.
	DecodeConfig func(body []byte) (*routing.View, error)
	// NewHeartbeatHandler returns the HTTP handler for the heartbeats and the
	// deregistration of the local instance. The handler calls the callback for a
	// request before it responds, and acknowledges the request unless that fails.
	NewHeartbeatHandler func(callbacks HeartbeatCallbacks) http.Handler
	// NewReadinessHandler returns the HTTP handler for the readiness checks of the
	// platform.
	NewReadinessHandler func(ready func() bool) http.Handler
}

// HeartbeatCallbacks receives what the local instance says of itself. A word that a
// callback returns an error for must not be acknowledged.
type HeartbeatCallbacks struct {
	OnHeartbeat  func(ctx context.Context, h Heartbeat) error
	OnDeregister func(ctx context.Context, d Deregistration) error
	// OnMalformed is called for a message that cannot be decoded.
	OnMalformed func(id string, err error)
}

// Node routes and limits the calls of one instance. Create it with New.
type Node struct {
	settings   *Settings
	platform   *Platform
	clock      clock.Clock
	uptime     uptime.Source
	logger     *logs.Logger
	events     *logs.Sampler
	planEvents *logs.Sampler
	meter      *meter.Meter
	// incarnation is a random number that identifies this start of the node.
	incarnation uint64

	// view is the active configuration, or nil before the first one was read.
	view        atomic.Pointer[routing.View]
	evacuations evacuationState
	pauses      pauseWatch
	stopping    atomic.Bool
	// stopStartedAt is the clock.Monotonic of the signal to stop; valid once stopping is
	// set.
	stopStartedAt atomic.Int64
	callerConns   connection.Tracker
	// descriptors is the number of descriptors that the process may have.
	descriptors int

	configFollower *topic.Follower
	relayer        relayer
	// configHinted reports whether a newer configuration that a peer applies is awaited.
	configHinted      atomic.Bool
	configLogger      *logs.Logger
	directory         *directory.Directory
	directoryFollower *topic.Follower
	// entryMu is held while the local entry is published, so that an older one is not
	// published last.
	entryMu     sync.Mutex
	heartbeats  *HeartbeatTracker
	instance    *instance.Client
	gate        *gate.Gate
	peers       *peering.Peers
	rateLimiter *quota.Limiter
	// recordedSize is the fleet size that is used until the directory has been read.
	recordedSize fleetSize
	// limitsMu is held while the limits of a configuration are applied, so that those of an
	// older one are not applied last.
	limitsMu sync.Mutex
	// homes holds the nodes that pool tokens, or nil before they were first looked for.
	homes        atomic.Pointer[tokenHomes]
	entrance     *entrance.Entrance
	links        *link.Server
	demand       *demand.Monitor
	executions   executionCounter
	processor    processor.Monitor
	coldChecks   coldChecks
	healthChecks healthChecks
	reports      reportBuffer
	statuses     statusFilter
	// outliers holds the instances that got probe traffic only at the last tick; only
	// runPlanner uses it.
	outliers map[fleet.Incarnation]bool
	// panicCount counts the pieces of work that panicked.
	panicCount atomic.Int64
	// statusCount is the sequence number of the last status of this node; only runPlanner
	// uses it.
	statusCount uint64
	// callerBodies and peerBodies bound the memory for large request bodies of callers and
	// of peers.
	callerBodies, peerBodies memory.Budget
	budgets                  budgets
}

// New returns a node that is not yet running.
func New(s *Settings, p *Platform, c clock.Clock, uptimeSource uptime.Source, logger *logs.Logger) *Node {
	n := &Node{settings: s, platform: p, clock: c, uptime: uptimeSource, logger: logger, incarnation: newIncarnation(), meter: meter.New()}
	n.callerConns.Clock = c
	n.events = &logs.Sampler{Clock: c, Logger: logger, MaxPerSecond: maxLinesPerSecond}
	n.planEvents = &logs.Sampler{Clock: c, Logger: logs.WithComponent(logger, logs.ComponentAdmission), MaxPerSecond: 1}
	n.callerBodies.Limit = int64(bodyFraction * float64(s.MemoryBytes))
	n.peerBodies.Limit = n.callerBodies.Limit
	n.budgets.init(s.MemoryBytes, c)
	n.budgets.callerResponses.OnEvict, n.budgets.smallResponses.OnEvict, n.budgets.smallBodies.OnEvict = n.onResponseEvicted, n.onResponseEvicted, n.onBodyEvicted
	n.makeGate()
	n.makeDirectory()
	n.makeEntrance()
	n.makeConfig()
	n.boundCallerConns()
	return n
}

func newIncarnation() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:]) | 1
}

func (n *Node) makeGate() {
	n.instance = &instance.Client{Address: n.settings.InstanceAddress, Clock: n.clock, Headers: n.platform.InstanceHeaders, MaxBodyBytes: maxResponseBytes(n.settings.MemoryBytes), Budgets: n.budgets.outgoingTiers(), MaxWaiting: n.maxWaitingResponses, OnStray: n.onStray, OnJoined: n.onJoined, OnRepeatedID: n.onRepeatedID}
	n.gate = &gate.Gate{
		Clock: n.clock, Headers: n.platform.GateHeaders, Instance: n.instance, View: n.view.Load, OnStart: n.onExecutionStarted, OnDecision: n.onDecided, OnRateLimit: n.onRateLimit, OnLeaving: n.onLeaving,
		OutOfDate: n.evacuationsOutOfDate, Region: n.regionOf(n.settings.DataCentre), MaxRetainedBytes: retainedBytes(n.settings.MemoryBytes),
	}
	n.limitColdCalls()
	n.gate.Init()
	n.initEvacuations()
	n.healthChecks.wake = newWakeSignal()
	n.heartbeats = &HeartbeatTracker{Clock: n.clock, Service: n.settings.Service, Interval: n.settings.HeartbeatInterval, StartedAt: n.clock.Now(), HasDeparted: n.hasDeparted, OnChange: n.onInstanceChange, OnCold: n.gate.HandleColdHeartbeat}
}

func (n *Node) makeDirectory() {
	self := directory.NodeAddress(n.settings.PeerAddress)
	n.peers = &peering.Peers{
		LocalNode: self, DataCentre: n.settings.DataCentre, Clock: n.clock, Logger: logs.WithComponent(n.logger, logs.ComponentPeer), Gate: n.gate, Hello: n.hello, OnUnencodable: n.logUnencodable,
		Excluded: n.evacuations.Has, Replies: &n.budgets.incoming,
	}
	n.directory = &directory.Directory{
		Self: self, Clock: n.clock, Logger: logs.WithComponent(n.logger, logs.ComponentMember), Put: n.platform.PutEntry, Connected: n.peers.Connected, UpToDate: n.directoryUpToDate, OnChange: n.onDirectoryChange,
	}
	n.directory.Init()
	n.directoryFollower = &topic.Follower{
		Source: n.platform.DirectorySource, Clock: n.clock, Uptime: n.uptime, Logger: logs.WithComponent(n.logger, logs.ComponentMember),
		PollWait: directoryPollWait, PollMargin: pollMargin, StartDelay: followStartDelay, BatchDelay: directoryBatchDelay, Apply: n.applyDirectory,
		OnRestore: n.directory.HandleRestore,
		Relay:     n.relay(linkrpc.Topic_TOPIC_DIRECTORY, func() *topic.Follower { return n.directoryFollower }),
	}
	n.demand = &demand.Monitor{Clock: n.clock, LocalNode: self, Service: n.settings.Service, Load: n.gate.Load, View: n.view.Load, Directory: n.directory.Snapshot, OnPlan: n.onPlan, Excluded: n.evacuations.Has}
	n.links = &link.Server{Clock: n.clock, Hello: n.hello, Handle: n.handlePeerRequest, OnStatus: n.handleStatus, OnTokenGifts: n.handleTokenGifts, OnReports: n.handleReports, OnUnreadable: func(err error) { n.logUnreadable("message without a reply", err) }, OnUnencodable: n.logUnencodable, OnAcceptError: n.onAcceptFailed, OnPanic: n.onPanic, CloseLimit: n.linkCloseLimit, Budget: &n.peerBodies, SmallCalls: &n.budgets.smallCalls, Replies: n.budgets.outgoingTiers()}
}

func (n *Node) makeEntrance() {
	n.rateLimiter = &quota.Limiter{Clock: n.clock, Uptime: n.uptime, StartFull: n.settings.FirstStart}
	n.entrance = &entrance.Entrance{
		Clock: n.clock, Headers: n.platform.EntranceHeaders, Service: n.settings.Service, Peers: n.peers, RateLimiter: n.rateLimiter, Bodies: &n.callerBodies, SmallBodies: &n.budgets.smallBodies, Responses: &n.budgets.callerResponses, SmallResponses: &n.budgets.smallResponses,
		View: n.view.Load, ConfigFresh: n.keysFresh, Stopping: n.stopping.Load, Takes: n.takes, OnFinish: n.onFinished, Incarnation: n.incarnation,
		OnArrival: n.onArrived, Unavailable: n.unavailable, Region: n.regionOf, Admit: n.admit, RetryFraction: n.executions.repeatedFraction, OnRetry: n.onRetry, TokenHome: n.tokenHome, OnBorrowError: n.onBorrowFailed, OnForeignAnswer: n.onForeignAnswer,
	}
	n.entrance.Init()
}

func (n *Node) makeConfig() {
	n.configLogger = logs.WithComponent(n.logger, logs.ComponentConfig)
	n.configFollower = &topic.Follower{
		Source: n.platform.ConfigSource, Clock: n.clock, Uptime: n.uptime, Logger: n.configLogger,
		PollWait: n.configPollWait(), PollMargin: pollMargin, StartDelay: followStartDelay, Apply: n.applyConfig,
		OnFailure: n.directoryFollower.Interrupt, OnRecovery: n.directoryFollower.Interrupt, OnRestore: n.onConfigRestored,
		Relay: n.relay(linkrpc.Topic_TOPIC_CONFIG, func() *topic.Follower { return n.configFollower }),
	}
}

func (n *Node) hello() *linkrpc.Hello { return &linkrpc.Hello{Incarnation: n.incarnation} }

// ready reports whether the node accepts requests of callers.
func (n *Node) ready() bool { return n.view.Load() != nil && !n.stopping.Load() }

// applyDirectory applies records of the directory, and then what they say of the local
// instance.
func (n *Node) applyDirectory(records []topic.Record, full bool) {
	n.directory.Apply(records, full)
	n.checkDepartures()
}

func (n *Node) onDirectoryChange(s *directory.Snapshot) {
	n.peers.Update(s)
	n.updateShares()
}

// onInstanceChange applies a new state of the local instance, first to the gate, then
// to the directory.
func (n *Node) onInstanceChange(s *gate.LocalInstance) {
	n.gate.SetLocalInstance(s)
	n.coldChecks.request()
	logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", s.ID).WithField("open", s.Open).WithField("slots", s.Slots).Info("instance announced")
	n.publishEntry()
}

// publishEntry writes the current directory entry of the local instance. Before the
// first heartbeat it writes nothing, so the entry of an earlier start of the node
// remains. The gate rejects calls until then.
func (n *Node) publishEntry() {
	n.entryMu.Lock()
	defer n.entryMu.Unlock()
	s := n.gate.LocalInstance()
	if s == nil {
		return
	}
	n.directory.SetLocal(directory.Entry{
		Node: directory.NodeAddress(n.settings.PeerAddress), Service: n.settings.Service, DataCentre: n.settings.DataCentre,
		Instance: s.ID, Slots: s.Slots, Open: n.gate.IsOpen(), StartUnixMs: s.StartUnixMs,
	})
}

// Package mesh assembles a node that stands on a platform with a store and
// heartbeats of its own.
package mesh

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/demand"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/meter"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/topic"
	"github.com/plantainramp/plantainramp/pkg/uptime"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// confirmPart is the part of the time for which keys may be trusted that one
	// read of the configuration waits for a change: two reads in turn fit into it.
	confirmPart = 0.4
	// directoryWait is how long one read of the directory waits for a change.
	directoryWait = 5 * time.Second
	// directorySettle is the pause after a change of the directory: many nodes
	// that start at once are then read about in few reads.
	directorySettle = 250 * time.Millisecond
	// readSlack is what a read of the store may take beyond its wait.
	readSlack = 1200 * time.Millisecond
	// freshMargin is how much earlier than the bound keys are no longer trusted.
	freshMargin = 400 * time.Millisecond
	// usedTolerance is the part of the tolerance in rates that shares use up; the rest
	// covers tokens that a node holds beyond its share after it borrowed them.
	usedTolerance = 0.9
	// maxAnswer bounds an instance's answer in bytes.
	maxAnswer = 32 << 20
	// linesPerSecond bounds the log lines of each kind of event.
	linesPerSecond = 10
)

// Platform is what the node needs of the platform it stands on. Platform
// adapters fill it in.
type Platform struct {
	GateHeaders     gate.Headers
	InstanceHeaders instance.Headers
	EntranceHeaders entrance.Headers
	// Config and Directory are the topics to follow.
	Config, Directory topic.Source
	// ConfigKey is the key of the configuration in its topic.
	ConfigKey string
	// PutEntry writes a record of the directory.
	PutEntry func(ctx context.Context, r topic.Record) error
	// DecodeConfig reads a configuration.
	DecodeConfig func(body []byte) (*routing.View, error)
	// Heartbeats and Readiness make the faces that the platform calls.
	Heartbeats func(announced func(Heartbeat), left func(fleet.InstanceName), malformed func(id string, err error)) http.Handler
	Readiness  func(ready func() bool) http.Handler
}

// Node is one node. Make it with New.
type Node struct {
	settings    *Settings
	platform    *Platform
	clock       clock.Clock
	uptime      uptime.Source
	logger      *logs.Logger
	events      *logs.Sampler
	plans       *logs.Sampler
	meter       *meter.Meter
	incarnation uint64

	view     atomic.Pointer[routing.View]
	stopping atomic.Bool

	config       *topic.Follower
	configLog    *logs.Logger
	directory    *directory.Directory
	directoryLog *topic.Follower
	presence     *Presence
	instance     *instance.Client
	gate         *gate.Gate
	peers        *peering.Peers
	shares       *quota.Limiter
	entrance     *entrance.Entrance
	links        *link.Server
	survey       *demand.Monitor
	repeats      repeats
}

// New makes a node.
func New(s *Settings, p *Platform, c clock.Clock, up uptime.Source, logger *logs.Logger) *Node {
	n := &Node{settings: s, platform: p, clock: c, uptime: up, logger: logger, incarnation: randomNumber(), meter: meter.New()}
	n.events = &logs.Sampler{Clock: c, Logger: logger, MaxPerSecond: linesPerSecond}
	n.plans = &logs.Sampler{Clock: c, Logger: logs.WithComponent(logger, logs.ComponentAdmission), MaxPerSecond: 1}
	n.makeGate()
	n.makeDirectory()
	n.makeEntrance()
	n.makeConfig()
	return n
}

func randomNumber() uint64 {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:]) | 1
}

func (n *Node) makeGate() {
	n.instance = &instance.Client{Address: n.settings.Instance, Clock: n.clock, Headers: n.platform.InstanceHeaders, MaxBodyBytes: maxAnswer}
	n.gate = &gate.Gate{Clock: n.clock, Headers: n.platform.GateHeaders, Instance: n.instance, View: n.view.Load, OnStart: n.started, OnDecision: n.decided}
	n.gate.Init()
	n.presence = &Presence{Clock: n.clock, Service: n.settings.Service, Period: n.settings.Heartbeat, Announce: n.announce}
}

func (n *Node) makeDirectory() {
	self := directory.NodeAddress(n.settings.Peers)
	n.peers = &peering.Peers{
		LocalNode: self, DataCentre: n.settings.DataCentre, Clock: n.clock, Logger: logs.WithComponent(n.logger, logs.ComponentPeer), Gate: n.gate, Hello: n.hello,
	}
	n.directory = &directory.Directory{
		Self: self, Clock: n.clock, Logger: logs.WithComponent(n.logger, logs.ComponentMember), Put: n.platform.PutEntry, OnChange: n.onDirectory,
	}
	n.directory.Init()
	n.directoryLog = &topic.Follower{
		Source: n.platform.Directory, Clock: n.clock, Uptime: n.uptime, Logger: logs.WithComponent(n.logger, logs.ComponentMember),
		PollWait: directoryWait, PollMargin: readSlack, BatchDelay: directorySettle, Apply: n.directory.Apply,
	}
	n.survey = &demand.Monitor{Clock: n.clock, LocalNode: self, Service: n.settings.Service, Load: n.gate.Load, View: n.view.Load, Directory: n.directory.Snapshot, OnPlan: n.planned}
	n.links = &link.Server{Clock: n.clock, Hello: n.hello, Handle: n.handle, OnStatus: n.heard, OnUnreadableStatus: func(err error) { n.unreadable("status", err) }}
}

func (n *Node) makeEntrance() {
	n.shares = &quota.Limiter{Clock: n.clock, StartFull: n.settings.FirstStart}
	n.entrance = &entrance.Entrance{
		Clock: n.clock, Headers: n.platform.EntranceHeaders, Service: n.settings.Service, Peers: n.peers, RateLimiter: n.shares,
		View: n.view.Load, ConfigFresh: n.fresh, Stopping: n.stopping.Load, OnFinish: n.finished, Incarnation: n.incarnation,
		OnArrival: n.arrived, Admit: n.admit, RetryFraction: n.repeats.part, OnBorrowError: n.notLent,
	}
	n.entrance.Init()
}

func (n *Node) makeConfig() {
	n.configLog = logs.WithComponent(n.logger, logs.ComponentConfig)
	n.config = &topic.Follower{
		Source: n.platform.Config, Clock: n.clock, Uptime: n.uptime, Logger: n.configLog,
		PollWait: time.Duration(confirmPart * float64(n.settings.Revoke-freshMargin)), PollMargin: readSlack, Apply: n.applyConfig,
		OnFailure: n.directoryLog.Interrupt, OnRecovery: n.directoryLog.Interrupt,
	}
}

func (n *Node) hello() *linkrpc.Hello { return &linkrpc.Hello{Incarnation: n.incarnation} }

// fresh tells whether the knowledge of keys is young enough.
func (n *Node) fresh() bool {
	age, known := n.config.Age()
	return known && age < n.settings.Revoke-freshMargin
}

// ready tells whether the node takes callers.
func (n *Node) ready() bool { return n.view.Load() != nil && !n.stopping.Load() }

// applyConfig puts newer configurations in force, in order.
func (n *Node) applyConfig(records []topic.Record, _ bool) {
	for _, r := range records {
		if r.Key != n.platform.ConfigKey || len(r.Value) == 0 {
			continue
		}
		v, err := n.platform.DecodeConfig(r.Value)
		if err != nil {
			n.configLog.WithError(err).Warn("configuration left out")
			continue
		}
		if old := n.view.Load(); old != nil && v.Version <= old.Version {
			if v.Version < old.Version {
				n.configLog.WithField("version", v.Version).WithField("inForce", old.Version).Info("older configuration left out")
			}
			continue
		}
		n.view.Store(v)
		n.updateShares()
		n.configLog.WithField("version", v.Version).WithField("organisations", len(v.Organisations)).Info("configuration in force")
	}
}

func (n *Node) updateShares() {
	v := n.view.Load()
	if v == nil {
		return
	}
	bounds := map[fleet.OrganisationID]quota.Limit{}
	for _, o := range v.Organisations {
		if o.Rate > 0 {
			bounds[o.ID] = quota.Limit{
				Rate:  o.Rate * fleet.Rate(1+n.settings.RateOverage*usedTolerance),
				Burst: o.Burst + n.settings.RateSlack*usedTolerance,
			}
		}
	}
	n.shares.Update(bounds, n.peers.NodeCount())
}

func (n *Node) onDirectory(s *directory.Snapshot) {
	n.peers.Update(s)
	n.entrance.SetRetryLimits(n.settings.Repeats, n.peers.NodeCount())
	n.updateShares()
}

// Instances returns how many instances that take calls the node knows.
func (n *Node) Instances() int {
	count := 0
	for _, entries := range n.directory.Snapshot().Services {
		count += len(entries)
	}
	return count
}

// announce takes a change of the instance: the gate first, then everyone else.
func (n *Node) announce(s *gate.LocalInstance) {
	n.gate.SetLocalInstance(s)
	logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", s.ID).WithField("open", s.Open).WithField("slots", s.Slots).Info("instance announced")
	n.publish()
}

// publish writes the own entry as it is now. Before the instance has announced
// itself, what an earlier start of the node wrote stays: the gate hands calls
// back meanwhile.
func (n *Node) publish() {
	s := n.gate.LocalInstance()
	if s == nil {
		return
	}
	n.directory.SetLocal(directory.Entry{
		Node: directory.NodeAddress(n.settings.Peers), Service: n.settings.Service, DataCentre: n.settings.DataCentre,
		Instance: s.ID, Slots: s.Slots, Open: n.gate.IsOpen(),
	})
}

// handle answers a message of a peer.
func (n *Node) handle(ctx context.Context, r link.Request) proto.Message {
	switch r.Kind {
	case link.KindRun:
		run := &linkrpc.Run{}
		if err := proto.Unmarshal(r.Payload, run); err != nil {
			n.unreadable("call", err)
			return gate.NotRunOutcome(linkrpc.Reason_REASON_BROKEN)
		}
		return n.gate.Run(ctx, run)
	case link.KindAsk:
		ask := &linkrpc.Ask{}
		if err := proto.Unmarshal(r.Payload, ask); err != nil {
			n.unreadable("question", err)
			return nil
		}
		if o := n.gate.QueryOutcome(ctx, ask); o != nil {
			return o
		}
		return nil
	case link.KindTokenRequest:
		request := &linkrpc.TokenRequest{}
		if err := proto.Unmarshal(r.Payload, request); err != nil {
			n.unreadable("request for tokens", err)
			return nil
		}
		return &linkrpc.TokenGrant{Granted: n.shares.Lend(fleet.OrganisationID(request.Organisation), request.Wanted)}
	}
	return nil
}

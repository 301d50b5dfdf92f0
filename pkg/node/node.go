// Package node assembles a node: its HTTP servers, the middleware that handles calls, and
// the controllers that maintain its state.
package node

import (
	"sync/atomic"
	"time"

	"github.com/samber/do/v2"

	"github.com/plantainramp/plantainramp/pkg/action"
	"github.com/plantainramp/plantainramp/pkg/admin"
	"github.com/plantainramp/plantainramp/pkg/admission"
	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/caller"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/member"
	"github.com/plantainramp/plantainramp/pkg/meter"
	"github.com/plantainramp/plantainramp/pkg/outcome"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/rate"
	"github.com/plantainramp/plantainramp/pkg/route"
	"github.com/plantainramp/plantainramp/pkg/settings"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

// Node handles the calls to and from one upstream instance. Create it with New.
type Node struct {
	settings *settings.Settings
	clock    clock.Clock
	logger   *logs.Logger
	version  string
	// memberID identifies this node on the list of members.
	memberID fleet.MemberID
	// startTime is the zero point of the clock readings sent to peers.
	startTime time.Time

	// callsTimeout bounds the wait for calls in flight when the node stops.
	callsTimeout time.Duration

	// upstreamState is the last announcement of the upstream, or nil before the first.
	upstreamState atomic.Pointer[Announcement]
	// stopping is true once the node has begun to shut down.
	stopping atomic.Bool

	log             *platformlog.Client
	meter           *meter.Meter
	follower        *config.Follower
	pool            *peer.Pool
	endpoints       *route.Endpoints
	upstream        *upstream.Client
	admission       *admission.Controller
	outcomes        *outcome.Store
	gossiper        *member.Gossiper
	announcer       *member.Announcer
	allocator       *rate.Allocator
	limiter         *rate.Limiter
	slotController  *rate.SlotController
	recorder        *action.Recorder
	writer          *action.Writer
	router          *route.Router
	peerServer      *PeerServer
	callersHandler  *caller.Handler
	outboundHandler *caller.Handler
	adminAPI        *admin.API
	snapshotter     *config.Snapshotter
	failureDetector *member.FailureDetector
	budgets         budgets
	events          *logs.Sampler
	// callersIntake is that of the server for callers.
	callersIntake *intake
}

// New returns a node. The injector must provide *settings.Settings, clock.Clock,
// *logs.Logger, and the version as a string under the name "version".
func New(injector do.Injector) (*Node, error) {
	n := &Node{memberID: fleet.MemberID(fleet.NewID()), callsTimeout: stopTimeout}
	var err error
	if n.settings, err = do.Invoke[*settings.Settings](injector); err != nil {
		return nil, err
	}
	if n.clock, err = do.Invoke[clock.Clock](injector); err != nil {
		return nil, err
	}
	if n.logger, err = do.Invoke[*logs.Logger](injector); err != nil {
		return nil, err
	}
	if n.version, err = do.InvokeNamed[string](injector, "version"); err != nil {
		return nil, err
	}
	n.startTime = n.clock.Now()
	n.logger = n.logger.WithField("member", n.memberID)
	n.events = &logs.Sampler{Clock: n.clock, Logger: n.logger, MaxPerSecond: maxLinesPerSecond}
	n.budgets.init(n.settings.MemoryBytes, n.clock)
	n.budgets.smallResponses.OnEvict, n.budgets.largeResponses.OnEvict = n.onResponseEvicted, n.onResponseEvicted
	n.callersIntake = n.newIntake()
	n.initState()
	n.initRates()
	n.initActions()
	n.initCallHandling()
	n.initHandlers()
	return n, nil
}

func (n *Node) componentLogger(name string) *logs.Logger { return logs.WithComponent(n.logger, name) }

func (n *Node) initState() {
	n.meter = meter.New()
	n.log = &platformlog.Client{URL: n.settings.LogURL}
	n.endpoints = &route.Endpoints{Clock: n.clock}
	n.follower = &config.Follower{Log: n.log, Clock: n.clock, Logger: n.componentLogger(logs.ComponentConfig)}
	n.follower.OnChange = n.onChange
	n.pool = &peer.Pool{Secret: n.settings.PeerSecret, Clock: n.clock, IgnoreStalls: n.settings.Disabled[settings.MechanismSilence]}
	n.gossiper = &member.Gossiper{
		Self: n.memberID, DataCentre: n.settings.DataCentre, Seeds: n.settings.SeedPeers, Follower: n.follower,
		Pool: n.pool, Clock: n.clock, Start: n.startTime, Logger: n.componentLogger(logs.ComponentMember),
		Disabled: n.settings.Disabled[settings.MechanismSpread],
	}
	n.announcer = &member.Announcer{Gossiper: n.gossiper, Member: n.localMember()}
	n.failureDetector = &member.FailureDetector{Gossiper: n.gossiper, RemoteTimeout: n.settings.RateLease}
	n.snapshotter = &config.Snapshotter{Self: n.memberID, Follower: n.follower, Retention: n.settings.LogRetention}
}

func (n *Node) localMember() state.Member {
	return state.Member{
		ID: n.memberID, Instance: n.settings.Instance, Service: n.settings.Service, DataCentre: n.settings.DataCentre,
		Region: n.settings.Region, PeerAddress: n.settings.AnnouncedPeersAddress, AdminAddress: n.settings.AdminAddress,
	}
}

func (n *Node) initRates() {
	n.allocator = &rate.Allocator{Self: n.memberID, Follower: n.follower, Clock: n.clock, Lease: n.settings.RateLease}
	n.limiter = &rate.Limiter{Self: n.memberID, Follower: n.follower, Clock: n.clock, RequestTokens: n.borrow, Disabled: n.settings.Disabled[settings.MechanismRate]}
	n.slotController = &rate.SlotController{Allocator: n.allocator, Log: n.log, Logger: n.componentLogger(logs.ComponentRate)}
}

func (n *Node) initActions() {
	n.recorder = &action.Recorder{Log: n.log, Clock: n.clock, Logger: n.componentLogger(logs.ComponentAction)}
	n.writer = &action.Writer{
		Self: n.memberID, Follower: n.follower, Clock: n.clock, Logger: n.componentLogger(logs.ComponentAction),
		Intend: n.intend, Recall: n.recall, Disabled: n.settings.Disabled[settings.MechanismIntents],
	}
}

func (n *Node) initCallHandling() {
	n.upstream = &upstream.Client{
		Address: n.settings.UpstreamAddress, Clock: n.clock, MaxResponseBytes: n.settings.MaxResponseBytes,
		Unfenced: n.settings.Disabled[settings.MechanismFence],
		Budgets:  n.budgets.upstreamResponses.tiers(),
	}
	n.admission = &admission.Controller{Clock: n.clock, Disabled: n.settings.Disabled[settings.MechanismAdmission]}
	n.upstream.OnDialError = n.admission.StartRamp
	n.outcomes = &outcome.Store{Clock: n.clock, Unfenced: n.settings.Disabled[settings.MechanismSeal]}
	n.peerServer = &PeerServer{
		Self: n.memberID, Clock: n.clock, Start: n.startTime, Follower: n.follower, Gossiper: n.gossiper, Outcomes: n.outcomes,
		CallHandler: call.Chain(n.upstream.Handle, n.admission.Middleware()), Load: n.admission.Load,
		Allocator: n.allocator, Recorder: n.recorder, Writer: n.writer, Leaving: n.leaving,
	}
	n.router = &route.Router{
		Self: n.memberID, DataCentre: n.settings.DataCentre, Follower: n.follower, Pool: n.pool, Clock: n.clock,
		Endpoints: n.endpoints, Throttle: &route.Throttle{Clock: n.clock}, Logger: n.componentLogger(logs.ComponentNode),
		Local: n.peerServer.RunLocal, Disabled: n.settings.Disabled[settings.MechanismRetries],
	}
}

func (n *Node) initHandlers() {
	callersChain := call.Chain(n.router.Handle, n.writer.Middleware(), n.limiter.Middleware())
	n.callersHandler = &caller.Handler{
		Follower: n.follower, Clock: n.clock, Logger: n.componentLogger(logs.ComponentCaller), Meter: n.meter, CallHandler: callersChain,
		Ready: n.ready, MaxBodyBytes: n.settings.MaxBodyBytes, DefaultDeadline: n.settings.DefaultDeadline, SmallResponses: &n.budgets.smallResponses, LargeResponses: &n.budgets.largeResponses, Bodies: n.budgets.bodies.tiers(),
		ForwardKeys: n.settings.Disabled[settings.MechanismStrip],
	}
	outboundChain := call.Chain(n.router.Handle, n.writer.Middleware())
	n.outboundHandler = &caller.Handler{
		Follower: n.follower, Clock: n.clock, Logger: n.componentLogger(logs.ComponentCaller), Meter: n.meter, CallHandler: outboundChain,
		FindParent: n.upstream.RunningCall,
		Ready:      n.ready, MaxBodyBytes: n.settings.MaxBodyBytes, DefaultDeadline: n.settings.DefaultDeadline, SmallResponses: &n.budgets.smallResponses, LargeResponses: &n.budgets.largeResponses, Bodies: n.budgets.bodies.tiers(),
	}
	n.adminAPI = &admin.API{Follower: n.follower, Status: n.status, Metrics: n.meter.Handler(), Version: n.version}
}

func (n *Node) ready() bool { return n.follower.View().Ready() }

// leaving reports whether the instance accepts no new calls: the node is stopping, the
// upstream is draining or has not announced itself, or a ticket sets the upstream to
// leaving.
func (n *Node) leaving() bool {
	if n.settings.Disabled[settings.MechanismLeaving] {
		return false
	}
	announced := n.upstreamState.Load()
	return n.stopping.Load() || announced == nil || announced.State != UpstreamServing ||
		n.follower.View().Leaving(n.settings.Instance)
}

// onChange passes a new view of the configuration to the components that keep data
// derived from it.
func (n *Node) onChange(v *config.View) {
	n.endpoints.Update(v)
	n.allocator.Update(v)
}

func (n *Node) status() admin.Status {
	current := n.follower.View().State
	_, digest, _ := current.Marshal()
	load := n.admission.Load()
	logReadAgeMs := int64(-1)
	if lastRead := n.follower.LastLogRead(); !lastRead.IsZero() {
		logReadAgeMs = n.clock.Now().Sub(lastRead).Milliseconds()
	}
	announced := n.upstreamState.Load()
	return admin.Status{
		Member: n.memberID, Instance: n.settings.Instance, Service: n.settings.Service, DataCentre: n.settings.DataCentre,
		Next: current.NextOffset, Digest: digest, LogSeenMs: logReadAgeMs, InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued,
		Shed: n.admission.Shed(), RateSlots: n.allocator.HeldSlots(), Leaving: n.leaving(),
		UpstreamReady: announced != nil && announced.State == UpstreamServing,
	}
}

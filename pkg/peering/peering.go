// Package peering maintains the connections to all other nodes and the last known
// load of their instances, and chooses the instance for a call.
package peering

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/balancer"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// closedAvoidance is how long an instance is a last resort after it rejected a
	// call because it was closed.
	closedAvoidance = time.Second
	// connectionLossAvoidance is how long an instance is a last resort after its
	// connection was lost or could not be opened.
	connectionLossAvoidance = 700 * time.Millisecond
	// closedHolds is the value of Peer.holds once the link is closed: so low that
	// late holds do not raise it to 0.
	closedHolds = math.MinInt64 / 2
)

// Peers holds a connection to each other node and the gate of the local instance.
// Set the exported fields before use. Its methods are safe for concurrent use,
// except CheckLiveness.
type Peers struct {
	LocalNode  directory.NodeAddress
	DataCentre fleet.DataCentre
	Clock      clock.Clock
	Logger     *logs.Logger
	Gate       *gate.Gate
	Hello      func() *linkrpc.Hello
	// Dial connects to a peer; nil means link.DialTCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	// mu guards peers and leaving.
	mu    sync.Mutex
	peers map[directory.NodeAddress]*Peer
	// leaving holds the peers that are no longer in the directory and whose link is
	// still held.
	leaving map[directory.NodeAddress]*Peer
	// services is replaced as a whole by Update, so that reading it needs no lock.
	services atomic.Pointer[map[fleet.ServiceName][]*Target]
	departed departedInstances
}

// Peer is a node that runs calls: another node or the local one.
type Peer struct {
	Node directory.NodeAddress
	// link is nil for the local node, and gate is nil for all others.
	link *link.Link
	gate *gate.Gate

	// noteLeaving is Peers.NoteLeaving.
	noteLeaving func(*linkrpc.Load)

	// holds is the number of holds that have not been released, or negative once the
	// link is closed.
	holds atomic.Int64
	// pendingCalls is the number of calls that this node sent and that have not
	// ended.
	pendingCalls atomic.Int64
	load         atomic.Pointer[linkrpc.Load]
	// rateLimit is the limit that the last answer from the peer's instance named.
	rateLimit atomic.Pointer[knownLimit]
	// avoidUntil is a clock.Monotonic until which the instance is a last resort; 0
	// if there is no such time.
	avoidUntil atomic.Int64
}

// knownLimit is the rate limit of an instance in calls per second; 0 means none.
type knownLimit struct {
	instance string
	rate     float64
}

// KnownRateLimit returns the limit that the instance has named in the last answer that
// this node received from it, in calls per second, or 0.
func (p *Peer) KnownRateLimit(instance fleet.InstanceName) float64 {
	if known := p.rateLimit.Load(); known != nil && known.instance == string(instance) {
		return known.rate
	}
	return 0
}

// learn keeps what the outcome of a call says of the instance.
func (p *Peer) learn(run *linkrpc.Run, outcome *linkrpc.Outcome) {
	rate := outcome.GetLoad().GetRateLimit()
	if outcome.Fate == linkrpc.Fate_FATE_ANSWERED && rate != p.KnownRateLimit(fleet.InstanceName(run.Instance)) {
		p.rateLimit.Store(&knownLimit{instance: run.Instance, rate: rate})
	}
}

// Target is an instance that a call may be sent to.
type Target struct {
	Entry           directory.Entry
	Peer            *Peer
	OtherDataCentre bool
}

// Update applies a new directory: it adds new nodes, takes removed ones out of the
// choice and replaces the targets. The link to a removed node is closed once nothing
// holds it, unless the node comes back before.
func (p *Peers) Update(snapshot *directory.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers, p.leaving = map[directory.NodeAddress]*Peer{}, map[directory.NodeAddress]*Peer{}
	}
	for address, e := range snapshot.Nodes {
		if p.peers[address] != nil {
			continue
		}
		if peer := p.leaving[address]; peer != nil {
			delete(p.leaving, address)
			p.peers[address] = peer
			continue
		}
		p.peers[address] = p.newPeer(e)
	}
	for address, peer := range p.peers {
		if _, present := snapshot.Nodes[address]; !present && address != p.LocalNode {
			delete(p.peers, address)
			p.leaving[address] = peer
		}
	}
	services := map[fleet.ServiceName][]*Target{}
	for service, entries := range snapshot.Services {
		for _, e := range entries {
			services[service] = append(services[service], &Target{Entry: e, Peer: p.peers[e.Node], OtherDataCentre: e.DataCentre != p.DataCentre})
		}
	}
	p.services.Store(&services)
	p.closeLeaving()
}

// closeLeaving closes the links to removed nodes that nothing holds. The caller holds
// mu.
func (p *Peers) closeLeaving() {
	for address, peer := range p.leaving {
		if peer.holds.CompareAndSwap(0, closedHolds) {
			delete(p.leaving, address)
			peer.link.Close()
		}
	}
}

func (p *Peers) newPeer(entry directory.Entry) *Peer {
	if entry.Node == p.LocalNode {
		return &Peer{Node: entry.Node, gate: p.Gate, noteLeaving: p.NoteLeaving}
	}
	peer := &Peer{Node: entry.Node, noteLeaving: p.NoteLeaving}
	peer.link = &link.Link{Address: string(entry.Node), Clock: p.Clock, Hello: p.Hello, Dial: p.Dial, OnStateChange: func(connected bool, cause error) {
		logger := p.Logger.WithField("peer", entry.Node)
		if connected {
			logger.Info("peer reached")
			return
		}
		peer.avoid(p.Clock.Now(), connectionLossAvoidance)
		logger.WithError(cause).Info("peer lost")
	}}
	return peer
}

// NodeCount returns the number of known nodes, including the local one.
func (p *Peers) NodeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.peers), 1)
}

// Connected reports whether a connection to the node is open.
func (p *Peers) Connected(node directory.NodeAddress) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[node]
	return peer != nil && peer.link != nil && peer.link.Connected()
}

// CheckLiveness checks all connections for unresponsive peers, and closes those to
// removed nodes that nothing holds.
func (p *Peers) CheckLiveness() {
	p.mu.Lock()
	p.closeLeaving()
	links := make([]*link.Link, 0, len(p.peers)+len(p.leaving))
	for _, peers := range []map[directory.NodeAddress]*Peer{p.peers, p.leaving} {
		for _, peer := range peers {
			if peer.link != nil {
				links = append(links, peer.link)
			}
		}
	}
	p.mu.Unlock()
	for _, l := range links {
		l.CheckLiveness()
	}
}

// ReachablePeers returns at most n reachable nodes in random order, without the
// local one.
func (p *Peers) ReachablePeers(n int) []*Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var peers []*Peer
	for _, peer := range p.peers {
		if peer.link != nil && peer.link.Reachable() {
			peers = append(peers, peer)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// ReachablePeer returns another node that is connected or may be dialled now, or nil.
func (p *Peers) ReachablePeer(node directory.NodeAddress) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[node]
	if peer == nil || peer.link == nil || !peer.link.Reachable() {
		return nil
	}
	return peer
}

// ConnectedPeer returns another node to which a connection is open, or nil.
func (p *Peers) ConnectedPeer(node directory.NodeAddress) *Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[node]
	if peer == nil || peer.link == nil || !peer.link.Connected() {
		return nil
	}
	return peer
}

// Targets returns the instances of a service that accept calls. The caller must
// not modify the slice.
func (p *Peers) Targets(service fleet.ServiceName) []*Target {
	services := p.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[service]
}

// Choose returns the target for a call, or nil if there is none. It excludes the
// peers that were tried.
func (p *Peers) Choose(service fleet.ServiceName, tried map[*Peer]bool) *Target {
	targets := p.Targets(service)
	now := p.Clock.Now()
	candidates := make([]balancer.Candidate, 0, len(targets))
	untried := make([]*Target, 0, len(targets))
	fastest := uint32(0)
	for _, t := range targets {
		if tried[t.Peer] || p.departed.has(incarnationOf(t.Entry)) {
			continue
		}
		untried = append(untried, t)
		candidates = append(candidates, t.candidate(now))
		if load := t.Peer.load.Load(); load != nil && load.RunUs > 0 && (fastest == 0 || load.RunUs < fastest) {
			fastest = load.RunUs
		}
	}
	for i, t := range untried {
		if load := t.Peer.load.Load(); load != nil && fastest > 0 {
			candidates[i].Slowdown = float64(load.RunUs) / float64(fastest)
		}
	}
	best := balancer.Choose(candidates, rand.Float64)
	if best < 0 {
		return nil
	}
	return untried[best]
}

func (t *Target) candidate(now time.Time) balancer.Candidate {
	candidate := balancer.Candidate{Limit: t.Entry.Slots, OtherDataCentre: t.OtherDataCentre, InFlight: int(t.Peer.pendingCalls.Load())}
	if load := t.Peer.Load(); load != nil {
		candidate.InFlight = max(candidate.InFlight, int(load.InFlight+load.Queued))
		candidate.RateFullness = float64(load.RateFullness)
		// The limit of a load with a rate limit is not that of its slots.
		if load.Limit > 0 && load.RateLimit == 0 {
			candidate.Limit = int(load.Limit)
		}
		candidate.LastResort = load.Closed
	}
	if t.Peer.link != nil && !t.Peer.link.Reachable() || t.Peer.avoided(now) {
		candidate.LastResort = true
	}
	return candidate
}

// Load returns the last known load of the peer's instance, or nil.
func (p *Peer) Load() *linkrpc.Load {
	if p.gate != nil {
		return p.gate.Load()
	}
	return p.load.Load()
}

func (p *Peer) avoided(now time.Time) bool {
	until := clock.Monotonic(p.avoidUntil.Load())
	return until != 0 && clock.MonotonicOf(now) < until
}

func (p *Peer) avoid(now time.Time, d time.Duration) {
	p.avoidUntil.Store(int64(clock.MonotonicOf(now).Add(d)))
}

// MarkClosed makes the instance a last resort for closedAvoidance, after it
// rejected a call because it accepts none.
func (p *Peer) MarkClosed(now time.Time) { p.avoid(now, closedAvoidance) }

// Hold keeps the link to the peer open until Release, also if the node leaves the
// directory meanwhile. A caller of Run holds the peer until the outcome is known. Hold
// returns false if the link has been closed, so that nothing can be sent; Release must
// not be called then.
func (p *Peer) Hold() bool { return p.holds.Add(1) > 0 }

// Release ends a hold.
func (p *Peer) Release() { p.holds.Add(-1) }

// Run runs a call at the peer and returns its outcome and the incarnation of the
// peer, which is 0 for the local node. It returns the errors of link.Call.
func (p *Peer) Run(ctx context.Context, run *linkrpc.Run) (*linkrpc.Outcome, uint64, error) {
	p.pendingCalls.Add(1)
	defer p.pendingCalls.Add(-1)
	if p.gate != nil {
		return p.runLocally(ctx, run)
	}
	outcome, incarnation, err := p.call(ctx, link.KindRun, run)
	if err == nil {
		p.learn(run, outcome)
	}
	return outcome, incarnation, err
}

// runLocally runs a call at the local gate. The call is cancelled when ctx ends.
func (p *Peer) runLocally(ctx context.Context, run *linkrpc.Run) (*linkrpc.Outcome, uint64, error) {
	outcome := p.gate.Run(ctx, context.Background(), run)
	p.noteLeaving(outcome.Load)
	if outcome.Fate == linkrpc.Fate_FATE_NOT_RUN && ctx.Err() != nil {
		return nil, 0, &link.NotSentError{Cause: ctx.Err()}
	}
	return outcome, 0, ctx.Err()
}

// QueryOutcome queries the outcome of an attempt. It returns the incarnation of
// the peer that answered and the errors of link.Call. The peer must not be the
// local node.
func (p *Peer) QueryOutcome(ctx context.Context, query *linkrpc.Ask) (*linkrpc.Outcome, uint64, error) {
	return p.call(ctx, link.KindAsk, query)
}

func (p *Peer) call(ctx context.Context, kind link.Kind, message proto.Message) (*linkrpc.Outcome, uint64, error) {
	reply, err := p.link.Call(ctx, kind, message)
	if err != nil {
		return nil, reply.Incarnation, err
	}
	outcome := &linkrpc.Outcome{}
	if err := proto.Unmarshal(reply.Payload, outcome); err != nil {
		return nil, reply.Incarnation, &link.ConnectionLostError{Incarnation: reply.Incarnation, Cause: err}
	}
	if outcome.Load != nil {
		p.load.Store(outcome.Load)
		p.noteLeaving(outcome.Load)
	}
	return outcome, reply.Incarnation, nil
}

// Borrow asks the peer for tokens of an organisation and returns the number
// granted. It returns the errors of link.Call, or the error of a grant that cannot
// be decoded; the tokens of such a grant are lost.
func (p *Peer) Borrow(ctx context.Context, organisation fleet.OrganisationID, wanted float64) (float64, error) {
	reply, err := p.link.Call(ctx, link.KindTokenRequest, &linkrpc.TokenRequest{Organisation: string(organisation), Wanted: wanted})
	if err != nil {
		return 0, err
	}
	grant := &linkrpc.TokenGrant{}
	if err := proto.Unmarshal(reply.Payload, grant); err != nil {
		return 0, err
	}
	return grant.Granted, nil
}

// ReadTopic asks the peer for records of a topic that it follows. It returns the errors of
// link.Call, or the error of an answer that cannot be decoded.
func (p *Peer) ReadTopic(ctx context.Context, question *linkrpc.TopicRead) (*linkrpc.TopicRecords, error) {
	reply, err := p.link.Call(ctx, link.KindTopicRead, question)
	if err != nil {
		return nil, err
	}
	answer := &linkrpc.TopicRecords{}
	if err := proto.Unmarshal(reply.Payload, answer); err != nil {
		return nil, err
	}
	return answer, nil
}

// PoolsTokens reports whether the peer is connected and takes gifts of tokens.
func (p *Peer) PoolsTokens() bool { return p.link != nil && p.link.Peer().GetPoolsTokens() }

// PassesReports reports whether the peer is connected and takes reports.
func (p *Peer) PassesReports() bool { return p.link != nil && p.link.Peer().GetPassesReports() }

// GiveTokens sends gifts to the peer. It returns false if nothing was sent.
func (p *Peer) GiveTokens(gifts *linkrpc.TokenGifts) bool {
	return p.link != nil && p.link.Notify(link.KindTokenGifts, gifts)
}

// SendStatus sends the status of this node to the peer. It drops the status if no
// connection is open.
func (p *Peer) SendStatus(status *linkrpc.Status) {
	if p.link != nil {
		_ = p.link.Notify(link.KindStatus, status)
	}
}

// SendReports sends statuses of several nodes to the peer. It drops them if no connection
// is open.
func (p *Peer) SendReports(reports *linkrpc.Reports) {
	if p.link != nil {
		_ = p.link.Notify(link.KindReports, reports)
	}
}

// Connect opens a connection to the peer unless there is one. It does not wait, and reports
// no failure.
func (p *Peer) Connect(ctx context.Context) {
	if p.link != nil && !p.link.Connected() {
		go func() { _ = p.link.Connect(ctx) }()
	}
}

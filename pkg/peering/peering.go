// Package peering keeps the links to the nodes beside all instances and what
// is known of the load there.
package peering

import (
	"context"
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
	// closedAvoidance is how long an instance that handed a call back as closed gets no new ones.
	closedAvoidance = time.Second
	// connectionLossAvoidance is how long an instance whose connection was lost is avoided.
	connectionLossAvoidance = 700 * time.Millisecond
)

// Peers holds a link to each other node, and the way to the own gate. Set the
// exported fields before use.
type Peers struct {
	LocalNode  directory.NodeAddress
	DataCentre fleet.DataCentre
	Clock      clock.Clock
	Logger     *logs.Logger
	Gate       *gate.Gate
	Hello      func() *linkrpc.Hello
	// Dial opens a connection to a peer; nil stands for link.DialTCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu    sync.Mutex
	peers map[directory.NodeAddress]*Peer
	// services is replaced as a whole with each new directory.
	services atomic.Pointer[map[fleet.ServiceName][]*Target]
}

// Peer is another node, or this one.
type Peer struct {
	Node directory.NodeAddress
	// link is nil for this node.
	link *link.Link
	gate *gate.Gate

	// pendingCalls counts calls of this entrance that are there.
	pendingCalls atomic.Int64
	load         atomic.Pointer[linkrpc.Load]
	// avoidUntil is a clock.Monotonic; 0 stands for none.
	avoidUntil atomic.Int64
}

// Target is an instance with the peer beside it.
type Target struct {
	Entry           directory.Entry
	Peer            *Peer
	OtherDataCentre bool
}

// Update takes a new directory.
func (p *Peers) Update(snapshot *directory.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[directory.NodeAddress]*Peer{}
	}
	for address, e := range snapshot.Nodes {
		if peer := p.peers[address]; peer == nil {
			p.peers[address] = p.newPeer(e)
		}
	}
	for address, peer := range p.peers {
		if _, present := snapshot.Nodes[address]; !present && address != p.LocalNode {
			peer.link.Close()
			delete(p.peers, address)
		}
	}
	services := map[fleet.ServiceName][]*Target{}
	for service, entries := range snapshot.Services {
		for _, e := range entries {
			services[service] = append(services[service], &Target{Entry: e, Peer: p.peers[e.Node], OtherDataCentre: e.DataCentre != p.DataCentre})
		}
	}
	p.services.Store(&services)
}

func (p *Peers) newPeer(entry directory.Entry) *Peer {
	if entry.Node == p.LocalNode {
		return &Peer{Node: entry.Node, gate: p.Gate}
	}
	peer := &Peer{Node: entry.Node}
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

// NodeCount returns the number of nodes that are known, this one included.
func (p *Peers) NodeCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.peers), 1)
}

// CheckLiveness looks for links that have gone silent.
func (p *Peers) CheckLiveness() {
	p.mu.Lock()
	links := make([]*link.Link, 0, len(p.peers))
	for _, peer := range p.peers {
		if peer.link != nil {
			links = append(links, peer.link)
		}
	}
	p.mu.Unlock()
	for _, l := range links {
		l.CheckLiveness()
	}
}

// ReachablePeers returns at most n other nodes that can be reached, in random order.
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

// Targets returns the instances of a service that take calls.
func (p *Peers) Targets(service fleet.ServiceName) []*Target {
	services := p.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[service]
}

// Choose returns the place for a call, leaving out those tried; nil where none is left.
func (p *Peers) Choose(service fleet.ServiceName, tried map[*Peer]bool) *Target {
	targets := p.Targets(service)
	now := p.Clock.Now()
	candidates := make([]balancer.Candidate, 0, len(targets))
	untried := make([]*Target, 0, len(targets))
	fastest := uint32(0)
	for _, t := range targets {
		if tried[t.Peer] {
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
		if load.Limit > 0 {
			candidate.Limit = int(load.Limit)
		}
		candidate.LastResort = load.Closed
	}
	if t.Peer.link != nil && !t.Peer.link.Reachable() || t.Peer.avoided(now) {
		candidate.LastResort = true
	}
	return candidate
}

// Load returns the last known load, or nil.
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

// MarkClosed notes that the instance handed a call back because it takes none.
func (p *Peer) MarkClosed(now time.Time) { p.avoid(now, closedAvoidance) }

// Run has the peer run a call. Errors are those of link.Call.
func (p *Peer) Run(ctx context.Context, run *linkrpc.Run) (*linkrpc.Outcome, uint64, error) {
	p.pendingCalls.Add(1)
	defer p.pendingCalls.Add(-1)
	if p.gate != nil {
		return p.runLocally(ctx, run)
	}
	return p.call(ctx, link.KindRun, run)
}

// runLocally runs a call at the own gate. A caller that leaves ends it.
func (p *Peer) runLocally(ctx context.Context, run *linkrpc.Run) (*linkrpc.Outcome, uint64, error) {
	callCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stopWatching := context.AfterFunc(ctx, func() { cancel(&link.CancelledError{}) })
	defer stopWatching()
	outcome := p.gate.Run(callCtx, run)
	return outcome, 0, ctx.Err()
}

// QueryOutcome asks what became of an attempt.
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
	}
	return outcome, reply.Incarnation, nil
}

// Borrow asks the peer for tokens of an organisation. Errors are those of
// link.Call, and those of a grant that cannot be read; its tokens are lost.
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

// SendStatus sends a status to the peer, opening the connection where none stands.
func (p *Peer) SendStatus(ctx context.Context, status *linkrpc.Status) {
	switch {
	case p.link == nil:
	case p.link.Connected():
		p.link.Notify(link.KindStatus, status)
	default:
		go func() {
			if p.link.Connect(ctx) == nil {
				p.link.Notify(link.KindStatus, status)
			}
		}()
	}
}

// Package peering maintains the connections to all other nodes and the last known
// load of their instances, and chooses the instance for a call.
package peering

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/balancer"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/memory"
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
	// Excluded reports whether calls must not be sent to the instances of a data centre; nil
	// excludes none.
	Excluded func(dataCentre fleet.DataCentre) bool
	// OnUnencodable receives the error of each message to a peer that cannot be encoded; nil
	// is allowed.
	OnUnencodable func(error)
	// Replies bounds the memory for large replies of peers; nil means no bound.
	Replies *memory.Budget

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
	peer.link = &link.Link{Address: string(entry.Node), Clock: p.Clock, Hello: p.Hello, Dial: p.Dial, OnUnencodable: p.OnUnencodable, Budget: p.Replies, OnStateChange: func(connected bool, cause error) {
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
// nodes that were tried, also if they have left the directory and come back since, and
// the data centres that allowed reports false for; nil allows all.
func (p *Peers) Choose(service fleet.ServiceName, tried map[directory.NodeAddress]bool, allowed func(dataCentre fleet.DataCentre) bool) *Target {
	untried, candidates := p.candidates(service, tried, allowed)
	best := balancer.Choose(candidates, rand.Float64)
	if best < 0 {
		return nil
	}
	return untried[best]
}

// permits reports whether calls may be sent to a target.
func (p *Peers) permits(t *Target) bool {
	excluded := p.Excluded != nil && p.Excluded(t.Entry.DataCentre)
	return !excluded && !p.departed.has(t.Entry.Incarnation())
}

// HasTarget reports whether Choose can find a target for a service.
func (p *Peers) HasTarget(service fleet.ServiceName) bool {
	return slices.ContainsFunc(p.Targets(service), p.permits)
}

// candidates returns the targets of a service that a call may be sent to, and what is known
// of each.
func (p *Peers) candidates(service fleet.ServiceName, tried map[directory.NodeAddress]bool, allowed func(dataCentre fleet.DataCentre) bool) ([]*Target, []balancer.Candidate) {
	targets := p.Targets(service)
	now := p.Clock.Now()
	candidates := make([]balancer.Candidate, 0, len(targets))
	untried := make([]*Target, 0, len(targets))
	for _, t := range targets {
		if tried[t.Entry.Node] || !p.permits(t) || allowed != nil && !allowed(t.Entry.DataCentre) {
			continue
		}
		untried = append(untried, t)
		candidates = append(candidates, t.candidate(now))
	}
	balancer.CompareSpeeds(candidates)
	return untried, candidates
}

// candidate returns what is known of the target.
func (t *Target) candidate(now time.Time) balancer.Candidate {
	candidate := balancer.Candidate{Limit: t.Entry.Slots, OtherDataCentre: t.OtherDataCentre}
	load := t.Peer.Load()
	t.Peer.applyEstimate(&candidate, load, now)
	if load != nil {
		candidate.Rejected, candidate.Failed = float64(load.RejectedFraction), float64(load.FailedFraction)
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

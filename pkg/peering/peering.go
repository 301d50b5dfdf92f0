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
	// avoidTime is how long an instance that handed a call back as closed gets no new ones.
	avoidTime = time.Second
	// silentTime is how long an instance whose connection was lost is avoided.
	silentTime = 700 * time.Millisecond
)

// Peers holds a link to each other node, and the way to the own gate. Set the
// exported fields before use.
type Peers struct {
	Self       directory.NodeAddress
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
	services atomic.Pointer[map[fleet.ServiceName][]*Place]
}

// Peer is another node, or this one.
type Peer struct {
	Node directory.NodeAddress
	// link is nil for this node.
	link *link.Link
	gate *gate.Gate

	// waiting counts calls of this entrance that are there.
	waiting atomic.Int64
	load    atomic.Pointer[linkrpc.Load]
	// avoidUntil is a clock.Monotonic; 0 stands for none.
	avoidUntil atomic.Int64
}

// Place is an instance with the peer beside it.
type Place struct {
	Entry directory.Entry
	Peer  *Peer
	Far   bool
}

// Update takes a new directory.
func (p *Peers) Update(s *directory.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[directory.NodeAddress]*Peer{}
	}
	for address, e := range s.Nodes {
		if known := p.peers[address]; known == nil {
			p.peers[address] = p.newPeer(e)
		}
	}
	for address, known := range p.peers {
		if _, there := s.Nodes[address]; !there && address != p.Self {
			known.link.Close()
			delete(p.peers, address)
		}
	}
	services := map[fleet.ServiceName][]*Place{}
	for service, entries := range s.Services {
		for _, e := range entries {
			services[service] = append(services[service], &Place{Entry: e, Peer: p.peers[e.Node], Far: e.DataCentre != p.DataCentre})
		}
	}
	p.services.Store(&services)
}

func (p *Peers) newPeer(e directory.Entry) *Peer {
	if e.Node == p.Self {
		return &Peer{Node: e.Node, gate: p.Gate}
	}
	peer := &Peer{Node: e.Node}
	peer.link = &link.Link{Address: string(e.Node), Clock: p.Clock, Hello: p.Hello, Dial: p.Dial, OnStateChange: func(up bool, cause error) {
		line := p.Logger.WithField("peer", e.Node)
		if up {
			line.Info("peer reached")
			return
		}
		peer.avoid(p.Clock.Now(), silentTime)
		line.WithError(cause).Info("peer lost")
	}}
	return peer
}

// Count returns the number of nodes that are known, this one included.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(len(p.peers), 1)
}

// Check looks for links that have gone silent.
func (p *Peers) Check() {
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

// Others returns at most n other nodes that can be reached, in random order.
func (p *Peers) Others(n int) []*Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Peer
	for _, peer := range p.peers {
		if peer.link != nil && peer.link.Reachable() {
			list = append(list, peer)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// Places returns the instances of a service that take calls.
func (p *Peers) Places(service fleet.ServiceName) []*Place {
	services := p.services.Load()
	if services == nil {
		return nil
	}
	return (*services)[service]
}

// Choose returns the place for a call, leaving out those tried; nil where none is left.
func (p *Peers) Choose(service fleet.ServiceName, tried map[*Peer]bool) *Place {
	places := p.Places(service)
	now := p.Clock.Now()
	candidates := make([]balancer.Candidate, 0, len(places))
	kept := make([]*Place, 0, len(places))
	fastest := uint32(0)
	for _, l := range places {
		if tried[l.Peer] {
			continue
		}
		kept = append(kept, l)
		candidates = append(candidates, l.candidate(now))
		if load := l.Peer.load.Load(); load != nil && load.RunUs > 0 && (fastest == 0 || load.RunUs < fastest) {
			fastest = load.RunUs
		}
	}
	for i, l := range kept {
		if load := l.Peer.load.Load(); load != nil && fastest > 0 {
			candidates[i].Slowdown = float64(load.RunUs) / float64(fastest)
		}
	}
	best := balancer.Choose(candidates, rand.Float64)
	if best < 0 {
		return nil
	}
	return kept[best]
}

func (l *Place) candidate(now time.Time) balancer.Candidate {
	c := balancer.Candidate{Limit: l.Entry.Slots, OtherDataCentre: l.Far, InFlight: int(l.Peer.waiting.Load())}
	if load := l.Peer.Load(); load != nil {
		c.InFlight = max(c.InFlight, int(load.InFlight+load.Queued))
		if load.Limit > 0 {
			c.Limit = int(load.Limit)
		}
		c.LastResort = load.Closed
	}
	if l.Peer.link != nil && !l.Peer.link.Reachable() || l.Peer.avoided(now) {
		c.LastResort = true
	}
	return c
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

// Closed notes that the instance handed a call back because it takes none.
func (p *Peer) Closed(now time.Time) { p.avoid(now, avoidTime) }

// Run has the peer run a call. Errors are those of link.Call.
func (p *Peer) Run(ctx context.Context, run *linkrpc.Run) (*linkrpc.Outcome, uint64, error) {
	p.waiting.Add(1)
	defer p.waiting.Add(-1)
	if p.gate != nil {
		return p.runHere(ctx, run)
	}
	return p.call(ctx, link.KindRun, run)
}

// runHere runs a call at the own gate. A caller that leaves ends it.
func (p *Peer) runHere(ctx context.Context, run *linkrpc.Run) (*linkrpc.Outcome, uint64, error) {
	work, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { cancel(&link.CancelledError{}) })
	defer stop()
	outcome := p.gate.Run(work, run)
	return outcome, 0, ctx.Err()
}

// Ask asks what became of an attempt.
func (p *Peer) Ask(ctx context.Context, ask *linkrpc.Ask) (*linkrpc.Outcome, uint64, error) {
	return p.call(ctx, link.KindAsk, ask)
}

func (p *Peer) call(ctx context.Context, kind link.Kind, message proto.Message) (*linkrpc.Outcome, uint64, error) {
	reply, err := p.link.Call(ctx, kind, message)
	if err != nil {
		return nil, reply.Incarnation, err
	}
	o := &linkrpc.Outcome{}
	if err := proto.Unmarshal(reply.Payload, o); err != nil {
		return nil, reply.Incarnation, &link.ConnectionLostError{Incarnation: reply.Incarnation, Cause: err}
	}
	if o.Load != nil {
		p.load.Store(o.Load)
	}
	return o, reply.Incarnation, nil
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

// Tell sends a status to the peer, opening the connection where none stands.
func (p *Peer) Tell(ctx context.Context, status *linkrpc.Status) {
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

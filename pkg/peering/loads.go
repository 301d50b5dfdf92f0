package peering

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/balancer"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// statusLag is how old the load in a status may be that other nodes passed on. A load that
// came with an outcome since is newer.
const statusLag = 250 * time.Millisecond

// NoteStatus takes over the load in a status of a node. Without it an entrance that sends
// few calls would not see that an instance has filled, or that an outlier has recovered.
func (p *Peers) NoteStatus(node directory.NodeAddress, load *linkrpc.Load) {
	if load == nil {
		return
	}
	p.mu.Lock()
	peer := p.peers[node]
	p.mu.Unlock()
	if peer == nil || peer.link == nil {
		return
	}
	now := p.Clock.Now()
	if known := peer.estimate.Load(); known == nil || now.Sub(known.At) >= statusLag {
		peer.noteLoad(now, load, peer.pendingCalls.Load())
	}
}

// noteLoad keeps a report of the load of the peer's instance, which was received while
// pending calls had no outcome yet.
func (p *Peer) noteLoad(now time.Time, load *linkrpc.Load, pending int64) {
	p.load.Store(load)
	var known balancer.Estimate
	if e := p.estimate.Load(); e != nil {
		known = *e
	}
	// Two reports at once may leave out one of them, which the next makes up for.
	updated := known.Updated(now, int(load.InFlight+load.Queued), time.Duration(load.RunUs)*time.Microsecond, pending)
	p.estimate.Store(&updated)
}

// applyEstimate sets how many calls run or wait at the instance, and its run time. The load
// of the local gate is exact.
func (p *Peer) applyEstimate(c *balancer.Candidate, load *linkrpc.Load, now time.Time) {
	pending := p.pendingCalls.Load()
	if p.gate != nil {
		c.InFlight, c.RunTime = max(float64(pending), float64(load.InFlight+load.Queued)), time.Duration(load.RunUs)*time.Microsecond
		return
	}
	c.InFlight, c.Staleness = float64(pending), 1
	if e := p.estimate.Load(); e != nil {
		c.InFlight, c.Staleness = e.InFlight(now, pending)
		c.RunTime = e.RunTime
	}
}

// Outliers returns the instances of all services that get probe traffic only.
func (p *Peers) Outliers() []*Target {
	services := p.services.Load()
	if services == nil {
		return nil
	}
	var outliers []*Target
	for service := range *services {
		targets, candidates := p.candidates(service, nil, nil)
		for _, i := range balancer.Outliers(candidates) {
			outliers = append(outliers, targets[i])
		}
	}
	return outliers
}

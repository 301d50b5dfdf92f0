package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/balancer"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

// statusLag is the time after a response in which the load of a status is ignored.
const statusLag = 250 * time.Millisecond

// startCall sends a call to an instance. c.onEnd is called once, at the latest
// when the call expires.
func (f *Fleet) startCall(c *call) {
	c.stopTimer = f.after(c.expires-f.now, func() { f.endCall(c, outcomeFailed) })
	f.earnRetries(c)
	f.dispatch(c)
}

// endCall ends a call with the given outcome: it removes the call from its queue
// and aborts its execution, if any. It does nothing if the call has already ended.
func (f *Fleet) endCall(c *call, outcome callOutcome) {
	if c.ended {
		return
	}
	c.ended = true
	c.stopTimer()
	if c.target != nil {
		c.origin.callsInFlight[c.target]--
	}
	if c.waiter != nil {
		c.target.queue.Remove(c.waiter)
	}
	if c.execution != nil {
		f.releaseSlot(c, 0)
	}
	c.onEnd(outcome)
}

// dispatch sends a call to the best instance that it has not been sent to before.
// If there is none, the call ends as refused.
func (f *Fleet) dispatch(c *call) {
	n := f.chooseInstance(c)
	if n == nil {
		f.endCall(c, outcomeRefused)
		return
	}
	c.tried[n], c.target = true, n
	c.origin.callsInFlight[n]++
	f.after(f.latency(c.origin, n), func() {
		if !c.ended {
			f.offer(c, n)
		}
	})
}

// latency returns the one-way latency between two nodes, or between a node and its
// local instance.
func (f *Fleet) latency(a, b *Node) time.Duration {
	if a == b {
		return 0
	}
	return nodeLatency
}

// chooseInstance returns the best instance for a call that it has not been sent to
// before. It returns nil if there is none, or after maxTargets instances.
func (f *Fleet) chooseInstance(c *call) *Node {
	if len(c.tried) >= maxTargets {
		return nil
	}
	var untried []*Node
	var candidates []balancer.Candidate
	for _, n := range f.nodesByService[c.class.Service] {
		if c.tried[n] {
			continue
		}
		untried = append(untried, n)
		candidates = append(candidates, c.origin.candidate(f.Now(), n))
	}
	balancer.CompareSpeeds(candidates)
	if best := balancer.Choose(candidates, f.random.Float64); best >= 0 {
		return untried[best]
	}
	return nil
}

// peerLoad is what a node knows of the load of another one.
type peerLoad struct {
	limit    int
	estimate balancer.Estimate
}

// noteLoad takes over the load that came with the response of node o to a call.
func (n *Node) noteLoad(now time.Time, c *call, o *Node, load waitqueue.Load) {
	pending := int64(n.callsInFlight[o])
	if !c.ended {
		pending-- // the call still counts
	}
	n.updateEstimate(now, o, load, pending)
}

// noteStatus takes over the load of node o from a status of it, unless a response brought
// one shortly before, as the product does.
func (n *Node) noteStatus(now time.Time, o *Node) {
	if now.Sub(n.peerLoads[o].estimate.At) >= statusLag {
		n.updateEstimate(now, o, o.queue.Load(), int64(n.callsInFlight[o]))
	}
}

func (n *Node) updateEstimate(now time.Time, o *Node, load waitqueue.Load, pending int64) {
	known := n.peerLoads[o].estimate
	n.peerLoads[o] = peerLoad{limit: load.Limit, estimate: known.Updated(now, load.InFlight+load.Queued, load.MeanSlotTime, pending)}
}

// candidate returns what node n knows of node o: the current load if it is n itself,
// otherwise what follows from the last reports.
func (n *Node) candidate(now time.Time, o *Node) balancer.Candidate {
	c := balancer.Candidate{InFlight: float64(n.callsInFlight[o]), Limit: o.Service.Slots, OtherDataCentre: o.DataCentre != n.DataCentre, Staleness: 1}
	if n == o {
		load := o.queue.Load()
		c.InFlight, c.Limit, c.RunTime, c.Staleness = max(c.InFlight, float64(load.InFlight+load.Queued)), load.Limit, load.MeanSlotTime, 0
	} else if known, found := n.peerLoads[o]; found {
		c.InFlight, c.Staleness = known.estimate.InFlight(now, int64(n.callsInFlight[o]))
		c.Limit, c.RunTime = known.limit, known.estimate.RunTime
	}
	return c
}

// redispatch dispatches a call again that node n did not accept, once the response
// of n, which includes its load, has reached the caller.
func (f *Fleet) redispatch(c *call, n *Node) {
	load := n.queue.Load()
	f.after(f.latency(c.origin, n), func() {
		c.origin.noteLoad(f.Now(), c, n, load)
		if c.ended {
			return
		}
		c.origin.callsInFlight[n]--
		c.target = nil
		f.dispatch(c)
	})
}

// offer requests a slot at node n for a call. A call that gets none within its
// max wait is dispatched again.
func (f *Fleet) offer(c *call, n *Node) {
	if f.hooks.AcceptCall != nil && !f.hooks.AcceptCall(n, c.class, c.request) {
		f.redispatch(c, n)
		return
	}
	maxWait := childMaxWait
	if !c.isChild {
		maxWait = c.class.TargetLatency / maxWaitDivisor
	}
	arrived := f.now
	w, verdict := n.queue.Acquire(waitqueue.RankOf(f.Now(), maxWait, uint32(c.priority)), maxWait)
	switch verdict {
	case waitqueue.VerdictAdmitted:
		f.startExecution(c, n, 0)
	case waitqueue.VerdictQueued:
		c.waiter = w
		w.Notify = func(bool) {
			c.waiter = nil
			f.startExecution(c, n, f.now-arrived)
		}
		f.after(maxWait, func() {
			if c.waiter == w && n.queue.Remove(w) {
				c.waiter = nil
				n.recordWait(maxWait)
				f.redispatch(c, n)
			}
		})
	default:
		n.recordWait(maxWait)
		f.redispatch(c, n)
	}
}

// recordWait adds the wait of one call. A call that is refused a slot counts with
// its max wait.
func (n *Node) recordWait(d time.Duration) {
	n.waitSum += d
	n.waitCount++
}

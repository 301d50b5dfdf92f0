package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/balancer"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

// startCall sends a call to an instance. c.onEnd is called once, at the latest
// when the call expires.
func (f *Fleet) startCall(c *call) {
	c.stopTimer = f.after(c.expires-f.now, func() { f.endCall(c, outcomeFailed) })
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
	fastest := time.Duration(0)
	for _, n := range f.nodesByService[c.class.Service] {
		if c.tried[n] {
			continue
		}
		load := f.knownLoad(c.origin, n)
		if load.MeanSlotTime > 0 && (fastest == 0 || load.MeanSlotTime < fastest) {
			fastest = load.MeanSlotTime
		}
		untried = append(untried, n)
		candidates = append(candidates, balancer.Candidate{
			InFlight: max(c.origin.callsInFlight[n], load.InFlight+load.Queued), Limit: load.Limit, OtherDataCentre: n.DataCentre != c.origin.DataCentre, Slowdown: load.MeanSlotTime.Seconds(), RateFullness: load.rateFullness,
		})
	}
	for i := range candidates {
		if fastest > 0 {
			candidates[i].Slowdown /= fastest.Seconds()
		}
	}
	if best := balancer.Choose(candidates, f.random.Float64); best >= 0 {
		return untried[best]
	}
	return nil
}

// knownLoad returns the load of node o as node n knows it: the current load
// if it is n itself, otherwise the last reported load, or an empty one before the
// first report.
func (f *Fleet) knownLoad(n, o *Node) pacedLoad {
	if n == o {
		return f.loadOf(o)
	}
	if load, known := n.peerLoads[o]; known {
		return load
	}
	return pacedLoad{Load: waitqueue.Load{Limit: o.Service.Slots}}
}

// redispatch dispatches a call again that node n did not accept, once the response
// of n, which includes its load, has reached the caller.
func (f *Fleet) redispatch(c *call, n *Node) {
	load := f.loadOf(n)
	f.after(f.latency(c.origin, n), func() {
		c.origin.peerLoads[n] = load
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
	enqueue := func(maxWait time.Duration) { f.enqueue(c, n, arrived, maxWait) }
	if !f.awaitTime(c, n, maxWait, enqueue) {
		n.recordWait(maxWait)
		f.redispatch(c, n)
	}
}

// enqueue requests a slot at node n for a call that arrived there earlier and can still wait
// for maxWait.
func (f *Fleet) enqueue(c *call, n *Node, arrived, maxWait time.Duration) {
	w, verdict := n.queue.Acquire(waitqueue.RankOf(f.Now(), maxWait, uint32(c.class.Priority)), maxWait)
	switch verdict {
	case waitqueue.VerdictAdmitted:
		f.startExecution(c, n, f.now-arrived)
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

package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/balancer"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

// startCall has a call run; ended is told once.
func (f *Fleet) startCall(c *call) {
	c.stopTimer = f.after(c.expires-f.now, func() { f.endCall(c, outcomeFailed) })
	f.dispatch(c)
}

// endCall settles a call and ends whatever still runs for it.
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

// dispatch offers a call to the best instance that has not had it yet.
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

func (f *Fleet) latency(a, b *Node) time.Duration {
	if a == b {
		return 0
	}
	return nodeLatency
}

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
		load := c.origin.knownLoad(n)
		if load.MeanSlotTime > 0 && (fastest == 0 || load.MeanSlotTime < fastest) {
			fastest = load.MeanSlotTime
		}
		untried = append(untried, n)
		candidates = append(candidates, balancer.Candidate{
			InFlight: max(c.origin.callsInFlight[n], load.InFlight+load.Queued), Limit: load.Limit, OtherDataCentre: n.DataCentre != c.origin.DataCentre, Slowdown: load.MeanSlotTime.Seconds(),
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

// knownLoad returns what a node knows of another one.
func (n *Node) knownLoad(o *Node) waitqueue.Load {
	if n == o {
		return o.queue.Load()
	}
	if load, known := n.peerLoads[o]; known {
		return load
	}
	return waitqueue.Load{Limit: o.Service.Slots}
}

// redispatch places a call elsewhere that an instance did not take.
func (f *Fleet) redispatch(c *call, n *Node) {
	load := n.queue.Load()
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

// offer asks for a slot.
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
	w, verdict := n.queue.Acquire(waitqueue.RankOf(f.Now(), maxWait, uint32(c.class.Priority)), maxWait)
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

// recordWait counts how long a call waited, whether it got its slot or not.
func (n *Node) recordWait(d time.Duration) {
	n.waitSum += d
	n.waitCount++
}

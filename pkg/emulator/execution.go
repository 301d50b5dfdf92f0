package emulator

import (
	"math"
	"time"

	"github.com/plantainramp/plantainramp/pkg/slowstart"
)

// startExecution executes a call that has a slot: half of its work, then its
// child calls, then the other half.
func (f *Fleet) startExecution(c *call, n *Node, waited time.Duration) {
	n.recordWait(waited)
	x := &execution{node: n, startedAt: f.now}
	c.execution = x
	if f.hooks.OnStart != nil {
		x.onEnd = f.hooks.OnStart(n, c.class, c.expires)
	}
	work := f.drawWorkTime(c.class, n)
	if work == 0 {
		f.failExecution(c)
		return
	}
	half := work / 2
	x.stopTimer = f.after(half, func() {
		f.startChildren(c, func() {
			x.stopTimer = f.after(half, func() { f.finishExecution(c) })
		})
	})
}

// failExecution ends an execution that fails at once, and sends the response.
func (f *Fleet) failExecution(c *call) {
	n, origin := c.execution.node, c.origin
	c.execution.stopTimer = func() {}
	n.pace.controller.Observe(f.Now(), slowstart.Sample{Outcome: slowstart.OutcomeFailed})
	f.releaseSlot(c, 0)
	f.after(f.latency(origin, n), func() { f.endCall(c, outcomeFailed) })
}

// drawWorkTime returns a random work time for one execution of a class at node n
// now. It has a log-normal distribution.
func (f *Fleet) drawWorkTime(c *Class, n *Node) time.Duration {
	v := n.Service
	sigma := math.Sqrt(math.Log1p(c.Spread * c.Spread))
	factor := math.Exp(sigma*f.random.NormFloat64()-sigma*sigma/2) * v.WorkFactors[n.serviceIndex%len(v.WorkFactors)] * f.Load.workFactor(f.now, v, n.serviceIndex)
	if v.KneeFraction > 0 && float64(n.queue.Load().InFlight) > v.KneeFraction*float64(v.Slots) {
		factor *= v.KneeFactor
	}
	factor *= f.Load.coldFactor(f.now, v, n.serviceIndex, n.queue.Load().InFlight)
	return time.Duration(factor * float64(c.Work))
}

// startChildren makes the child calls of an execution, in parallel or one after
// the other, and calls onSuccess when all of them have succeeded.
func (f *Fleet) startChildren(c *call, onSuccess func()) {
	var children []*Class
	for _, child := range c.class.Calls {
		for range child.Count {
			children = append(children, f.classByName[child.Class])
		}
	}
	if len(children) == 0 {
		onSuccess()
		return
	}
	x := c.execution
	x.pendingChildren = len(children)
	var start func(i int)
	start = func(i int) {
		f.startChild(c, children[i], func() {
			if x.pendingChildren--; x.pendingChildren == 0 {
				onSuccess()
			} else if !c.class.Parallel {
				start(i + 1)
			}
		})
	}
	if !c.class.Parallel {
		start(0)
		return
	}
	for i := range children {
		if c.ended {
			return
		}
		start(i)
	}
}

// startChild makes one child call. If it does not succeed, c fails.
func (f *Fleet) startChild(c *call, class *Class, onSuccess func()) {
	child := &call{
		class: class, request: c.request, isChild: true, expires: min(c.expires, f.now+class.Timeout), origin: c.execution.node, tried: map[*Node]bool{}, slotTime: c.slotTime,
	}
	child.onEnd = func(outcome callOutcome) {
		switch {
		case c.ended:
		case outcome == outcomeSucceeded:
			onSuccess()
		default:
			f.endCall(c, outcomeFailed)
		}
	}
	if f.hooks.OnCall != nil {
		f.hooks.OnCall(c.execution.node, class, child.expires)
	}
	c.execution.children = append(c.execution.children, child)
	f.startCall(child)
}

// finishExecution ends a successful execution and sends the response.
func (f *Fleet) finishExecution(c *call) {
	n := c.execution.node
	held := f.now - c.execution.startedAt
	f.releaseSlot(c, held)
	if f.hooks.OnFinish != nil {
		f.hooks.OnFinish(n, c.class, held)
	}
	load := f.loadOf(n)
	origin := c.origin
	f.after(f.latency(origin, n), func() {
		origin.peerLoads[n] = load
		f.endCall(c, outcomeSucceeded)
	})
}

// releaseSlot ends the execution of a call, releases its slot and aborts its
// child calls. held is the time that a successful execution held the slot, and 0
// for an aborted one.
func (f *Fleet) releaseSlot(c *call, held time.Duration) {
	x := c.execution
	c.execution = nil
	c.slotTime.add(x.node.Service.Name, f.now-x.startedAt)
	if held > 0 || f.now >= c.expires {
		x.node.pace.controller.Observe(f.Now(), slowstart.Sample{RunTime: f.now - x.startedAt})
	}
	x.stopTimer()
	if x.onEnd != nil {
		x.onEnd()
	}
	for _, child := range x.children {
		f.endCall(child, outcomeFailed)
	}
	x.node.queue.Release(held)
}

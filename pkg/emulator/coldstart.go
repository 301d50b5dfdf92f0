package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/pacing"
	"github.com/plantainramp/plantainramp/pkg/slowstart"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

type (
	// ColdStart makes instances of a service cold: calls that start while more than
	// SlotFraction of the slots are in use take Factor times as long, or fail at once if Factor
	// is 0.
	ColdStart struct {
		Window
		Service fleet.ServiceName
		// InstanceFraction of the instances, but at least one, are cold.
		InstanceFraction, SlotFraction, Factor float64
	}

	// pacedLoad is the load of a node as others learn it.
	pacedLoad struct {
		waitqueue.Load
		rateFullness float64
	}

	// pace is the learned rate of the instance of a node, as its gate keeps it.
	pace struct {
		controller slowstart.Controller
		pacer      pacing.Pacer
		// waiting is the number of calls that wait for their time.
		waiting int
	}
)

// affects reports whether the instance of v with the given index is cold at time t.
func (s *ColdStart) affects(t time.Duration, v *Service, index int) bool {
	return s.contains(t) && s.Service == v.Name && index < max(1, int(s.InstanceFraction*float64(v.Instances)))
}

// coldFactor returns the multiple of the usual work time of a call that starts at time t at an
// instance that runs inFlight calls, or 0 if the call fails at once.
func (l *Load) coldFactor(t time.Duration, v *Service, index, inFlight int) float64 {
	factor := 1.0
	for _, s := range l.ColdStarts {
		if s.affects(t, v, index) && float64(inFlight) > s.SlotFraction*float64(v.Slots) {
			factor *= s.Factor
		}
	}
	return factor
}

// scheduleSlowStarts begins a slow start at each instance that becomes cold, if the load has
// them.
func (f *Fleet) scheduleSlowStarts() {
	if !f.Load.SlowStart {
		return
	}
	for _, s := range f.Load.ColdStarts {
		f.after(s.From, func() {
			for _, n := range f.Nodes {
				if s.affects(f.now, n.Service, n.serviceIndex) {
					load := n.queue.Load()
					n.pace.controller.Begin(f.Now(), load.Limit, load.MeanSlotTime)
				}
			}
		})
	}
}

// refresh sets the pacer to the learned rate.
func (p *pace) refresh(now time.Time) {
	if rate := p.controller.Rate(now); rate > 0 {
		p.pacer.Limit(rate)
	} else {
		p.pacer.Unlimit()
	}
}

// loadOf returns the present load of a node. Its limit stays that of the slots, as the product
// places calls of a paced instance by the rate.
func (f *Fleet) loadOf(n *Node) pacedLoad {
	load := pacedLoad{Load: n.queue.Load(), rateFullness: n.pace.pacer.Fullness(f.Now())}
	load.Queued += n.pace.waiting
	return load
}

// awaitTime calls enqueue once the learned rate of node n permits the call, with the rest of
// maxWait. It reports whether that is within maxWait.
func (f *Fleet) awaitTime(c *call, n *Node, maxWait time.Duration, enqueue func(maxWait time.Duration)) bool {
	n.pace.refresh(f.Now())
	wait, reserved := n.pace.pacer.Reserve(f.Now(), maxWait)
	if !reserved || wait == 0 {
		if reserved {
			enqueue(maxWait)
		}
		return reserved
	}
	n.pace.waiting++
	f.after(wait, func() {
		n.pace.waiting--
		if c.ended {
			n.pace.pacer.Return()
			return
		}
		enqueue(maxWait - wait)
	})
	return true
}

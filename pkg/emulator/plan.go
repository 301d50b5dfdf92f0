package emulator

import (
	"fmt"
	"time"

	"github.com/plantainramp/plantainramp/pkg/demand"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// planStrategy is the product's own strategy: each node learns costs and load from
// the reports of all nodes and makes its own plan.
type planStrategy struct {
	fleet    *Fleet
	monitors []*demand.Monitor
	view     *routing.View
	snapshot *directory.Snapshot
	// generation counts the resets. It identifies scheduled ticks of discarded
	// monitors.
	generation int
}

func newPlanStrategy(f *Fleet) Hooks {
	p := &planStrategy{fleet: f, snapshot: &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{}}}
	builder := routing.NewBuilder(1, routing.Limits{})
	for _, c := range f.CallGraph.Classes {
		builder.AddRoute(&routing.Route{Name: c.Name, Host: string(c.Name), Prefix: "/", Priority: c.Priority, TargetLatency: c.TargetLatency, Targets: []routing.Target{{Service: c.Service, Weight: 1}}})
	}
	p.view = builder.Build()
	for _, n := range f.Nodes {
		e := directory.Entry{Node: n.address(), Instance: fleet.InstanceName(n.address()), Service: n.Service.Name, Slots: n.Service.Slots, Open: true}
		p.snapshot.Nodes[e.Node] = e
		p.snapshot.Services[e.Service] = append(p.snapshot.Services[e.Service], e)
	}
	p.reset()
	return Hooks{Admit: p.admit, OnArrival: p.observeArrival, OnCall: p.observeCall, OnStart: p.observeStart, OnFinish: p.observeFinish, OnRestart: p.reset}
}

func (n *Node) address() directory.NodeAddress {
	return directory.NodeAddress(fmt.Sprintf("node-%d", n.Number))
}

// reset replaces the monitors of all nodes by empty ones and starts their ticks.
func (p *planStrategy) reset() {
	p.generation++
	generation := p.generation
	p.monitors = nil
	for i, n := range p.fleet.Nodes {
		p.monitors = append(p.monitors, &demand.Monitor{
			Clock: &p.fleet.scheduler, LocalNode: n.address(), Service: n.Service.Name, Load: n.loadReport, RandomUnit: p.fleet.random.Float64,
			View: func() *routing.View { return p.view }, Directory: func() *directory.Snapshot { return p.snapshot },
		})
		p.scheduleTick(generation, i, time.Duration(p.fleet.random.Float64()*float64(demand.PlanInterval)))
	}
}

// scheduleTick makes the i-th node update its plan and send its report after
// delay, and then every demand.PlanInterval.
func (p *planStrategy) scheduleTick(generation, i int, delay time.Duration) {
	p.fleet.after(delay, func() {
		if generation != p.generation {
			return
		}
		if status := p.monitors[i].Tick(); status != nil {
			for j, m := range p.monitors {
				if j != i {
					m.HandleStatus(status)
				}
			}
		}
		p.scheduleTick(generation, i, demand.PlanInterval)
	})
}

// loadReport returns the load in the form that is sent to peers.
func (n *Node) loadReport() *linkrpc.Load {
	l := n.queue.Load()
	limit := n.pace.pacer.Concurrency(l.Limit, l.MeanSlotTime)
	return &linkrpc.Load{InFlight: uint32(l.InFlight), Limit: uint32(limit), Queued: uint32(l.Queued + n.pace.waiting), RunUs: uint32(l.MeanSlotTime.Microseconds())}
}

func (p *planStrategy) admit(n *Node, c *Class, _ uint64, remaining time.Duration) (bool, time.Duration) {
	admitted, fraction := p.monitors[n.Number].Admit(c.Name)
	return admitted, shedding.RetryAfter(fraction, remaining, p.fleet.random.Float64())
}

func (p *planStrategy) observeArrival(n *Node, c *Class) { p.monitors[n.Number].ObserveArrival(c.Name) }

func (p *planStrategy) observeCall(n *Node, c *Class, expires time.Duration) {
	p.monitors[n.Number].ObserveCall(c.Name, epoch.Add(expires))
}

func (p *planStrategy) observeStart(n *Node, c *Class, expires time.Duration) func() {
	m := p.monitors[n.Number]
	execution := m.ObserveStart(c.Name, epoch.Add(expires))
	return func() { m.ObserveEnd(execution) }
}

func (p *planStrategy) observeFinish(n *Node, c *Class, held time.Duration) {
	p.monitors[n.Number].ObserveSlotTime(c.Name, held)
}

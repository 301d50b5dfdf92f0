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

// plan is the product's way: each node learns costs and load from all nodes'
// reports and plans for itself.
type plan struct {
	fleet    *Fleet
	surveys  []*demand.Monitor
	view     *routing.View
	snapshot *directory.Snapshot
	// generation tells late ticks of forgotten surveys from those in force.
	generation int
}

func newPlan(f *Fleet) Decisions {
	p := &plan{fleet: f, snapshot: &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{}}}
	builder := routing.NewBuilder(1, routing.Limits{})
	for _, c := range f.Shape.Classes {
		builder.AddRoute(&routing.Route{Name: c.Name, Host: string(c.Name), Prefix: "/", Priority: c.Priority, TargetLatency: c.Target, Targets: []routing.Target{{Service: c.Service, Weight: 1}}})
	}
	p.view = builder.Build()
	for _, n := range f.Nodes {
		e := directory.Entry{Node: n.address(), Instance: fleet.InstanceName(n.address()), Service: n.Service.Name, Slots: n.Service.Slots, Open: true}
		p.snapshot.Nodes[e.Node] = e
		p.snapshot.Services[e.Service] = append(p.snapshot.Services[e.Service], e)
	}
	p.start()
	return Decisions{Admit: p.admit, Arrived: p.arrived, Called: p.called, Started: p.started, Ran: p.ran, Restart: p.start}
}

func (n *Node) address() directory.NodeAddress {
	return directory.NodeAddress(fmt.Sprintf("node-%d", n.Number))
}

// start gives every node an empty survey.
func (p *plan) start() {
	p.generation++
	generation := p.generation
	p.surveys = nil
	for i, n := range p.fleet.Nodes {
		p.surveys = append(p.surveys, &demand.Monitor{
			Clock: &p.fleet.timeline, LocalNode: n.address(), Service: n.Service.Name, Load: n.report, RandomUnit: p.fleet.random.Float64,
			View: func() *routing.View { return p.view }, Directory: func() *directory.Snapshot { return p.snapshot },
		})
		p.after(generation, i, time.Duration(p.fleet.random.Float64()*float64(demand.PlanInterval)))
	}
}

// after has a node renew its plan and report, again and again.
func (p *plan) after(generation, i int, pause time.Duration) {
	p.fleet.after(pause, func() {
		if generation != p.generation {
			return
		}
		if status := p.surveys[i].Tick(); status != nil {
			for j, s := range p.surveys {
				if j != i {
					s.HandleStatus(status)
				}
			}
		}
		p.after(generation, i, demand.PlanInterval)
	})
}

// report is the load in the form that peers read.
func (n *Node) report() *linkrpc.Load {
	l := n.line.Load()
	return &linkrpc.Load{InFlight: uint32(l.InFlight), Limit: uint32(l.Limit), Queued: uint32(l.Queued), RunUs: uint32(l.MeanSlotTime.Microseconds())}
}

func (p *plan) admit(n *Node, c *Class, _ uint64, left time.Duration) (bool, time.Duration) {
	admitted, part := p.surveys[n.Number].Admit(c.Name)
	return admitted, shedding.RetryAfter(part, left, p.fleet.random.Float64())
}

func (p *plan) arrived(n *Node, c *Class) { p.surveys[n.Number].ObserveArrival(c.Name) }

func (p *plan) called(n *Node, c *Class, expires time.Duration) {
	p.surveys[n.Number].ObserveCall(c.Name, epoch.Add(expires))
}

func (p *plan) started(n *Node, c *Class, expires time.Duration) func() {
	s := p.surveys[n.Number]
	run := s.ObserveStart(c.Name, epoch.Add(expires))
	return func() { s.ObserveEnd(run) }
}

func (p *plan) ran(n *Node, c *Class, held time.Duration) {
	p.surveys[n.Number].ObserveSlotTime(c.Name, held)
}

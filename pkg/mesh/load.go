package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/callgraph"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/demand"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// executionCounter counts the executions in progress on the local instance, and those
// among them that repeat an earlier attempt. Its zero value is ready to use, and its
// methods are safe for concurrent use.
type executionCounter struct {
	total, repeated atomic.Int64
}

func (c *executionCounter) started(call *linkrpc.Run) {
	c.total.Add(1)
	if call.Repeat {
		c.repeated.Add(1)
	}
}

func (c *executionCounter) ended(call *linkrpc.Run) {
	c.total.Add(-1)
	if call.Repeat {
		c.repeated.Add(-1)
	}
}

// repeatedFraction returns the fraction of the executions in progress that repeat an
// earlier attempt.
func (c *executionCounter) repeatedFraction() float64 {
	total := c.total.Load()
	if total <= 0 {
		return 0
	}
	return float64(c.repeated.Load()) / float64(total)
}

func (n *Node) onExecutionStarted(call *linkrpc.Run, expires time.Time) func() {
	n.executions.started(call)
	execution := n.demand.ObserveRun(callgraph.Run{Route: routing.RouteName(call.Route), Expires: expires, Priority: call.Priority, Repeat: call.Repeat})
	return func() {
		n.demand.ObserveEnd(execution)
		n.executions.ended(call)
	}
}

func (n *Node) onArrived(r *entrance.Request) {
	if r.Inner {
		n.gate.Outgoing.Begin(r, r.Arrived)
		r.Caller = n.demand.ObserveCall(r.Route.Name, r.Expires)
	} else {
		n.demand.ObserveArrival(r.Route.Name)
	}
}

func (n *Node) admit(r *entrance.Request) (bool, float64) { return n.demand.Admit(r.Route.Name) }

// runPlanner updates the admission plan and sends the local load to the peers every
// demand.PlanInterval, until ctx ends.
func (n *Node) runPlanner(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(demand.PlanInterval), n.guarded("the plan", func() {
		n.processor.Update()
		n.noteOutliers()
		status := n.demand.Tick()
		if status == nil {
			return
		}
		local := n.directory.Local()
		status.Instance, status.DataCentre = string(local.Instance), string(local.DataCentre)
		status.Slots, status.Open, status.StartUnixMs = uint32(max(local.Slots, 0)), local.Open, local.StartUnixMs
		status.ConfigVersion = n.ConfigVersion()
		n.publishStatus(ctx, status)
	}))
}

// handleStatus applies the status of a peer: its load, and its directory entry, which
// may be newer than the one in the store or missing there.
func (n *Node) handleStatus(status *linkrpc.Status) {
	n.demand.HandleStatus(status)
	n.peers.NoteStatus(directory.NodeAddress(status.Node), status.Load)
	n.noteConfigVersion(status.ConfigVersion)
	n.noteDeparture(status)
	n.directory.UpdatePeer(directory.Entry{
		Node: directory.NodeAddress(status.Node), Instance: fleet.InstanceName(status.Instance),
		Service: fleet.ServiceName(status.Service), DataCentre: fleet.DataCentre(status.DataCentre), Slots: int(status.Slots), Open: status.Open, StartUnixMs: status.StartUnixMs,
	})
}

// onPlan sets the gauges from a new plan, and logs a plan that admits only a fraction
// of some class.
func (n *Node) onPlan(classes []shedding.Class, services map[fleet.ServiceName]shedding.Service, admitted map[routing.RouteName]float64) {
	n.updateGauges(services, admitted)
	partial := false
	for _, fraction := range admitted {
		partial = partial || fraction < 1
	}
	if !partial {
		return
	}
	n.planEvents.Log(eventPartialAdmission, func() logrus.Fields {
		fullness := map[fleet.ServiceName]float64{}
		for name, s := range services {
			fullness[name] = s.Fullness()
		}
		executionRates, held := n.demand.ExecutionRates()
		rates, costs := map[routing.RouteName]float64{}, map[routing.RouteName]map[fleet.ServiceName]float64{}
		for _, c := range classes {
			rates[c.Route], costs[c.Route] = c.Rate, c.Cost
		}
		conns := n.callerConns.Counts()
		return logrus.Fields{"busyConns": conns.Busy, "idleConns": conns.Idle, "unusedConns": conns.Unused, "schedDelayMs": milliseconds(n.processor.Delay()), "parts": admitted, "fullness": fullness, "ratesPerS": rates, "costsS": costs, "ownRunsPerS": executionRates, "ownHeld": held, "ownMatched": n.demand.MatchedFractions()}
	})
}

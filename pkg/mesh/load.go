package mesh

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/demand"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// repeats counts the runs at the own instance, and those that repeat others.
// Its zero value works.
type repeats struct {
	all, repeated atomic.Int64
}

func (r *repeats) started(run *linkrpc.Run) {
	r.all.Add(1)
	if run.Repeat {
		r.repeated.Add(1)
	}
}

func (r *repeats) ended(run *linkrpc.Run) {
	r.all.Add(-1)
	if run.Repeat {
		r.repeated.Add(-1)
	}
}

// part returns the part of the present runs that repeat others.
func (r *repeats) part() float64 {
	all := r.all.Load()
	if all <= 0 {
		return 0
	}
	return float64(r.repeated.Load()) / float64(all)
}

func (n *Node) started(run *linkrpc.Run, expires time.Time) func() {
	n.repeats.started(run)
	r := n.survey.ObserveStart(routing.RouteName(run.Route), expires)
	return func() {
		n.survey.ObserveEnd(r)
		n.repeats.ended(run)
	}
}

func (n *Node) arrived(r *entrance.Request) {
	if r.Inner {
		n.survey.ObserveCall(r.Route.Name, r.Expires)
	} else {
		n.survey.ObserveArrival(r.Route.Name)
	}
}

func (n *Node) admit(r *entrance.Request) (bool, float64) { return n.survey.Admit(r.Route.Name) }

// planRoom renews the plan of admission and tells peers of the own load.
func (n *Node) planRoom(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(demand.PlanInterval), func(context.Context) {
		status := n.survey.Tick()
		if status == nil {
			return
		}
		own := n.directory.Local()
		status.Instance, status.DataCentre = string(own.Instance), string(own.DataCentre)
		status.Slots, status.Open = uint32(max(own.Slots, 0)), own.Open
		for _, p := range n.peers.ReachablePeers(n.peers.NodeCount()) {
			p.SendStatus(ctx, status)
		}
	})
}

// heard takes what a peer says of itself: its load, and its entry, which may be
// newer than what the store shows or be missing there.
func (n *Node) heard(status *linkrpc.Status) {
	n.survey.HandleStatus(status)
	n.directory.UpdatePeer(directory.Entry{
		Node: directory.NodeAddress(status.Node), Instance: fleet.InstanceName(status.Instance),
		Service: fleet.ServiceName(status.Service), DataCentre: fleet.DataCentre(status.DataCentre), Slots: int(status.Slots), Open: status.Open,
	})
}

// planned measures each plan, and logs one that admits some class only in part.
func (n *Node) planned(classes []shedding.Class, services map[fleet.ServiceName]shedding.Service, parts map[routing.RouteName]float64) {
	n.measure(services, parts)
	thinned := false
	for _, part := range parts {
		thinned = thinned || part < 1
	}
	if !thinned {
		return
	}
	n.plans.Log(eventPlan, func() logrus.Fields {
		full := map[fleet.ServiceName]float64{}
		for name, s := range services {
			full[name] = s.Fullness()
		}
		runs, held := n.survey.ExecutionRates()
		rates, costs := map[routing.RouteName]float64{}, map[routing.RouteName]map[fleet.ServiceName]float64{}
		for _, c := range classes {
			rates[c.Route], costs[c.Route] = c.Rate, c.Cost
		}
		return logrus.Fields{"parts": parts, "fullness": full, "ratesPerS": rates, "costsS": costs, "ownRunsPerS": runs, "ownHeld": held, "ownMatched": n.survey.MatchedFractions()}
	})
}

// Package survey gathers what nodes tell each other of load, costs and demand,
// and keeps the plan by which entrances admit requests.
package demand

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/callgraph"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// PlanInterval is the time between two plans.
	PlanInterval = shedding.PlanInterval
	// lowLoadReportIntervals is how many plans pass between two reports of a node with little load.
	lowLoadReportIntervals = 4
	// busyFraction is the part of its slots from which a node reports with each plan.
	busyFraction = 0.5
	// reportLifetime is how long a node's report counts.
	reportLifetime = 2200 * time.Millisecond
	// rateWeight is the weight of the newest period in rates of requests.
	rateWeight = 0.25
	// minReportedPerSecond is the requests or runs a second from which a route is reported,
	// forgetRate that below which it is forgotten.
	minReportedPerSecond = 0.01
	minTrackedPerSecond  = 0.001
	// slotTimeWeight is the weight of one run in the mean time that a slot is held.
	slotTimeWeight = 0.05
	// maxCost bounds the slot time of one run at one service.
	maxCost = 100 * time.Second
	// fullFraction is the part from which a class counts as admitted whole.
	fullFraction = 0.999
)

// Costs holds the slot time in seconds that one run of a route takes at each service.
type Costs map[fleet.ServiceName]float64

// Monitor is one node's knowledge of load and demand. Set the exported fields
// before use.
type Monitor struct {
	Clock     clock.Clock
	LocalNode directory.NodeAddress
	Service   fleet.ServiceName
	// Load returns the load of the own gate.
	Load func() *linkrpc.Load
	// View returns the configuration in force, or nil.
	View func() *routing.View
	// Directory returns the instances that are known.
	Directory func() *directory.Snapshot
	// RandomUnit returns numbers between 0 and 1; nil stands for those of the library.
	RandomUnit func() float64
	// OnPlan is told of each plan; nil is allowed.
	OnPlan func(classes []shedding.Class, services map[fleet.ServiceName]shedding.Service, fractions map[routing.RouteName]float64)

	callGraph callgraph.Estimator

	mu        sync.Mutex
	reports   map[directory.NodeAddress]report
	routes    map[routing.RouteName]*routeStats
	planner   shedding.Planner
	lastPlan  planResult
	intervals int

	plan atomic.Pointer[Plan]
}

// planResult is a plan and what it was made from.
type planResult struct {
	classes   []shedding.Class
	services  map[fleet.ServiceName]shedding.Service
	fractions map[routing.RouteName]float64
}

// report is what another node said, and when.
type report struct {
	status     *linkrpc.Status
	receivedAt time.Time
}

// routeStats counts one route at this node.
type routeStats struct {
	// arrivals counts requests that begin here, executions those that run here, in the present period.
	arrivals, executions float64
	// arrivalRate and executionRate are the same per second.
	arrivalRate, executionRate float64
	// meanSlotTime is the mean time that a run holds a slot; 0 until the first.
	meanSlotTime time.Duration
}

func (m *Monitor) routeStatsOf(route routing.RouteName) *routeStats {
	if m.routes == nil {
		m.routes = map[routing.RouteName]*routeStats{}
	}
	r := m.routes[route]
	if r == nil {
		r = &routeStats{}
		m.routes[route] = r
	}
	return r
}

// ObserveArrival counts a request that begins at this node.
func (m *Monitor) ObserveArrival(route routing.RouteName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.routeStatsOf(route).arrivals++
}

// ObserveCall counts a call that the instance makes, and that expires at a time.
func (m *Monitor) ObserveCall(route routing.RouteName, expires time.Time) {
	m.callGraph.ObserveCall(route, expires)
}

// ObserveStart counts a run that the instance stops working on at a time.
func (m *Monitor) ObserveStart(route routing.RouteName, expires time.Time) *callgraph.Execution {
	return m.callGraph.ObserveStart(route, expires)
}

// ObserveEnd notes the end of a run.
func (m *Monitor) ObserveEnd(x *callgraph.Execution) { m.callGraph.ObserveEnd(x) }

// ObserveSlotTime takes the time that a run held its slot.
func (m *Monitor) ObserveSlotTime(route routing.RouteName, held time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.routeStatsOf(route)
	r.executions++
	if r.meanSlotTime == 0 {
		r.meanSlotTime = held
	}
	r.meanSlotTime += time.Duration(slotTimeWeight * float64(held-r.meanSlotTime))
}

// HandleStatus takes what another node says.
func (m *Monitor) HandleStatus(status *linkrpc.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reports == nil {
		m.reports = map[directory.NodeAddress]report{}
	}
	m.reports[directory.NodeAddress(status.Node)] = report{status: status, receivedAt: m.Clock.Now()}
}

// Tick renews the plan. It returns what peers should hear now, or nil.
func (m *Monitor) Tick() *linkrpc.Status {
	status, result := m.update()
	if m.OnPlan != nil {
		m.OnPlan(result.classes, result.services, result.fractions)
	}
	return status
}

func (m *Monitor) update() (*linkrpc.Status, planResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.intervals++
	m.callGraph.EndWindow()
	m.updateRates()
	local := m.localStatus()
	m.updatePlan(local)
	load := local.Load
	if m.intervals%lowLoadReportIntervals != 0 && float64(load.InFlight+load.Queued) < busyFraction*float64(load.Limit) {
		return nil, m.lastPlan
	}
	return local, m.lastPlan
}

func (m *Monitor) updateRates() {
	perSecond := float64(time.Second) / float64(PlanInterval)
	for name, r := range m.routes {
		r.arrivalRate += rateWeight * (r.arrivals*perSecond - r.arrivalRate)
		r.executionRate += rateWeight * (r.executions*perSecond - r.executionRate)
		r.arrivals, r.executions = 0, 0
		if r.arrivalRate < minTrackedPerSecond && r.executionRate < minTrackedPerSecond {
			delete(m.routes, name)
		}
	}
}

// updatePlan makes the plan from the reports of all nodes, the own one included.
func (m *Monitor) updatePlan(local *linkrpc.Status) {
	now := m.Clock.Now()
	if m.reports == nil {
		m.reports = map[directory.NodeAddress]report{}
	}
	m.reports[m.LocalNode] = report{status: local, receivedAt: now}
	rates := map[routing.RouteName]float64{}
	for _, node := range slices.Sorted(maps.Keys(m.reports)) {
		r := m.reports[node]
		if now.Sub(r.receivedAt) > reportLifetime {
			delete(m.reports, node)
			continue
		}
		for _, o := range r.status.Offers {
			rates[routing.RouteName(o.Route)] += float64(o.Rate)
		}
	}
	services := m.services()
	classes := m.classes(rates)
	fractions := m.planner.Plan(classes, services)
	m.setPlan(fractions)
	m.lastPlan = planResult{classes, services, fractions}
}

// services adds up the instances of each service. An instance whose node has not
// reported lately counts with its slots.
func (m *Monitor) services() map[fleet.ServiceName]shedding.Service {
	services := map[fleet.ServiceName]shedding.Service{}
	for name, entries := range m.Directory().Services {
		var total shedding.Service
		for _, e := range entries {
			load := m.reports[e.Node].status.GetLoad()
			switch {
			case load == nil:
				total.Slots += float64(e.Slots)
			case !load.Closed:
				total.Slots += float64(load.Limit)
				total.Running += float64(load.InFlight)
				total.Waiting += float64(load.Queued)
				total.MeanSlotSeconds += float64(load.InFlight) * float64(load.RunUs) / microsecondsPerSecond
			}
		}
		total.MeanSlotSeconds /= max(total.Running, 1)
		services[name] = total
	}
	return services
}

func (m *Monitor) classes(rates map[routing.RouteName]float64) []shedding.Class {
	costs := m.meanCosts()
	priorities := m.priorities()
	classes := make([]shedding.Class, 0, len(rates))
	for _, name := range slices.Sorted(maps.Keys(rates)) {
		if c := costs[name]; len(c) > 0 {
			classes = append(classes, shedding.Class{Route: name, Priority: priorities[name], Rate: rates[name], Cost: c})
		}
	}
	return classes
}

func (m *Monitor) priorities() map[routing.RouteName]int {
	priorities := map[routing.RouteName]int{}
	view := m.View()
	if view == nil {
		return priorities
	}
	for _, r := range view.Routes {
		priorities[r.Name] = r.Priority
	}
	return priorities
}

// ExecutionRates returns the runs a second of each route at the own instance, and the
// mean time that each holds a slot.
func (m *Monitor) ExecutionRates() (map[routing.RouteName]float64, map[routing.RouteName]time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rates, slotTimes := map[routing.RouteName]float64{}, map[routing.RouteName]time.Duration{}
	for name, r := range m.routes {
		if r.executionRate > 0 {
			rates[name], slotTimes[name] = r.executionRate, r.meanSlotTime
		}
	}
	return rates, slotTimes
}

// MatchedFractions returns the part of the calls of the own instance whose caller was found.
func (m *Monitor) MatchedFractions() map[routing.RouteName]float64 {
	return m.callGraph.MatchedFractions()
}

// Package demand collects the nodes' reports of load, costs and demand, and
// maintains the plan by which entrances admit requests.
package demand

import (
	"maps"
	"math"
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
	// lowLoadReportIntervals is the number of plan intervals between two
	// reports of a node with low load.
	lowLoadReportIntervals = 4
	// busyFraction is the fraction of its slots, running and queued calls
	// included, from which a node reports at every plan interval.
	busyFraction = 0.5
	// reportLifetime is the time after which a node's report is ignored.
	reportLifetime = 2200 * time.Millisecond
	// rateWeight is the weight of the newest interval in the smoothed rates.
	rateWeight = 0.25
	// minReportedPerSecond is the rate of requests or executions per second
	// below which a route is not reported. Below minTrackedPerSecond, it is
	// dropped.
	minReportedPerSecond = 0.01
	minTrackedPerSecond  = 0.001
	// slotTimeWeight is the weight of the newest execution in the mean slot
	// time.
	slotTimeWeight = 0.05
	// maxCost bounds the slot time of one execution at one service.
	maxCost = 100 * time.Second
	// fullFraction is the fraction from which all requests of a class are
	// admitted.
	fullFraction = 0.999
)

// Costs holds the slot time in seconds that one execution of a route takes at
// each service.
type Costs map[fleet.ServiceName]float64

// Monitor measures the local demand and load, combines them with the reports of
// other nodes and plans admission. Set the exported fields before use. Its
// methods are safe for concurrent use.
type Monitor struct {
	Clock     clock.Clock
	LocalNode directory.NodeAddress
	Service   fleet.ServiceName
	// Load returns the load of the local gate.
	Load func() *linkrpc.Load
	// View returns the active configuration, or nil.
	View func() *routing.View
	// Directory returns the known instances.
	Directory func() *directory.Snapshot
	// Excluded reports whether calls must not be sent to the instances of a data centre, so
	// that they are no capacity; nil excludes none.
	Excluded func(dataCentre fleet.DataCentre) bool
	// RandomUnit returns random numbers between 0 and 1. If nil, math/rand/v2
	// is used.
	RandomUnit func() float64
	// OnPlan is called with each new plan and the data that it was made from.
	// It may be nil.
	OnPlan func(classes []shedding.Class, services map[fleet.ServiceName]shedding.Service, fractions map[routing.RouteName]float64)

	callGraph callgraph.Estimator

	// mu guards the fields down to intervals, which counts the calls of Tick.
	mu        sync.Mutex
	reports   map[directory.NodeAddress]report
	routes    map[routing.RouteName]*routeStats
	planner   shedding.Planner
	lastPlan  planResult
	intervals int

	plan atomic.Pointer[Plan]
}

// planResult is a plan and the data that it was made from.
type planResult struct {
	classes   []shedding.Class
	services  map[fleet.ServiceName]shedding.Service
	fractions map[routing.RouteName]float64
}

// report is the status of a node and when it was received.
type report struct {
	status     *linkrpc.Status
	receivedAt time.Time
}

// routeStats holds the measurements of one route at this node.
type routeStats struct {
	// arrivals counts the requests that enter the system at this node,
	// executions the calls that run on the local instance, both in the present
	// interval.
	arrivals, executions float64
	// arrivalRate and executionRate are the smoothed rates per second.
	arrivalRate, executionRate float64
	// meanSlotTime is the smoothed mean time that an execution holds a slot; 0
	// before the first one.
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

// ObserveArrival counts a request that enters the system at this node.
func (m *Monitor) ObserveArrival(route routing.RouteName) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.routeStatsOf(route).arrivals++
}

// ObserveCall records a call made by the local instance, with its expiry. It returns
// what is known of the execution that makes it.
func (m *Monitor) ObserveCall(route routing.RouteName, expires time.Time) callgraph.Caller {
	return m.callGraph.ObserveCall(route, expires)
}

// ObserveStart records the start of an execution that the local instance
// abandons at the given expiry.
func (m *Monitor) ObserveStart(route routing.RouteName, expires time.Time) *callgraph.Execution {
	return m.callGraph.ObserveStart(route, expires)
}

// ObserveRun records the start of an execution.
func (m *Monitor) ObserveRun(r callgraph.Run) *callgraph.Execution { return m.callGraph.ObserveRun(r) }

// ObserveEnd records the end of an execution.
func (m *Monitor) ObserveEnd(x *callgraph.Execution) { m.callGraph.ObserveEnd(x) }

// ObserveSlotTime counts an execution and records the time that it held its
// slot.
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

// HandleStatus stores the status report of another node. Numbers that are none, or negative,
// are left out: in a sum they would spoil the plan.
func (m *Monitor) HandleStatus(status *linkrpc.Status) {
	status.Offers = slices.DeleteFunc(status.Offers, func(o *linkrpc.Offer) bool { return o == nil || !isAmount(o.Rate) })
	status.Costs = slices.DeleteFunc(status.Costs, func(c *linkrpc.Cost) bool { return c == nil || c.Weight == 0 || !isAmount(c.Weight) })
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reports == nil {
		m.reports = map[directory.NodeAddress]report{}
	}
	m.reports[directory.NodeAddress(status.Node)] = report{status: status, receivedAt: m.Clock.Now()}
}

// isAmount reports whether x is a finite number, not below 0.
func isAmount(x float32) bool { return x >= 0 && x <= math.MaxFloat32 }

// ReportCount returns the number of nodes, this one included, whose reports the last plan
// was made from.
func (m *Monitor) ReportCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.reports)
}

// Tick updates the plan. Call it every PlanInterval. It returns the status to
// send to peers, or nil if no report is due.
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

// updatePlan makes a new plan from the reports of all nodes, including this
// one.
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

// services adds up the instances of each service. An instance whose node has no
// recent report counts with its slots from the directory.
func (m *Monitor) services() map[fleet.ServiceName]shedding.Service {
	services := map[fleet.ServiceName]shedding.Service{}
	for name, entries := range m.Directory().Services {
		var total shedding.Service
		for _, e := range entries {
			load := m.reports[e.Node].status.GetLoad()
			switch {
			case m.Excluded != nil && m.Excluded(e.DataCentre):
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

// ExecutionRates returns the executions per second of each route on the local
// instance, and the mean time that one holds a slot.
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

// MatchedFractions returns, for each route, the fraction of the local
// instance's calls whose caller was found.
func (m *Monitor) MatchedFractions() map[routing.RouteName]float64 {
	return m.callGraph.MatchedFractions()
}

// Package survey gathers what nodes tell each other of load, costs and demand,
// and keeps the plan by which entrances admit requests.
package survey

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
	// Period is the time between two plans.
	Period = shedding.PlanInterval
	// quietPeriods is how many plans pass between two reports of a node with little load.
	quietPeriods = 4
	// busyFrom is the part of its slots from which a node reports with each plan.
	busyFrom = 0.5
	// forgetReport is how long a node's report counts.
	forgetReport = 2200 * time.Millisecond
	// rateWeight is the weight of the newest period in rates of requests.
	rateWeight = 0.25
	// leastRate is the requests or runs a second from which a route is reported,
	// forgetRate that below which it is forgotten.
	leastRate  = 0.01
	forgetRate = 0.001
	// heldWeight is the weight of one run in the mean time that a slot is held.
	heldWeight = 0.05
	// mostCost bounds the slot time of one run at one service.
	mostCost = 100 * time.Second
	// fullPart is the part from which a class counts as admitted whole.
	fullPart = 0.999
)

// Costs holds the slot time in seconds that one run of a route takes at each service.
type Costs map[fleet.ServiceName]float64

// Survey is one node's knowledge of load and demand. Set the exported fields
// before use.
type Survey struct {
	Clock   clock.Clock
	Self    directory.NodeAddress
	Service fleet.ServiceName
	// Load returns the load of the own gate.
	Load func() *linkrpc.Load
	// View returns the configuration in force, or nil.
	View func() *routing.View
	// Directory returns the instances that are known.
	Directory func() *directory.Snapshot
	// Random returns numbers between 0 and 1; nil stands for those of the library.
	Random func() float64
	// Planned is told of each plan; nil is allowed.
	Planned func(classes []shedding.Class, services map[fleet.ServiceName]shedding.Service, parts map[routing.RouteName]float64)

	graph callgraph.Estimator

	mu      sync.Mutex
	reports map[directory.NodeAddress]report
	routes  map[routing.RouteName]*routeStats
	planner shedding.Planner
	newest  planned
	periods int

	plan atomic.Pointer[Plan]
}

// planned is a plan and what it was made from.
type planned struct {
	classes  []shedding.Class
	services map[fleet.ServiceName]shedding.Service
	parts    map[routing.RouteName]float64
}

// report is what another node said, and when.
type report struct {
	status *linkrpc.Status
	at     time.Time
}

// routeStats counts one route at this node.
type routeStats struct {
	// arrived counts requests that begin here, runs those that run here, in the present period.
	arrived, runs float64
	// offered and rate are the same per second.
	offered, rate float64
	// held is the mean time that a run holds a slot; 0 until the first.
	held time.Duration
}

func (s *Survey) stats(route routing.RouteName) *routeStats {
	if s.routes == nil {
		s.routes = map[routing.RouteName]*routeStats{}
	}
	r := s.routes[route]
	if r == nil {
		r = &routeStats{}
		s.routes[route] = r
	}
	return r
}

// Arrived counts a request that begins at this node.
func (s *Survey) Arrived(route routing.RouteName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats(route).arrived++
}

// Called counts a call that the instance makes, and that expires at a time.
func (s *Survey) Called(route routing.RouteName, expires time.Time) {
	s.graph.ObserveCall(route, expires)
}

// Started counts a run that the instance stops working on at a time.
func (s *Survey) Started(route routing.RouteName, expires time.Time) *callgraph.Execution {
	return s.graph.ObserveStart(route, expires)
}

// Ended notes the end of a run.
func (s *Survey) Ended(r *callgraph.Execution) { s.graph.ObserveEnd(r) }

// Ran takes the time that a run held its slot.
func (s *Survey) Ran(route routing.RouteName, held time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.stats(route)
	r.runs++
	if r.held == 0 {
		r.held = held
	}
	r.held += time.Duration(heldWeight * float64(held-r.held))
}

// Heard takes what another node says.
func (s *Survey) Heard(status *linkrpc.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reports == nil {
		s.reports = map[directory.NodeAddress]report{}
	}
	s.reports[directory.NodeAddress(status.Node)] = report{status: status, at: s.Clock.Now()}
}

// Tick renews the plan. It returns what peers should hear now, or nil.
func (s *Survey) Tick() *linkrpc.Status {
	status, newest := s.step()
	if s.Planned != nil {
		s.Planned(newest.classes, newest.services, newest.parts)
	}
	return status
}

func (s *Survey) step() (*linkrpc.Status, planned) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.periods++
	s.graph.EndWindow()
	s.rates()
	own := s.status()
	s.renew(own)
	load := own.Load
	if s.periods%quietPeriods != 0 && float64(load.InFlight+load.Queued) < busyFrom*float64(load.Limit) {
		return nil, s.newest
	}
	return own, s.newest
}

func (s *Survey) rates() {
	perSecond := float64(time.Second) / float64(Period)
	for name, r := range s.routes {
		r.offered += rateWeight * (r.arrived*perSecond - r.offered)
		r.rate += rateWeight * (r.runs*perSecond - r.rate)
		r.arrived, r.runs = 0, 0
		if r.offered < forgetRate && r.rate < forgetRate {
			delete(s.routes, name)
		}
	}
}

// renew makes the plan from the reports of all nodes, the own one included.
func (s *Survey) renew(own *linkrpc.Status) {
	now := s.Clock.Now()
	if s.reports == nil {
		s.reports = map[directory.NodeAddress]report{}
	}
	s.reports[s.Self] = report{status: own, at: now}
	rates := map[routing.RouteName]float64{}
	for _, node := range slices.Sorted(maps.Keys(s.reports)) {
		r := s.reports[node]
		if now.Sub(r.at) > forgetReport {
			delete(s.reports, node)
			continue
		}
		for _, o := range r.status.Offers {
			rates[routing.RouteName(o.Route)] += float64(o.Rate)
		}
	}
	services := s.services()
	classes := s.classes(rates)
	parts := s.planner.Plan(classes, services)
	s.replace(parts)
	s.newest = planned{classes, services, parts}
}

// services adds up the instances of each service. An instance whose node has not
// reported lately counts with its slots.
func (s *Survey) services() map[fleet.ServiceName]shedding.Service {
	list := map[fleet.ServiceName]shedding.Service{}
	for name, entries := range s.Directory().Services {
		var whole shedding.Service
		for _, e := range entries {
			load := s.reports[e.Node].status.GetLoad()
			switch {
			case load == nil:
				whole.Slots += float64(e.Slots)
			case !load.Closed:
				whole.Slots += float64(load.Limit)
				whole.Running += float64(load.InFlight)
				whole.Waiting += float64(load.Queued)
				whole.MeanSlotSeconds += float64(load.InFlight) * float64(load.RunUs) / microseconds
			}
		}
		whole.MeanSlotSeconds /= max(whole.Running, 1)
		list[name] = whole
	}
	return list
}

func (s *Survey) classes(rates map[routing.RouteName]float64) []shedding.Class {
	costs := s.costs()
	priorities := s.priorities()
	classes := make([]shedding.Class, 0, len(rates))
	for _, name := range slices.Sorted(maps.Keys(rates)) {
		if c := costs[name]; len(c) > 0 {
			classes = append(classes, shedding.Class{Route: name, Priority: priorities[name], Rate: rates[name], Cost: c})
		}
	}
	return classes
}

func (s *Survey) priorities() map[routing.RouteName]int {
	list := map[routing.RouteName]int{}
	view := s.View()
	if view == nil {
		return list
	}
	for _, r := range view.Routes {
		list[r.Name] = r.Priority
	}
	return list
}

// Runs returns the runs a second of each route at the own instance, and the
// mean time that each holds a slot.
func (s *Survey) Runs() (map[routing.RouteName]float64, map[routing.RouteName]time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rates, held := map[routing.RouteName]float64{}, map[routing.RouteName]time.Duration{}
	for name, r := range s.routes {
		if r.rate > 0 {
			rates[name], held[name] = r.rate, r.held
		}
	}
	return rates, held
}

// Matched returns the part of the calls of the own instance whose caller was found.
func (s *Survey) Matched() map[routing.RouteName]float64 { return s.graph.MatchedFractions() }

// Package shedding decides which fraction of each class of requests the
// entrances admit. It answers the load pattern in which one service deep in the
// call graph is nearly full while all others are idle. A call rejected there
// wastes the work that its request has already caused elsewhere, so whole
// requests are rejected at the root, before any call has run, and admitted
// requests can complete.
package shedding

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// TargetUtilisation is the fraction of a service's slots that admitted
	// requests may fill.
	TargetUtilisation = 1.0
	// floorFraction is the fraction of every class that is admitted before any
	// class gets more.
	floorFraction = 0.2
	// maxFloorsFraction is the fraction of a service's capacity that all floors
	// together may use. Even in the deepest overload, the rest is left to be
	// assigned by priority.
	maxFloorsFraction = 0.6
	// minUseFraction is the fraction of a service's slots below which a class's
	// use of the service is ignored.
	minUseFraction = 0.01
	// PlanInterval is the time between two plans.
	PlanInterval = 250 * time.Millisecond
)

type (
	// Class describes the demand of one route.
	Class struct {
		Route routing.RouteName
		// Priority is lower for more urgent classes.
		Priority int
		// Rate is the number of requests per second that arrive at all
		// entrances.
		Rate float64
		// Cost is the slot time in seconds that one request takes at each
		// service.
		Cost map[fleet.ServiceName]float64
	}

	// Service is the combined state of all instances of one service.
	Service struct {
		// Slots is the number of calls that the instances can run at once.
		Slots float64
		// Running and Waiting are numbers of calls.
		Running, Waiting float64
		// MeanSlotSeconds is the mean time in seconds that a call holds its
		// slot.
		MeanSlotSeconds float64
	}
)

// Planner makes a plan each PlanInterval. The zero value is ready to use. It is
// not safe for concurrent use.
type Planner struct {
	calibrations map[fleet.ServiceName]*calibration
	// history holds the admitted fractions of the last plans, newest last.
	history []map[routing.RouteName]float64
}

// Fullness returns the running and waiting calls as a fraction of the slots. It
// exceeds 1 where more calls wait than slots are free.
func (s Service) Fullness() float64 { return (s.Running + s.Waiting) / max(s.Slots, 1) }

// Plan returns the fraction of each class to admit, between 0 and 1. Classes
// that use no full service are admitted whole.
func (p *Planner) Plan(classes []Class, services map[fleet.ServiceName]Service) map[routing.RouteName]float64 {
	remaining := p.capacity(services, p.predictedUse(classes))
	fractions := map[routing.RouteName]float64{}
	admitFloors(classes, services, remaining, fractions)
	bottleneck := mostOverloaded(classes, remaining)
	sorted := slices.Clone(classes)
	slices.SortFunc(sorted, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Cost[bottleneck], b.Cost[bottleneck]), cmp.Compare(a.Route, b.Route))
	})
	for _, c := range sorted {
		added := 1 - fractions[c.Route]
		for s, cost := range c.Cost {
			if use := c.Rate * cost; isSignificant(use, services[s]) {
				added = min(added, max(0, remaining[s])/use)
			}
		}
		fractions[c.Route] += added
		for s, cost := range c.Cost {
			remaining[s] -= added * c.Rate * cost
		}
	}
	p.record(fractions)
	return fractions
}

func isSignificant(use float64, s Service) bool { return use > 0 && use >= minUseFraction*s.Slots }

// capacity returns the slots of each service that admitted requests may fill,
// scaled to the reported costs.
func (p *Planner) capacity(services map[fleet.ServiceName]Service, predicted map[fleet.ServiceName]float64) map[fleet.ServiceName]float64 {
	if p.calibrations == nil {
		p.calibrations = map[fleet.ServiceName]*calibration{}
	}
	maps.DeleteFunc(p.calibrations, func(s fleet.ServiceName, _ *calibration) bool { return services[s].Slots == 0 })
	capacities := map[fleet.ServiceName]float64{}
	for name, s := range services {
		if s.Slots == 0 {
			continue
		}
		if p.calibrations[name] == nil {
			p.calibrations[name] = &calibration{}
		}
		if predicted != nil {
			p.calibrations[name].observe(s, predicted[name])
		}
		capacities[name] = p.calibrations[name].capacity(s)
	}
	return capacities
}

// predictedUse returns the slots that the requests admitted admissionLagSteps
// ago should use now according to their costs, or nil before there is a plan
// that old. It uses the present rates, because measured rates lag behind the
// arrivals as well.
func (p *Planner) predictedUse(classes []Class) map[fleet.ServiceName]float64 {
	if len(p.history) <= admissionLagSteps {
		return nil
	}
	use := map[fleet.ServiceName]float64{}
	for _, c := range classes {
		fraction, planned := p.history[0][c.Route]
		if !planned {
			fraction = 1
		}
		for s, cost := range c.Cost {
			use[s] += fraction * c.Rate * cost
		}
	}
	return use
}

func (p *Planner) record(fractions map[routing.RouteName]float64) {
	p.history = append(p.history, fractions)
	if len(p.history) > admissionLagSteps+1 {
		p.history = p.history[1:]
	}
}

// admitFloors sets the floor of every class and subtracts its use from the
// remaining slots. Where the floors together would use too much of a service,
// the classes that use it get an equal, lower floor.
func admitFloors(classes []Class, services map[fleet.ServiceName]Service, remaining map[fleet.ServiceName]float64, fractions map[routing.RouteName]float64) {
	demand := map[fleet.ServiceName]float64{}
	for _, c := range classes {
		for s, cost := range c.Cost {
			demand[s] += c.Rate * cost
		}
	}
	for _, c := range classes {
		fraction := floorFraction
		for s, cost := range c.Cost {
			if isSignificant(c.Rate*cost, services[s]) && demand[s] > 0 {
				fraction = min(fraction, maxFloorsFraction*max(0, remaining[s])/demand[s])
			}
		}
		fractions[c.Route] = fraction
	}
	for _, c := range classes {
		for s, cost := range c.Cost {
			remaining[s] -= fractions[c.Route] * c.Rate * cost
		}
	}
}

// mostOverloaded returns the service with the highest demand relative to its
// remaining capacity.
func mostOverloaded(classes []Class, remaining map[fleet.ServiceName]float64) fleet.ServiceName {
	demand := map[fleet.ServiceName]float64{}
	for _, c := range classes {
		for s, cost := range c.Cost {
			demand[s] += c.Rate * cost
		}
	}
	var name fleet.ServiceName
	highest := 0.0
	for s, d := range demand {
		if ratio := d / max(remaining[s], 1e-3); ratio > highest || ratio == highest && s < name {
			name, highest = s, ratio
		}
	}
	return name
}

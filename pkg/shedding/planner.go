// Package room decides what part of each class of requests is admitted at the
// entrances. It answers the load pattern in which one service deep in the call
// graph is nearly full while all others idle: a call refused there wastes all
// that its request has run elsewhere, so whole requests are turned away at the
// root, before anything has run, and what is admitted goes through.
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
	// TargetUtilisation is the part of a service's slots that admitted requests may fill.
	TargetUtilisation = 1.0
	// floorFraction is the part of every class that is admitted before any class gets more.
	floorFraction = 0.2
	// maxFloorsFraction is the part of a service's room that floors may take up, so that
	// in the deepest overload something is left to put first.
	maxFloorsFraction = 0.6
	// minUseFraction is the part of a service's slots below which a class's use of it is
	// left out of account.
	minUseFraction = 0.01
	// PlanInterval is the time between two plans.
	PlanInterval = 250 * time.Millisecond
)

type (
	// Class is what the plan knows of the requests of one route.
	Class struct {
		Route    routing.RouteName
		Priority int
		// Rate is the requests a second that arrive at all entrances.
		Rate float64
		// Cost is the slot time in seconds that one request takes at each service.
		Cost map[fleet.ServiceName]float64
	}

	// Service is the state of one service's instances together.
	Service struct {
		// Slots is how many calls they run at once.
		Slots float64
		// Running and Waiting count calls.
		Running, Waiting float64
		// MeanSlotSeconds is the mean time in seconds that a call holds its slot.
		MeanSlotSeconds float64
	}
)

// Planner makes a plan each Step. Its zero value works.
type Planner struct {
	calibrations map[fleet.ServiceName]*calibration
	// history holds the parts of the last plans, the newest last.
	history []map[routing.RouteName]float64
}

// Fullness is the part of its slots that a service's calls would fill, those
// that wait included.
func (s Service) Fullness() float64 { return (s.Running + s.Waiting) / max(s.Slots, 1) }

// Plan returns the part of each class to admit, between 0 and 1. Classes that
// touch no full service are admitted whole.
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

// capacity returns the slots that admitted requests may fill, in the measure
// of their costs.
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

// predictedUse returns the slots that the requests admitted some steps ago take
// now by their costs, or nil where no plan is that old. Rates are those known
// now, as they lag behind the arrivals too.
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

// admitFloors gives every class its floor, or an equal part of it where the
// floors together take up too much.
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

// mostOverloaded returns the service with the most demand for its room.
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

// Package room decides what part of each class of requests is admitted at the
// entrances. It answers the load pattern in which one service deep in the call
// graph is nearly full while all others idle: a call refused there wastes all
// that its request has run elsewhere, so whole requests are turned away at the
// root, before anything has run, and what is admitted goes through.
package room

import (
	"cmp"
	"maps"
	"slices"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// Target is the part of a service's slots that admitted requests may fill.
	Target = 0.92
	// floor is the part of every class that is admitted before any class gets more.
	floor = 0.2
	// floorsPart is the part of a service's room that floors may take up, so that
	// in the deepest overload something is left to put first.
	floorsPart = 0.6
	// leastUse is the part of a service's slots below which a class's use of it is
	// left out of account.
	leastUse = 0.01
	// loosen is what each idle part of its slots adds to the correction of a
	// service per step, and mostLoosen the most that is added.
	loosen     = 0.25
	mostLoosen = 0.08
	// tighten is what each multiple of its slots that waits takes off the
	// correction per step, and mostTighten the most that is taken off.
	tighten     = 0.04
	mostTighten = 0.1
	// fullFrom and idleBelow are the measured fullness at which the correction moves.
	fullFrom  = 1.0
	idleBelow = 0.9
	// leastCorrection and mostCorrection bound it.
	leastCorrection = 0.6
	mostCorrection  = 1.3
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
		// Busy is how many run or wait.
		Busy float64
	}
)

// Planner keeps the correction of each service from step to step. Its zero value works.
type Planner struct {
	correction map[fleet.ServiceName]float64
}

// Plan returns the part of each class to admit, between 0 and 1. Classes that
// touch no full service are admitted whole.
func (p *Planner) Plan(classes []Class, services map[fleet.ServiceName]Service) map[routing.RouteName]float64 {
	left := p.capacity(services)
	parts := map[routing.RouteName]float64{}
	admitFloors(classes, services, left, parts)
	bottleneck := fullest(classes, left)
	order := slices.Clone(classes)
	slices.SortFunc(order, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Cost[bottleneck], b.Cost[bottleneck]), cmp.Compare(a.Route, b.Route))
	})
	for _, c := range order {
		more := 1 - parts[c.Route]
		for s, cost := range c.Cost {
			if use := c.Rate * cost; counts(use, services[s]) {
				more = min(more, max(0, left[s])/use)
			}
		}
		parts[c.Route] += more
		for s, cost := range c.Cost {
			left[s] -= more * c.Rate * cost
		}
	}
	return parts
}

func counts(use float64, s Service) bool { return use > 0 && use >= leastUse*s.Slots }

// capacity returns the slots that may be filled, corrected by what was seen.
func (p *Planner) capacity(services map[fleet.ServiceName]Service) map[fleet.ServiceName]float64 {
	if p.correction == nil {
		p.correction = map[fleet.ServiceName]float64{}
	}
	maps.DeleteFunc(p.correction, func(s fleet.ServiceName, _ float64) bool { return services[s].Slots == 0 })
	left := map[fleet.ServiceName]float64{}
	for name, s := range services {
		k, known := p.correction[name]
		if !known {
			k = 1
		}
		if s.Slots > 0 {
			switch full := s.Busy / s.Slots; {
			case full > fullFrom:
				k *= 1 - min(mostTighten, tighten*(full-fullFrom))
			case full < idleBelow:
				k *= 1 + min(mostLoosen, loosen*(idleBelow-full))
			}
		}
		k = min(max(k, leastCorrection), mostCorrection)
		p.correction[name] = k
		left[name] = s.Slots * Target * k
	}
	return left
}

// admitFloors gives every class its floor, or an equal part of it where the
// floors together take up too much.
func admitFloors(classes []Class, services map[fleet.ServiceName]Service, left map[fleet.ServiceName]float64, parts map[routing.RouteName]float64) {
	demand := map[fleet.ServiceName]float64{}
	for _, c := range classes {
		for s, cost := range c.Cost {
			demand[s] += c.Rate * cost
		}
	}
	for _, c := range classes {
		part := floor
		for s, cost := range c.Cost {
			if counts(c.Rate*cost, services[s]) && demand[s] > 0 {
				part = min(part, floorsPart*max(0, left[s])/demand[s])
			}
		}
		parts[c.Route] = part
	}
	for _, c := range classes {
		for s, cost := range c.Cost {
			left[s] -= parts[c.Route] * c.Rate * cost
		}
	}
}

// fullest returns the service with the most demand for its room.
func fullest(classes []Class, left map[fleet.ServiceName]float64) fleet.ServiceName {
	demand := map[fleet.ServiceName]float64{}
	for _, c := range classes {
		for s, cost := range c.Cost {
			demand[s] += c.Rate * cost
		}
	}
	var name fleet.ServiceName
	most := 0.0
	for s, d := range demand {
		if full := d / max(left[s], 1e-3); full > most || full == most && s < name {
			name, most = s, full
		}
	}
	return name
}

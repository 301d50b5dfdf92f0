package callgraph

import (
	"math"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

// minKnownFraction is the fraction of the calls to a route that must have been matched,
// beyond chance, for a match to identify the caller. Where calls expire earlier than their
// execution, matches are due to chance.
const minKnownFraction = 0.3

// Caller is what is known of the execution that makes a call. Where several
// executions may have made it, only what holds for all of them is known. The zero
// value means that nothing is known.
type Caller struct {
	// Known reports whether at least one execution may have made the call.
	Known bool
	// Position is the least position of the call among the calls to its route
	// that the execution makes, from 1.
	Position int
	// Remaining is the number of calls to the route that the execution is expected
	// to make after this one, according to the longest of the recent executions.
	Remaining int
	// Priority is that of the least urgent execution that may have made the call.
	Priority uint32
	// RepeatFraction is the fraction of the executions that may have made the call
	// that repeat an earlier attempt.
	RepeatFraction float64
}

// identify returns what is known of the caller of a call to a route, and counts the
// call if only one execution can have made it.
func (e *Estimator) identify(matches []*Execution, route routing.RouteName) Caller {
	if len(matches) == 0 || e.matched[route]-e.chanceMatched[route] < minKnownFraction*e.calls[route] {
		return Caller{}
	}
	c := Caller{Known: true, Position: math.MaxInt}
	length := 0.0
	for _, x := range matches {
		c.Position = min(c.Position, x.calls[route]+1)
		c.Priority = max(c.Priority, x.priority)
		length = max(length, e.lengths[pair{x.route, route}])
		if x.repeat {
			c.RepeatFraction += 1 / float64(len(matches))
		}
	}
	c.Remaining = max(0, int(math.Round(length))-c.Position)
	if len(matches) == 1 {
		x := matches[0]
		if x.calls == nil {
			x.calls = map[routing.RouteName]int{}
		}
		x.calls[route]++
		p := pair{x.route, route}
		e.lengths[p] = max(e.lengths[p], float64(x.calls[route]))
	}
	return c
}

package shedding

import (
	"maps"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// rejectingServices returns the services of the tests, at half of their load, while the deep
// service rejects a fraction of its calls.
func rejectingServices(rejected float64) map[fleet.ServiceName]Service {
	state := maps.Clone(services)
	state["deep"] = Service{Slots: 51, Running: 20, MeanSlotSeconds: 0.08, RejectedFraction: rejected}
	return state
}

// The deep service rejects calls without executing them. Guards against starting all
// requests that make four such calls, of which a fifth completes, and against holding back
// requests that make one call or none.
func TestRejectionsHoldBackRequestsThatFail(t *testing.T) {
	is := is.New(t)
	classes := testClasses(0.5)
	classes[2].Cost = map[fleet.ServiceName]float64{"deep": 0.08}
	whole := (&Planner{}).Plan(classes, rejectingServices(0))
	is.True(whole["browse"] > 0.999)
	fractions := (&Planner{}).Plan(classes, rejectingServices(0.45))
	t.Log(fractions)
	is.True(math.Abs(fractions["browse"]-(1-maxHeldFraction)) < 1e-9)
	is.True(fractions["check"] > 0.9)
	is.Equal(fractions["issue"], 1.0)
	is.Equal((&Planner{}).Plan(classes, rejectingServices(0.05))["browse"], 1.0)
}

// Guards against a fraction held back with which fewer requests complete than with all
// started: in the formula of completableFraction, no other fraction is better by more than
// rounding.
func TestHeldFractionCompletesMost(t *testing.T) {
	is := is.New(t)
	completed := func(s, held float64) float64 {
		return (1-held)*s + held*((1-returnFraction)*(1-held)*s+returnFraction)
	}
	for _, rejected := range []float64{0, 0.05, 0.1, 0.2, 0.3, 0.45, 0.6} {
		c := Class{Cost: map[fleet.ServiceName]float64{"deep": 0.32}}
		state := rejectingServices(rejected)
		s, held := completion(c, state), 1-completableFraction(c, state)
		t.Logf("rejected %.2f: completes %.3f, held back %.3f: %.3f of all", rejected, s, held, completed(s, held))
		is.True(completed(s, held) >= s)
		for other := 0.0; other <= maxHeldFraction; other += 0.01 {
			is.True(completed(s, held) >= completed(s, other)-0.01)
		}
	}
}

// Rejected calls take no slots. Guards against costs that count as too high during a
// shortage, and overload after it.
func TestRejectionsDoNotLowerCosts(t *testing.T) {
	is := is.New(t)
	p := &Planner{}
	classes := testClasses(0.5)
	state := rejectingServices(0.45)
	used := slotsUsed(classes, map[routing.RouteName]float64{"browse": 0.5, "commit": 0.5, "check": 0.8}, "deep")
	deep := state["deep"]
	deep.Running = used * (1 - deep.RejectedFraction)
	state["deep"] = deep
	for range 40 {
		p.Plan(classes, state)
	}
	is.True(p.calibrations["deep"].costRatio(deep) > 0.9)
}

package shedding

import (
	"maps"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// testClasses is the load pattern of a deep service that is nearly full. Browse
// calls it through the front service and commit through the desk service, check
// calls it directly, and issue does not use it.
func testClasses(load float64) []Class {
	return []Class{
		{Route: "browse", Priority: 2, Rate: 90 * load, Cost: map[fleet.ServiceName]float64{"front": 0.4, "deep": 0.32}},
		{Route: "commit", Priority: 0, Rate: 38 * load, Cost: map[fleet.ServiceName]float64{"desk": 0.4, "deep": 0.32}},
		{Route: "check", Priority: 2, Rate: 15 * load, Cost: map[fleet.ServiceName]float64{"deep": 0.13}},
		{Route: "issue", Priority: 0, Rate: 34 * load, Cost: map[fleet.ServiceName]float64{"box": 0.11}},
	}
}

var services = map[fleet.ServiceName]Service{
	"front": {Slots: 204, Running: 40}, "desk": {Slots: 204, Running: 30}, "box": {Slots: 204, Running: 10}, "deep": {Slots: 51, Running: 47},
}

func slotsUsed(classes []Class, fractions map[routing.RouteName]float64, s fleet.ServiceName) float64 {
	sum := 0.0
	for _, c := range classes {
		sum += fractions[c.Route] * c.Rate * c.Cost[s]
	}
	return sum
}

func TestLowLoadIsFullyAdmitted(t *testing.T) {
	is := is.New(t)
	for route, fraction := range (&Planner{}).Plan(testClasses(0.5), services) {
		is.True(fraction > 0.999)
		_ = route
	}
}

// Overloads from slight to extreme: the deep service is filled but not
// overfilled, urgent classes are admitted before others, every class keeps its
// floor while all floors fit, and the class that does not use the deep service
// is admitted whole.
func TestOverload(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{1.2, 1.7, 3, 4} {
		classes := testClasses(load)
		fractions := (&Planner{}).Plan(classes, services)
		used := slotsUsed(classes, fractions, "deep")
		is.True(used <= 51*TargetUtilisation+1e-6)
		is.True(used >= 51*TargetUtilisation*0.99)
		is.True(math.Abs(fractions["issue"]-1) < 1e-9)
		is.True(fractions["commit"] >= fractions["browse"])
		is.True(fractions["check"] >= fractions["browse"])
		is.True(fractions["browse"] >= min(floorFraction, maxFloorsFraction*51*TargetUtilisation/slotsUsed(classes, map[routing.RouteName]float64{"browse": 1, "commit": 1, "check": 1}, "deep"))-1e-9)
	}
}

// simulatedService simulates the deep service: work arrives some steps after
// its requests were admitted, and calls without a free slot wait.
type simulatedService struct {
	planner Planner
	// costFactor is the work that arrives as a multiple of the reported costs.
	costFactor float64
	knownLoad  float64
	waiting    float64
	fractions  []map[routing.RouteName]float64
}

// step makes a plan and returns the slots in use after it. The planner learns
// of load changes only gradually.
func (s *simulatedService) step(load float64) (running float64) {
	const slots, slotSeconds, learningRate = 51, 0.04, 0.25
	s.knownLoad += learningRate * (load - s.knownLoad)
	arriving := s.costFactor * slotsUsed(testClasses(load), s.fractions[max(0, len(s.fractions)-1-admissionLagSteps)], "deep")
	running = min(slots, arriving+s.waiting*slotSeconds/PlanInterval.Seconds())
	s.waiting = max(0, s.waiting+(arriving-running)*PlanInterval.Seconds()/slotSeconds)
	state := maps.Clone(services)
	state["deep"] = Service{Slots: slots, Running: running, Waiting: s.waiting, MeanSlotSeconds: slotSeconds}
	s.fractions = append(s.fractions, s.planner.Plan(testClasses(s.knownLoad), state))
	return running
}

func newSimulatedService(load, costFactor float64) *simulatedService {
	return &simulatedService{costFactor: costFactor, knownLoad: load, fractions: []map[routing.RouteName]float64{{"browse": 1, "commit": 1, "check": 1, "issue": 1}}}
}

// Reported costs are inaccurate: whether they are too high or too low, the work
// that arrives stays near the target.
func TestInaccurateCosts(t *testing.T) {
	is := is.New(t)
	for _, costFactor := range []float64{0.8, 1, 1.4} {
		s := newSimulatedService(2, costFactor)
		running := 0.0
		for range 100 {
			running = s.step(2)
		}
		is.True(running > 0.9*51*TargetUtilisation)
		is.True(s.waiting < 51)
	}
}

// Demand reports show a surge late, so calls queue before the plan reacts. The
// backlog must drain within the 5 s that the users allow, and the slots must
// stay in use meanwhile and afterwards: a backlog does not mean that the
// reported costs are wrong.
func TestSurgeBacklogDrains(t *testing.T) {
	is := is.New(t)
	s := newSimulatedService(0.8, 1)
	for range 40 {
		s.step(0.8)
	}
	for i := range 60 {
		running := s.step(3)
		if elapsed := time.Duration(i) * PlanInterval; elapsed > 2*time.Second {
			is.True(running > 0.85*51*TargetUtilisation)
		}
		if elapsed := time.Duration(i) * PlanInterval; elapsed > 5*time.Second {
			is.True(s.waiting < 51)
		}
	}
}

// A service without known instances admits no request that needs it and does
// not affect other requests.
func TestServiceWithoutInstances(t *testing.T) {
	is := is.New(t)
	withoutDeep := maps.Clone(services)
	delete(withoutDeep, "deep")
	fractions := (&Planner{}).Plan(testClasses(1), withoutDeep)
	is.Equal(fractions["browse"], 0.0)
	is.True(fractions["issue"] > 0.999)
}

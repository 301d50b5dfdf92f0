package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// bottleneckUtilisation is the fraction of its slots that the bottleneck of a
	// random graph uses under the usual load, idleUtilisation that of all others.
	bottleneckUtilisation, idleUtilisation = 0.85, 0.1
	// minSlots is the smallest number of slots per instance, so that services with
	// little load can run calls at all.
	minSlots = 6
)

// RandomCallGraph returns a call graph that depends on the seed alone. It has four
// to eight services, calls up to as deep as there are services, three to six
// classes of client requests, and one service that is nearly full.
func RandomCallGraph(seed uint64) *CallGraph {
	r := rand.New(rand.NewPCG(seed, 1))
	g := &CallGraph{Name: fmt.Sprintf("random-%d", seed), DataCentres: 2 + r.IntN(3)}
	depth := 4 + r.IntN(5)
	for i := range depth {
		g.Services = append(g.Services, &Service{
			Name: fleet.ServiceName(fmt.Sprintf("service-%d", i)), Instances: 2 + r.IntN(4), WorkFactors: []float64{0.6 + 0.4*r.Float64(), 1, 1 + 0.5*r.Float64()},
		})
		g.Classes = append(g.Classes, childClass(r, i, depth))
	}
	for i := range 3 + r.IntN(4) {
		g.Classes = append(g.Classes, rootClass(r, i, depth))
	}
	g.setSlots(r.IntN(depth/2) + depth/2)
	return g
}

func childName(i int) routing.RouteName { return routing.RouteName(fmt.Sprintf("call-%d", i)) }

func childClass(r *rand.Rand, i, depth int) *Class {
	c := &Class{
		Name: childName(i), Service: fleet.ServiceName(fmt.Sprintf("service-%d", i)), Priority: 2,
		TargetLatency: 300 * time.Millisecond, Timeout: 2 * time.Second, Work: time.Duration(5+r.IntN(25)) * time.Millisecond, Spread: 0.5,
	}
	if next := i + 1 + r.IntN(2); next < depth {
		c.Calls = append(c.Calls, ChildCalls{Class: childName(next), Count: 1 + r.IntN(3)})
		c.Parallel = r.IntN(2) == 0
	}
	return c
}

func rootClass(r *rand.Rand, i, depth int) *Class {
	serviceIndex := r.IntN(depth)
	c := &Class{
		Name: routing.RouteName(fmt.Sprintf("request-%d", i)), Service: fleet.ServiceName(fmt.Sprintf("service-%d", serviceIndex)),
		Rate: 10 + 120*r.Float64(), Priority: r.IntN(3), Worth: 1, LateWorth: 0.3, MaxRetries: 1,
		TargetLatency: 1500 * time.Millisecond, Timeout: 5 * time.Second, Work: time.Duration(30+r.IntN(120)) * time.Millisecond, Spread: 0.4,
	}
	if c.Priority == 0 {
		c.Worth = 3
	}
	if next := serviceIndex + 1; next < depth {
		c.Calls = append(c.Calls, ChildCalls{Class: childName(next), Count: 1 + r.IntN(2)})
	}
	return c
}

// setSlots sets the slots of all services so that the one with the given index is
// nearly full under the usual load.
func (g *CallGraph) setSlots(bottleneck int) {
	slotsUsed := map[fleet.ServiceName]float64{}
	for _, c := range g.Classes {
		for name, cost := range g.Cost(c) {
			slotsUsed[name] += c.Rate * cost
		}
	}
	for i, v := range g.Services {
		utilisation := idleUtilisation
		if i == bottleneck {
			utilisation = bottleneckUtilisation
		}
		v.Slots = max(minSlots, int(slotsUsed[v.Name]/utilisation/float64(v.Instances)))
	}
}

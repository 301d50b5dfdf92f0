package survey

import (
	"maps"
	"slices"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// microseconds is their number in a second.
const microseconds = 1e6

// status is what this node says of itself.
func (s *Survey) status() *linkrpc.Status {
	status := &linkrpc.Status{Node: string(s.Self), Service: string(s.Service), Load: s.Load()}
	calls := s.graph.CallsPerExecution()
	costs := s.costs()
	for name, r := range s.routes {
		if r.offered > leastRate {
			status.Offers = append(status.Offers, &linkrpc.Offer{Route: string(name), Rate: float32(r.offered)})
		}
		if r.held == 0 || r.rate < leastRate {
			continue
		}
		whole := s.wholeCost(r, calls[name], costs)
		for service, cost := range whole {
			status.Costs = append(status.Costs, &linkrpc.Cost{
				Route: string(name), Service: string(service), SlotUs: uint32(min(cost, mostCost.Seconds()) * microseconds), Weight: float32(r.rate),
			})
		}
	}
	return status
}

// wholeCost adds the calls that one run makes to the time it holds its own slot.
func (s *Survey) wholeCost(r *routeStats, calls map[routing.RouteName]float64, costs map[routing.RouteName]Costs) Costs {
	whole := Costs{s.Service: r.held.Seconds()}
	for _, callee := range slices.Sorted(maps.Keys(calls)) {
		for service, cost := range costs[callee] {
			whole[service] += calls[callee] * cost
		}
	}
	return whole
}

// costs averages what nodes say of each route, by how many runs it rests on.
func (s *Survey) costs() map[routing.RouteName]Costs {
	sums := map[routing.RouteName]Costs{}
	weights := map[routing.RouteName]float64{}
	now := s.Clock.Now()
	for _, node := range slices.Sorted(maps.Keys(s.reports)) {
		r := s.reports[node]
		if now.Sub(r.at) > forgetReport {
			continue
		}
		s.sum(r.status, sums, weights)
	}
	for name, c := range sums {
		for service := range c {
			c[service] /= weights[name]
		}
	}
	return sums
}

func (s *Survey) sum(status *linkrpc.Status, sums map[routing.RouteName]Costs, weights map[routing.RouteName]float64) {
	seen := map[routing.RouteName]bool{}
	for _, c := range status.Costs {
		name, w := routing.RouteName(c.Route), float64(c.Weight)
		if sums[name] == nil {
			sums[name] = Costs{}
		}
		sums[name][fleet.ServiceName(c.Service)] += w * float64(c.SlotUs) / microseconds
		if !seen[name] {
			seen[name] = true
			weights[name] += w
		}
	}
}

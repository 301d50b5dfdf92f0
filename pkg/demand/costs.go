package demand

import (
	"maps"
	"slices"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const microsecondsPerSecond = 1e6

// localStatus returns the report on this node that is sent to peers.
func (m *Monitor) localStatus() *linkrpc.Status {
	local := &linkrpc.Status{Node: string(m.LocalNode), Service: string(m.Service), Load: m.Load()}
	calls := m.callGraph.CallsPerExecution()
	costs := m.meanCosts()
	for name, stats := range m.routes {
		if stats.arrivalRate > minReportedPerSecond {
			local.Offers = append(local.Offers, &linkrpc.Offer{Route: string(name), Rate: float32(stats.arrivalRate)})
		}
		if stats.meanSlotTime == 0 || stats.executionRate < minReportedPerSecond {
			continue
		}
		total := m.totalCost(stats, calls[name], costs)
		for service, cost := range total {
			local.Costs = append(local.Costs, &linkrpc.Cost{
				Route: string(name), Service: string(service), SlotUs: uint32(min(cost, maxCost.Seconds()) * microsecondsPerSecond), Weight: float32(stats.executionRate),
			})
		}
	}
	return local
}

// totalCost adds the cost of the calls that one execution makes to the time
// that it holds its own slot.
func (m *Monitor) totalCost(stats *routeStats, calls map[routing.RouteName]float64, costs map[routing.RouteName]Costs) Costs {
	total := Costs{m.Service: stats.meanSlotTime.Seconds()}
	for _, callee := range slices.Sorted(maps.Keys(calls)) {
		for service, cost := range costs[callee] {
			total[service] += calls[callee] * cost
		}
	}
	return total
}

// meanCosts returns the mean of the costs that nodes report for each route,
// weighted by the reported execution rates. Expired reports are ignored.
func (m *Monitor) meanCosts() map[routing.RouteName]Costs {
	sums := map[routing.RouteName]Costs{}
	weights := map[routing.RouteName]float64{}
	now := m.Clock.Now()
	for _, node := range slices.Sorted(maps.Keys(m.reports)) {
		r := m.reports[node]
		if now.Sub(r.receivedAt) > reportLifetime {
			continue
		}
		m.addCosts(r.status, sums, weights)
	}
	for name, c := range sums {
		for service := range c {
			c[service] /= weights[name]
		}
	}
	return sums
}

func (m *Monitor) addCosts(status *linkrpc.Status, sums map[routing.RouteName]Costs, weights map[routing.RouteName]float64) {
	seen := map[routing.RouteName]bool{}
	for _, c := range status.Costs {
		name, w := routing.RouteName(c.Route), float64(c.Weight)
		if sums[name] == nil {
			sums[name] = Costs{}
		}
		sums[name][fleet.ServiceName(c.Service)] += w * float64(c.SlotUs) / microsecondsPerSecond
		if !seen[name] {
			seen[name] = true
			weights[name] += w
		}
	}
}

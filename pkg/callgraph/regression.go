package callgraph

import (
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// descentSweeps is the number of iterations of the coordinate descent.
	descentSweeps = 30
	// ridgePenalty keeps the estimates for routes with few executions near
	// zero.
	ridgePenalty = 1.0
	// minEstimateFraction is the fraction of the largest estimate for a callee
	// below which a route is assumed not to call it, because execution counts
	// vary by chance.
	minEstimateFraction = 0.3
	// meanWeight is the weight of the newest window in the mean counts.
	// Subtracting these means removes slow changes of traffic, which are common
	// to all routes and do not identify callers.
	meanWeight = 0.1
	// warmupWindows is the number of windows used only to initialise the means.
	warmupWindows = 8
	// productDecay is the factor applied to the products after each window.
	productDecay = 0.995
)

// regression estimates calls per execution from the counts in many short
// windows, by non-negative least squares. It serves calls that do not expire
// together with the execution that made them.
type regression struct {
	// executions and calls are the counts in the present window.
	executions, calls map[routing.RouteName]float64
	// meanExecutions and meanCalls are the smoothed mean counts of a window.
	meanExecutions, meanCalls map[routing.RouteName]float64
	closedWindows             int
	// executionProducts and callProducts are decaying sums over all windows of
	// products of deviations from the means: executionProducts for two calling
	// routes, callProducts for a calling and a called route.
	executionProducts, callProducts map[pair]float64
}

func newRegression() regression {
	return regression{
		executions: map[routing.RouteName]float64{}, calls: map[routing.RouteName]float64{},
		meanExecutions: map[routing.RouteName]float64{}, meanCalls: map[routing.RouteName]float64{},
		executionProducts: map[pair]float64{}, callProducts: map[pair]float64{},
	}
}

// endWindow ends the present window.
func (r *regression) endWindow() {
	r.closedWindows++
	executions, calls := updateDeviations(r.executions, r.meanExecutions), updateDeviations(r.calls, r.meanCalls)
	clear(r.executions)
	clear(r.calls)
	if r.closedWindows <= warmupWindows {
		return
	}
	decay(r.executionProducts, productDecay)
	decay(r.callProducts, productDecay)
	for a, x := range executions {
		for b, y := range executions {
			r.executionProducts[pair{a, b}] += x * y
		}
		for q, y := range calls {
			r.callProducts[pair{a, q}] += x * y
		}
	}
}

// updateDeviations returns the deviations of the counts from their means, and
// updates the means.
func updateDeviations(counts, means map[routing.RouteName]float64) map[routing.RouteName]float64 {
	for name, n := range counts {
		if _, found := means[name]; !found {
			means[name] = n
		}
	}
	deviations := map[routing.RouteName]float64{}
	for name, mean := range means {
		d := counts[name] - mean
		deviations[name] = d
		if means[name] += meanWeight * d; means[name] < minCount && counts[name] == 0 {
			delete(means, name)
		}
	}
	return deviations
}

// solve returns the non-negative numbers of calls to the callee, for one
// execution of each caller, that fit the windows best, up to a common factor.
// It solves twice: the second time without the callers whose first estimate is
// negligible.
func (r *regression) solve(callers []routing.RouteName, callee routing.RouteName) map[routing.RouteName]float64 {
	callCounts := r.coordinateDescent(callers, callee)
	largest := 0.0
	for _, v := range callCounts {
		largest = max(largest, v)
	}
	var kept []routing.RouteName
	for _, a := range callers {
		if callCounts[a] >= minEstimateFraction*largest && callCounts[a] > 0 {
			kept = append(kept, a)
		}
	}
	return r.coordinateDescent(kept, callee)
}

func (r *regression) coordinateDescent(callers []routing.RouteName, callee routing.RouteName) map[routing.RouteName]float64 {
	callCounts := map[routing.RouteName]float64{}
	for range descentSweeps {
		for _, a := range callers {
			residual := r.callProducts[pair{a, callee}]
			for _, b := range callers {
				if b != a {
					residual -= r.executionProducts[pair{a, b}] * callCounts[b]
				}
			}
			callCounts[a] = max(0, residual/(r.executionProducts[pair{a, a}]+ridgePenalty))
		}
	}
	return callCounts
}

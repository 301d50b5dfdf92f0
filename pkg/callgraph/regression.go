package callgraph

import (
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// descentSweeps bounds the coordinate descent.
	descentSweeps = 30
	// ridgePenalty keeps routes that hardly ran near zero.
	ridgePenalty = 1.0
	// minEstimateFraction is the part of the largest estimate for a callee below which a
	// route is taken not to call it: counts of runs differ by chance.
	minEstimateFraction = 0.3
	// meanWeight is the weight of a window in the mean that later ones are
	// compared with: slow changes of traffic, common to all routes, tell nothing.
	meanWeight = 0.1
	// warmupWindows is how many windows are seen before any is used.
	warmupWindows = 8
	// productDecay is what remains of the weight of a window after the next one.
	productDecay = 0.995
)

// regression sets the runs and the calls of many short regression against each other,
// for calls that do not expire with the run that makes them.
type regression struct {
	// executions and calls count the present window.
	executions, calls map[routing.RouteName]float64
	// meanExecutions and meanCalls are what a window usually holds.
	meanExecutions, meanCalls map[routing.RouteName]float64
	closedWindows             int
	// executionProducts sums what two routes deviate from their means, callProducts a route and
	// a callee, over all windows.
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

// updateDeviations returns how far the counts are from their means, and moves the means.
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

// solve returns the calls to a route that one run of each caller makes, none
// below 0, that explain the windows best, up to a common factor.
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

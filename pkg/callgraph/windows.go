package callgraph

import (
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// sweeps bounds the coordinate descent.
	sweeps = 30
	// ridge keeps routes that hardly ran near zero.
	ridge = 1.0
	// leastPart is the part of the largest estimate for a callee below which a
	// route is taken not to call it: counts of runs differ by chance.
	leastPart = 0.3
	// meanWeight is the weight of a window in the mean that later ones are
	// compared with: slow changes of traffic, common to all routes, tell nothing.
	meanWeight = 0.1
	// learnWindows is how many windows are seen before any is used.
	learnWindows = 8
	// keepWindow is what remains of the weight of a window after the next one.
	keepWindow = 0.995
)

// windows sets the runs and the calls of many short windows against each other,
// for calls that do not expire with the run that makes them.
type windows struct {
	// runs and calls count the present window.
	runs, calls map[routing.RouteName]float64
	// meanRuns and meanCalls are what a window usually holds.
	meanRuns, meanCalls map[routing.RouteName]float64
	seen                int
	// products sums what two routes deviate from their means, answers a route and
	// a callee, over all windows.
	products, answers map[pair]float64
}

func newWindows() windows {
	return windows{
		runs: map[routing.RouteName]float64{}, calls: map[routing.RouteName]float64{},
		meanRuns: map[routing.RouteName]float64{}, meanCalls: map[routing.RouteName]float64{},
		products: map[pair]float64{}, answers: map[pair]float64{},
	}
}

// close ends the present window.
func (w *windows) close() {
	w.seen++
	runs, calls := deviate(w.runs, w.meanRuns), deviate(w.calls, w.meanCalls)
	clear(w.runs)
	clear(w.calls)
	if w.seen <= learnWindows {
		return
	}
	fade(w.products, keepWindow)
	fade(w.answers, keepWindow)
	for a, x := range runs {
		for b, y := range runs {
			w.products[pair{a, b}] += x * y
		}
		for q, y := range calls {
			w.answers[pair{a, q}] += x * y
		}
	}
}

// deviate returns how far the counts are from their means, and moves the means.
func deviate(counts, means map[routing.RouteName]float64) map[routing.RouteName]float64 {
	for name, n := range counts {
		if _, known := means[name]; !known {
			means[name] = n
		}
	}
	deviations := map[routing.RouteName]float64{}
	for name, mean := range means {
		d := counts[name] - mean
		deviations[name] = d
		if means[name] += meanWeight * d; means[name] < leastSum && counts[name] == 0 {
			delete(means, name)
		}
	}
	return deviations
}

// solve returns the calls to a route that one run of each caller makes, none
// below 0, that explain the windows best, up to a common factor.
func (w *windows) solve(callers []routing.RouteName, callee routing.RouteName) map[routing.RouteName]float64 {
	times := w.descend(callers, callee)
	most := 0.0
	for _, v := range times {
		most = max(most, v)
	}
	var kept []routing.RouteName
	for _, a := range callers {
		if times[a] >= leastPart*most && times[a] > 0 {
			kept = append(kept, a)
		}
	}
	return w.descend(kept, callee)
}

func (w *windows) descend(callers []routing.RouteName, callee routing.RouteName) map[routing.RouteName]float64 {
	times := map[routing.RouteName]float64{}
	for range sweeps {
		for _, a := range callers {
			rest := w.answers[pair{a, callee}]
			for _, b := range callers {
				if b != a {
					rest -= w.products[pair{a, b}] * times[b]
				}
			}
			times[a] = max(0, rest/(w.products[pair{a, a}]+ridge))
		}
	}
	return times
}

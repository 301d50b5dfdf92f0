// Package callgraph learns what one run of each route makes its instance call.
// Calls do not say which run made them. Most expire when that run does: such a
// call is put down to the one route whose runs expire at the same time. Where
// calls have an earlier end of their own, counts of runs and of calls in many
// short windows are set against each other.
package callgraph

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// expiryTolerance is how far the ends of a run and of its calls lie apart at most.
	expiryTolerance = 6 * time.Millisecond
	// chanceOffset is far enough from the end of a run to match it by chance only.
	chanceOffset = 4 * expiryTolerance
	// minMatchedFraction is the part of the calls that must have been matched beyond
	// chance for the others to be shared out like them.
	minMatchedFraction = 0.15
	// countDecay is what remains of the weight of a window after the next one.
	countDecay = 0.987
	// minExecutions is how many runs an estimate needs.
	minExecutions = 3.0
	// minCallsPerExecution is the estimate below which a route is taken not to call another.
	minCallsPerExecution = 0.1
	// minCount is the count below which a route is forgotten.
	minCount = 1e-2
)

type (
	// Execution is one run at the instance. Started returns it and Ended takes it back.
	Execution struct {
		route   routing.RouteName
		expires time.Time
	}

	// pair is a route that runs and one that it calls.
	pair struct{ caller, callee routing.RouteName }

	// Estimator learns the calls per run at one instance. Its zero value works.
	Estimator struct {
		mu         sync.Mutex
		running    map[*Execution]struct{}
		executions map[routing.RouteName]float64
		// calls counts all calls, matched those whose caller was found, chanceMatched those
		// that match at another time as well, made the matched by their caller.
		calls, matched, chanceMatched map[routing.RouteName]float64
		matchedByPair                 map[pair]float64
		regression                    regression
	}
)

// ObserveStart notes a run that the instance stops working on at a time.
func (e *Estimator) ObserveStart(route routing.RouteName, expires time.Time) *Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		e.running, e.executions = map[*Execution]struct{}{}, map[routing.RouteName]float64{}
		e.calls, e.matched, e.matchedByPair = map[routing.RouteName]float64{}, map[routing.RouteName]float64{}, map[pair]float64{}
		e.chanceMatched, e.regression = map[routing.RouteName]float64{}, newRegression()
	}
	x := &Execution{route: route, expires: expires}
	e.running[x] = struct{}{}
	e.executions[route]++
	e.regression.executions[route]++
	return x
}

// ObserveEnd notes the end of a run.
func (e *Estimator) ObserveEnd(x *Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, x)
}

// ObserveCall notes a call of the instance that expires at a time.
func (e *Estimator) ObserveCall(route routing.RouteName, expires time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return
	}
	e.calls[route]++
	e.regression.calls[route]++
	if caller, found := e.findCaller(expires); found {
		e.matched[route]++
		e.matchedByPair[pair{caller, route}]++
	}
	// What matches where no run of this call ends does so by chance.
	for _, d := range []time.Duration{chanceOffset, -chanceOffset} {
		if _, found := e.findCaller(expires.Add(d)); found {
			e.chanceMatched[route] += 0.5
		}
	}
}

// findCaller returns the one route whose runs expire at a time.
func (e *Estimator) findCaller(expires time.Time) (routing.RouteName, bool) {
	var name routing.RouteName
	found := false
	for x := range e.running {
		if difference := x.expires.Sub(expires); difference > expiryTolerance || difference < -expiryTolerance {
			continue
		}
		if found && x.route != name {
			return "", false
		}
		name, found = x.route, true
	}
	return name, found
}

// EndWindow lets what was learned so far fade.
func (e *Estimator) EndWindow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return
	}
	e.regression.endWindow()
	for _, sums := range []map[routing.RouteName]float64{e.executions, e.calls, e.matched, e.chanceMatched} {
		decay(sums, countDecay)
	}
	decay(e.matchedByPair, countDecay)
}

func decay[K comparable](sums map[K]float64, factor float64) {
	for k, v := range sums {
		if v *= factor; math.Abs(v) < minCount {
			delete(sums, k)
		} else {
			sums[k] = v
		}
	}
}

// MatchedFractions returns the part of the calls to each route whose caller was found
// beyond chance.
func (e *Estimator) MatchedFractions() map[routing.RouteName]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	fractions := map[routing.RouteName]float64{}
	for route, calls := range e.calls {
		fractions[route] = (e.matched[route] - e.chanceMatched[route]) / calls
	}
	return fractions
}

// CallsPerExecution returns, for each route, how often a run of it calls others.
func (e *Estimator) CallsPerExecution() map[routing.RouteName]map[routing.RouteName]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimates := map[routing.RouteName]map[routing.RouteName]float64{}
	var callers []routing.RouteName
	for caller, executions := range e.executions {
		if executions >= minExecutions {
			callers = append(callers, caller)
			estimates[caller] = map[routing.RouteName]float64{}
		}
	}
	slices.Sort(callers)
	for callee, calls := range e.calls {
		for caller, callCount := range e.estimateCalls(callers, callee, calls) {
			if callCount >= minCallsPerExecution {
				estimates[caller][callee] = callCount
			}
		}
	}
	return estimates
}

// estimateCalls returns how often a run of each caller calls one route.
func (e *Estimator) estimateCalls(callers []routing.RouteName, callee routing.RouteName, calls float64) map[routing.RouteName]float64 {
	if e.matched[callee]-e.chanceMatched[callee] < minMatchedFraction*calls {
		return e.scaleToTotal(e.regression.solve(callers, callee), callers, calls)
	}
	callCounts := map[routing.RouteName]float64{}
	for _, caller := range callers {
		callCounts[caller] = e.matchedByPair[pair{caller, callee}] / e.executions[caller] * calls / e.matched[callee]
	}
	return callCounts
}

// scaleToTotal brings estimates to the number of calls seen. Without any estimate all
// callers are taken for the same.
func (e *Estimator) scaleToTotal(callCounts map[routing.RouteName]float64, callers []routing.RouteName, calls float64) map[routing.RouteName]float64 {
	explained := 0.0
	for _, caller := range callers {
		explained += callCounts[caller] * e.executions[caller]
	}
	if explained <= 0 {
		for _, caller := range callers {
			callCounts[caller] = 1
			explained += e.executions[caller]
		}
	}
	for caller := range callCounts {
		callCounts[caller] *= calls / max(explained, 1)
	}
	return callCounts
}

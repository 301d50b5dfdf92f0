// Package callgraph estimates how many calls to each route the instance makes
// per execution of a route. Calls do not say which execution made them. Most
// calls expire together with the execution that made them, so a call is
// attributed to the only route with executions that expire at the same time.
// Where calls expire earlier, the estimate comes from a regression of call
// counts on execution counts over many short windows.
package callgraph

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// expiryTolerance is the largest difference between the expiry of an
	// execution and that of its calls.
	expiryTolerance = 6 * time.Millisecond
	// chanceOffset is far enough from the expiry of an execution that a call
	// matches it by chance only.
	chanceOffset = 4 * expiryTolerance
	// minMatchedFraction is the fraction of the calls to a route that must have
	// been matched, beyond chance, for the unmatched calls to be attributed in
	// the same proportions.
	minMatchedFraction = 0.15
	// countDecay is the factor applied to the counts after each window.
	countDecay = 0.987
	// minExecutions is the number of executions that an estimate needs.
	minExecutions = 3.0
	// minCallsPerExecution is the estimate below which a route is assumed not
	// to call another one.
	minCallsPerExecution = 0.1
	// minCount is the count below which an entry is dropped.
	minCount = 1e-2
)

type (
	// Run describes an execution at the instance.
	Run struct {
		Route routing.RouteName
		// Expires is when the instance abandons the execution.
		Expires time.Time
		// Priority is lower for more urgent executions.
		Priority uint32
		// Repeat reports whether the execution repeats an earlier attempt.
		Repeat bool
	}

	// Execution is one execution at the instance, from ObserveStart to
	// ObserveEnd.
	Execution struct {
		route    routing.RouteName
		expires  time.Time
		priority uint32
		repeat   bool
		// calls counts the calls to each route that are certainly its own.
		calls map[routing.RouteName]int
	}

	// pair is a calling route and the route that it calls or, in
	// executionProducts, two calling routes.
	pair struct{ caller, callee routing.RouteName }

	// Estimator estimates the calls per execution at one instance. The zero
	// value is ready to use. It is safe for concurrent use.
	Estimator struct {
		// mu guards all other fields.
		mu         sync.Mutex
		running    map[*Execution]struct{}
		executions map[routing.RouteName]float64
		// calls counts all calls, matched the calls whose caller was found, and
		// chanceMatched the calls that also match at a shifted expiry.
		// matchedByPair counts the matched calls by caller and callee.
		calls, matched, chanceMatched map[routing.RouteName]float64
		matchedByPair                 map[pair]float64
		// lengths holds the number of calls in the longest of the recent
		// executions, by caller and callee.
		lengths    map[pair]float64
		regression regression
	}
)

// ObserveStart records the start of an execution that the instance abandons at
// the given expiry.
func (e *Estimator) ObserveStart(route routing.RouteName, expires time.Time) *Execution {
	return e.ObserveRun(Run{Route: route, Expires: expires})
}

// ObserveRun records the start of an execution.
func (e *Estimator) ObserveRun(r Run) *Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		e.running, e.executions = map[*Execution]struct{}{}, map[routing.RouteName]float64{}
		e.calls, e.matched, e.matchedByPair = map[routing.RouteName]float64{}, map[routing.RouteName]float64{}, map[pair]float64{}
		e.chanceMatched, e.regression, e.lengths = map[routing.RouteName]float64{}, newRegression(), map[pair]float64{}
	}
	x := &Execution{route: r.Route, expires: r.Expires, priority: r.Priority, repeat: r.Repeat}
	e.running[x] = struct{}{}
	e.executions[r.Route]++
	e.regression.executions[r.Route]++
	return x
}

// ObserveEnd records the end of an execution.
func (e *Estimator) ObserveEnd(x *Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.running, x)
}

// ObserveCall records a call made by the instance, with its expiry. It returns
// what is known of the execution that makes it.
func (e *Estimator) ObserveCall(route routing.RouteName, expires time.Time) Caller {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running == nil {
		return Caller{}
	}
	e.calls[route]++
	e.regression.calls[route]++
	matches := e.matches(expires)
	if name, found := onlyRoute(matches); found {
		e.matched[route]++
		e.matchedByPair[pair{name, route}]++
	}
	// The caller does not expire at the shifted times, so a match there is due
	// to chance.
	for _, d := range []time.Duration{chanceOffset, -chanceOffset} {
		if _, found := onlyRoute(e.matches(expires.Add(d))); found {
			e.chanceMatched[route] += 0.5
		}
	}
	return e.identify(matches, route)
}

// matches returns the executions that expire at the given time.
func (e *Estimator) matches(expires time.Time) []*Execution {
	var matches []*Execution
	for x := range e.running {
		if difference := x.expires.Sub(expires); difference <= expiryTolerance && difference >= -expiryTolerance {
			matches = append(matches, x)
		}
	}
	return matches
}

// onlyRoute returns the route of the executions. It returns false if there is
// none or more than one.
func onlyRoute(executions []*Execution) (routing.RouteName, bool) {
	var name routing.RouteName
	for i, x := range executions {
		if i > 0 && x.route != name {
			return "", false
		}
		name = x.route
	}
	return name, len(executions) > 0
}

// EndWindow ends the present window and applies the decay to all counts. Call
// it at regular intervals.
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
	decay(e.lengths, countDecay)
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

// MatchedFractions returns, for each called route, the fraction of the calls
// whose caller was found, less the matches expected by chance.
func (e *Estimator) MatchedFractions() map[routing.RouteName]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	fractions := map[routing.RouteName]float64{}
	for route, calls := range e.calls {
		fractions[route] = (e.matched[route] - e.chanceMatched[route]) / calls
	}
	return fractions
}

// CallsPerExecution returns, for each route, how many calls to each other route
// one execution makes.
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

// estimateCalls returns how many calls to one route an execution of each caller
// makes.
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

// scaleToTotal scales the estimates to the number of calls observed. If there
// are no estimates, all callers are assumed to make equally many calls.
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

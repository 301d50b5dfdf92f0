// Package callgraph learns what one run of each route makes its instance call.
// Calls do not say which run made them, but they expire when that run does: a
// call is put down to the one route whose runs expire at the same time.
package callgraph

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// slack is how far the ends of a run and of its calls lie apart at most.
	slack = 6 * time.Millisecond
	// forget is what remains of the weight of a window after the next one.
	forget = 0.95
	// leastRuns is how many runs an estimate needs.
	leastRuns = 3.0
	// leastCalls is the estimate below which a route is taken not to call another.
	leastCalls = 0.1
	// leastSum is the count below which a route is forgotten.
	leastSum = 1e-2
)

type (
	// Run is one run at the instance. Started returns it and Ended takes it back.
	Run struct {
		route   routing.RouteName
		expires time.Time
	}

	// pair is a route that runs and one that it calls.
	pair struct{ caller, callee routing.RouteName }

	// Learner learns the calls per run at one instance. Its zero value works.
	Learner struct {
		mu      sync.Mutex
		running map[*Run]struct{}
		runs    map[routing.RouteName]float64
		// calls counts all calls, matched those whose caller was found, made the
		// latter by their caller.
		calls, matched map[routing.RouteName]float64
		made           map[pair]float64
	}
)

// Started notes a run that the instance stops working on at a time.
func (l *Learner) Started(route routing.RouteName, expires time.Time) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		l.running, l.runs = map[*Run]struct{}{}, map[routing.RouteName]float64{}
		l.calls, l.matched, l.made = map[routing.RouteName]float64{}, map[routing.RouteName]float64{}, map[pair]float64{}
	}
	r := &Run{route: route, expires: expires}
	l.running[r] = struct{}{}
	l.runs[route]++
	return r
}

// Ended notes the end of a run.
func (l *Learner) Ended(r *Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, r)
}

// Called notes a call of the instance that expires at a time.
func (l *Learner) Called(route routing.RouteName, expires time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running == nil {
		return
	}
	l.calls[route]++
	if caller, found := l.caller(expires); found {
		l.matched[route]++
		l.made[pair{caller, route}]++
	}
}

// caller returns the one route whose runs expire at a time.
func (l *Learner) caller(expires time.Time) (routing.RouteName, bool) {
	var name routing.RouteName
	found := false
	for r := range l.running {
		if off := r.expires.Sub(expires); off > slack || off < -slack {
			continue
		}
		if found && r.route != name {
			return "", false
		}
		name, found = r.route, true
	}
	return name, found
}

// Window lets what was learned so far fade.
func (l *Learner) Window() {
	l.mu.Lock()
	defer l.mu.Unlock()
	fade(l.runs)
	fade(l.calls)
	fade(l.matched)
	fade(l.made)
}

func fade[K comparable](sums map[K]float64) {
	for k, v := range sums {
		if v *= forget; v < leastSum {
			delete(sums, k)
		} else {
			sums[k] = v
		}
	}
}

// CallsPerRun returns, for each route, how often a run of it calls others.
// Calls whose caller was not found are shared out like those whose caller was.
func (l *Learner) CallsPerRun() map[routing.RouteName]map[routing.RouteName]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	estimate := map[routing.RouteName]map[routing.RouteName]float64{}
	for p, made := range l.made {
		runs := l.runs[p.caller]
		if runs < leastRuns || l.matched[p.callee] <= 0 {
			continue
		}
		times := made / runs * l.calls[p.callee] / l.matched[p.callee]
		if times < leastCalls {
			continue
		}
		if estimate[p.caller] == nil {
			estimate[p.caller] = map[routing.RouteName]float64{}
		}
		estimate[p.caller][p.callee] = times
	}
	return estimate
}

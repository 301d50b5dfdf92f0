// Package retrybudget decides which calls may use the retry budget of a service
// when it does not suffice for all. It answers the load pattern in which a service
// deep in the call graph rejects a large part of its calls for some seconds, and
// each run of a caller makes several calls to it one after the other. Retries that
// are spent evenly then go mostly to first calls of runs that fail later. The
// calls with the fewest calls of their run to follow come first, as a run that is
// nearly complete gains most from a retry.
package retrybudget

const (
	// levelCount is the number of levels by which calls are ordered. Calls beyond the
	// last one belong to it.
	levelCount = 16
	// priorityWeight is the number of following calls that one step of priority is
	// worth. With a larger number, less urgent runs complete only once all urgent ones
	// are served; with 0, urgent runs do not complete more often than others.
	priorityWeight = 1
	// unknownLevel is the level of calls whose run is not known, below the last calls
	// of runs and above the first ones.
	unknownLevel = 2
	// windowRequests is the number of requests over which the demand for retries is
	// averaged. A shortage lasts seconds, in which a node sends hundreds of calls.
	windowRequests = 200.0
	// sharedCapacityFraction is the fraction of its capacity that a budget must hold
	// before the level that gets only a part of its demand may use a token, and
	// idleCapacityFraction the one above which calls of any level may, as the tokens would
	// be lost.
	sharedCapacityFraction = 0.5
	idleCapacityFraction   = 0.9
	// minReservedCapacity is the capacity below which a budget reserves no tokens: a
	// budget of one token would always be either empty or full.
	minReservedCapacity = 2.0
	// negligibleDemand is the demand for which no tokens are reserved.
	negligibleDemand = 0.5
	// maxCredit bounds the retries that the level with a part of its demand saves.
	maxCredit = 2.0
)

// Call describes a call that asks for a retry.
type Call struct {
	// Known reports whether the run that makes the call, and so Remaining, is known.
	Known bool
	// Remaining is the number of calls to the service that the run makes after this one.
	Remaining int
	// Priority is lower for more urgent calls.
	Priority uint32
}

// Allocator decides which calls may use the retry budget of one service. The zero
// value is ready to use. It is not safe for concurrent use.
type Allocator struct {
	// earned is the number of tokens earned, and demand the number of retries asked for
	// by level, both in the last requests. Older ones count less.
	earned float64
	demand [levelCount]float64
	// credit is the part of a retry that calls of the level that gets only a part of
	// its demand have saved.
	credit float64
}

// Earn records the tokens that a request has earned. It must be called for each
// request for the service.
func (a *Allocator) Earn(tokens float64) {
	const decay = 1 - 1/windowRequests
	a.earned = a.earned*decay + tokens
	for i := range a.demand {
		a.demand[i] *= decay
	}
}

// Charge records tokens that were deducted without a request for a retry.
func (a *Allocator) Charge(tokens float64) { a.earned = max(0, a.earned-tokens) }

// Allows reports whether a call may use a token of a budget that holds the given
// number of tokens of its capacity. It must be called for each call that asks for a retry,
// also while there is no token. Every call may while the budget earns
// what was asked for lately, and while no calls were rejected that come before it.
func (a *Allocator) Allows(c Call, tokens, capacity float64) bool {
	level := levelOf(c)
	a.demand[level]++
	preceding := 0.0
	for _, demand := range a.demand[:level] {
		preceding += demand
	}
	demand, supply := a.demand[level], a.earned-preceding
	reserves := capacity >= minReservedCapacity
	switch {
	case preceding < negligibleDemand, demand <= supply:
		return true
	case reserves && tokens > max(capacity*idleCapacityFraction, minReservedCapacity):
		return true
	case supply <= 0, reserves && tokens < capacity*sharedCapacityFraction:
		return false
	}
	a.credit = min(a.credit+supply/demand, maxCredit)
	if a.credit < 1 || tokens < 1 {
		return false
	}
	a.credit--
	return true
}

func levelOf(c Call) int {
	level := unknownLevel
	if c.Known {
		level = c.Remaining
	}
	return min(max(level, 0)+int(min(c.Priority, levelCount))*priorityWeight, levelCount-1)
}

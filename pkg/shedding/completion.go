package shedding

import (
	"maps"
	"math"
	"slices"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// retriesPerCall is the number of retries for each call that the retry budget allows.
	retriesPerCall = 0.13
	// returnFraction is the fraction of the requests rejected during a shortage that return
	// after it. They return after up to a third of their time, and a shortage lasts some
	// seconds, so that it is higher for most requests.
	returnFraction = 0.2
	// maxHeldFraction is the largest fraction of a class that is held back because started
	// requests fail: more would serve fewer requests in a shortage without an end.
	maxHeldFraction = 0.5
	// minHeldFraction is the fraction below which all requests are started.
	minHeldFraction = 0.05
	// minCallsOfRequest and maxCallsOfRequest bound the number of calls to one service that
	// the costs of a request indicate.
	minCallsOfRequest = 0.01
	maxCallsOfRequest = 64.0
	// minCompletion bounds the probability that a request completes.
	minCompletion = 1e-6
)

// completableFraction returns the fraction of a class to start while services reject calls
// without executing them, whatever their load. A started request completes with
// probability s, and one that is rejected before its start returns once; the fraction r of
// those returns after the shortage and completes. With the fraction f held back,
//
//	(1-f)s + f((1-r)(1-f)s + r)
//
// of the requests complete, which is highest for f = r(1-s) / (2(1-r)s).
func completableFraction(c Class, services map[fleet.ServiceName]Service) float64 {
	held := returnFraction * (1/completion(c, services) - 1) / (2 * (1 - returnFraction))
	if held < minHeldFraction {
		return 1
	}
	return 1 - min(held, maxHeldFraction)
}

// completion returns the probability that none of the calls that a request of a class makes
// is rejected finally.
func completion(c Class, services map[fleet.ServiceName]Service) float64 {
	probability := 1.0
	for _, name := range slices.Sorted(maps.Keys(c.Cost)) {
		s := services[name]
		if s.RejectedFraction <= 0 {
			continue
		}
		calls := 1.0
		if s.MeanSlotSeconds > 0 {
			calls = min(max(c.Cost[name]/s.MeanSlotSeconds, minCallsOfRequest), maxCallsOfRequest)
		}
		accepted := 1 - s.RejectedFraction
		accepted += accepted * min(s.RejectedFraction, retriesPerCall)
		probability *= math.Pow(accepted, calls)
	}
	return max(probability, minCompletion)
}

package emulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/shedding"
)

const (
	// bucketsPerPriority is the number of levels per priority, among which requests
	// are distributed by a hash of their number.
	bucketsPerPriority = 64
	// levelCount is the number of levels; as a limit it admits all requests.
	levelCount = (lowestPriority + 1) * bucketsPerPriority
	// levelIncrease is the fraction of the offered calls by which an instance
	// raises the number of admitted calls in a tick. levelDecrease is the fraction
	// of the admitted calls by which it lowers it if it is overloaded.
	levelIncrease, levelDecrease = 0.01, 0.05
)

type (
	// instanceState is the state of one instance. It admits calls with levels
	// below limit.
	instanceState struct {
		limit int
		// offered counts the calls offered at each level since the last tick.
		offered [levelCount]int
	}

	// levelStrategy is the strategy in which each instance admits calls by level of
	// importance, which is the same for all calls of a request. Nodes know the
	// limits of the services and reject requests that these would reject. The
	// services of a class are taken from the call graph, not learned.
	levelStrategy struct {
		fleet           *Fleet
		servicesByClass map[*Class][]fleet.ServiceName
		instances       []*instanceState
		// serviceLimits holds the highest limit among the instances of each service
		// at the last tick. All nodes use the same values.
		serviceLimits map[fleet.ServiceName]int
		// priorityByRequest holds the priority of each request, which applies to all
		// of its calls.
		priorityByRequest map[uint64]int
	}
)

func newLevelStrategy(f *Fleet) Hooks {
	l := &levelStrategy{fleet: f, servicesByClass: map[*Class][]fleet.ServiceName{}, priorityByRequest: map[uint64]int{}}
	for _, c := range f.CallGraph.Classes {
		l.servicesByClass[c] = servicesOf(f.CallGraph.Cost(c))
	}
	l.reset()
	return Hooks{Admit: l.admit, AcceptCall: l.acceptCall, OnTick: l.tick, OnRestart: l.reset}
}

func (l *levelStrategy) reset() {
	l.instances, l.serviceLimits = nil, map[fleet.ServiceName]int{}
	for range l.fleet.Nodes {
		l.instances = append(l.instances, &instanceState{limit: levelCount})
	}
	for _, v := range l.fleet.CallGraph.Services {
		l.serviceLimits[v.Name] = levelCount
	}
}

// levelOf returns the level of a request; lower levels are more important.
func (l *levelStrategy) levelOf(request uint64) int {
	var id [8]byte
	for i := range id {
		id[i] = byte(request >> (8 * i))
	}
	return min(l.priorityByRequest[request], lowestPriority)*bucketsPerPriority + int(xxhash.Sum64(id[:])%bucketsPerPriority)
}

func (l *levelStrategy) admit(_ *Node, c *Class, request uint64, remaining time.Duration) (bool, time.Duration) {
	l.priorityByRequest[request] = c.Priority
	for _, name := range l.servicesByClass[c] {
		if l.levelOf(request) >= l.serviceLimits[name] {
			return false, shedding.RetryAfter(float64(l.serviceLimits[name])/levelCount, remaining, l.fleet.random.Float64())
		}
	}
	return true, 0
}

func (l *levelStrategy) acceptCall(n *Node, _ *Class, request uint64) bool {
	instance := l.instances[n.Number]
	requestLevel := l.levelOf(request)
	instance.offered[requestLevel]++
	return requestLevel < instance.limit
}

func (l *levelStrategy) tick() {
	for _, v := range l.fleet.CallGraph.Services {
		l.serviceLimits[v.Name] = 0
	}
	for _, n := range l.fleet.Nodes {
		instance := l.instances[n.Number]
		instance.adjust(n.takeMeanWait() > overloadWait)
		l.serviceLimits[n.Service.Name] = max(l.serviceLimits[n.Service.Name], instance.limit)
	}
}

// adjust sets the limit so that fewer of the offered calls are admitted if the
// instance is overloaded, and more otherwise.
func (s *instanceState) adjust(overloaded bool) {
	total, admitted := 0, 0
	for i, count := range s.offered {
		total += count
		if i < s.limit {
			admitted += count
		}
	}
	target := float64(admitted) + levelIncrease*float64(total)
	if overloaded {
		target = float64(admitted) * (1 - levelDecrease)
	}
	sum, next := 0.0, 0
	for next < levelCount && sum+float64(s.offered[next]) <= target {
		sum += float64(s.offered[next])
		next++
	}
	if !overloaded {
		next = max(next, s.limit+1)
	}
	s.limit = min(max(next, 1), levelCount)
	s.offered = [levelCount]int{}
}

package emulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/shedding"
)

const (
	// bucketsPerPriority divides the requests of one priority by a hash of their id.
	bucketsPerPriority = 64
	// levelCount is above the level of every request.
	levelCount = (lowestPriority + 1) * bucketsPerPriority
	// levelIncrease and levelDecrease change the part of the offered calls that an
	// instance admits each tick.
	levelIncrease, levelDecrease = 0.01, 0.05
)

type (
	// instanceState of an instance: calls of a higher one are turned away.
	instanceState struct {
		limit int
		// offered counts the calls offered at each level since the last tick.
		offered [levelCount]int
	}

	// levelStrategy is the way in which every instance admits calls up to a level of
	// importance, the same for all calls of a request; nodes learn the levelStrategy of
	// the services below and turn requests away themselves. Which services a
	// class needs is given, not learned.
	levelStrategy struct {
		fleet           *Fleet
		servicesByClass map[*Class][]fleet.ServiceName
		instances       []*instanceState
		// serviceLimits is the level of each service as all nodes know it.
		serviceLimits map[fleet.ServiceName]int
		// priorityByRequest of a whole request, which its calls bear too.
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

// adjust lets fewer or more of the calls through that were offered.
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

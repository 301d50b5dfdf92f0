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
	// admissionLevel of an instance: calls of a higher one are turned away.
	admissionLevel struct {
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
		instances       []*admissionLevel
		// serviceLevels is the level of each service as all nodes know it.
		serviceLevels map[fleet.ServiceName]int
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
	l.instances, l.serviceLevels = nil, map[fleet.ServiceName]int{}
	for range l.fleet.Nodes {
		l.instances = append(l.instances, &admissionLevel{limit: levelCount})
	}
	for _, v := range l.fleet.CallGraph.Services {
		l.serviceLevels[v.Name] = levelCount
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
		if l.levelOf(request) >= l.serviceLevels[name] {
			return false, shedding.RetryAfter(float64(l.serviceLevels[name])/levelCount, remaining, l.fleet.random.Float64())
		}
	}
	return true, 0
}

func (l *levelStrategy) acceptCall(n *Node, _ *Class, request uint64) bool {
	level := l.instances[n.Number]
	requestLevel := l.levelOf(request)
	level.offered[requestLevel]++
	return requestLevel < level.limit
}

func (l *levelStrategy) tick() {
	for _, v := range l.fleet.CallGraph.Services {
		l.serviceLevels[v.Name] = 0
	}
	for _, n := range l.fleet.Nodes {
		level := l.instances[n.Number]
		level.adjust(n.takeMeanWait() > overloadWait)
		l.serviceLevels[n.Service.Name] = max(l.serviceLevels[n.Service.Name], level.limit)
	}
}

// adjust lets fewer or more of the calls through that were offered.
func (l *admissionLevel) adjust(overloaded bool) {
	total, admitted := 0, 0
	for i, count := range l.offered {
		total += count
		if i < l.limit {
			admitted += count
		}
	}
	target := float64(admitted) + levelIncrease*float64(total)
	if overloaded {
		target = float64(admitted) * (1 - levelDecrease)
	}
	sum, next := 0.0, 0
	for next < levelCount && sum+float64(l.offered[next]) <= target {
		sum += float64(l.offered[next])
		next++
	}
	if !overloaded {
		next = max(next, l.limit+1)
	}
	l.limit = min(max(next, 1), levelCount)
	l.offered = [levelCount]int{}
}

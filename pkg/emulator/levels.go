package emulator

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/shedding"
)

const (
	// buckets divides the requests of one priority by a hash of their id.
	buckets = 64
	// allLevels is above the level of every request.
	allLevels = (lowest + 1) * buckets
	// levelGrows and levelShrinks change the part of the offered calls that an
	// instance admits each tick.
	levelGrows, levelShrinks = 0.01, 0.05
)

type (
	// level of an instance: calls of a higher one are turned away.
	level struct {
		admits int
		// seen counts the calls offered at each level since the last tick.
		seen [allLevels]int
	}

	// levels is the way in which every instance admits calls up to a level of
	// importance, the same for all calls of a request; nodes learn the levels of
	// the services below and turn requests away themselves. Which services a
	// class needs is given, not learned.
	levels struct {
		fleet *Fleet
		needs map[*Class][]fleet.ServiceName
		nodes []*level
		// told is the level of each service as all nodes know it.
		told map[fleet.ServiceName]int
		// priority of a whole request, which its calls bear too.
		priority map[uint64]int
	}
)

func newLevels(f *Fleet) Decisions {
	l := &levels{fleet: f, needs: map[*Class][]fleet.ServiceName{}, priority: map[uint64]int{}}
	for _, c := range f.Shape.Classes {
		l.needs[c] = needed(f.Shape.Cost(c))
	}
	l.start()
	return Decisions{Admit: l.admit, Gate: l.gate, Tick: l.tick, Restart: l.start}
}

func (l *levels) start() {
	l.nodes, l.told = nil, map[fleet.ServiceName]int{}
	for range l.fleet.Nodes {
		l.nodes = append(l.nodes, &level{admits: allLevels})
	}
	for _, v := range l.fleet.Shape.Services {
		l.told[v.Name] = allLevels
	}
}

func (l *levels) of(request uint64) int {
	var id [8]byte
	for i := range id {
		id[i] = byte(request >> (8 * i))
	}
	return min(l.priority[request], lowest)*buckets + int(xxhash.Sum64(id[:])%buckets)
}

func (l *levels) admit(_ *Node, c *Class, request uint64, left time.Duration) (bool, time.Duration) {
	l.priority[request] = c.Priority
	for _, name := range l.needs[c] {
		if l.of(request) >= l.told[name] {
			return false, shedding.RetryAfter(float64(l.told[name])/allLevels, left, l.fleet.random.Float64())
		}
	}
	return true, 0
}

func (l *levels) gate(n *Node, _ *Class, request uint64) bool {
	v := l.nodes[n.Number]
	of := l.of(request)
	v.seen[of]++
	return of < v.admits
}

func (l *levels) tick() {
	for _, v := range l.fleet.Shape.Services {
		l.told[v.Name] = 0
	}
	for _, n := range l.fleet.Nodes {
		v := l.nodes[n.Number]
		v.move(n.meanWait() > waitTarget)
		l.told[n.Service.Name] = max(l.told[n.Service.Name], v.admits)
	}
}

// move lets fewer or more of the calls through that were offered.
func (v *level) move(overloaded bool) {
	all, admitted := 0, 0
	for i, count := range v.seen {
		all += count
		if i < v.admits {
			admitted += count
		}
	}
	wanted := float64(admitted) + levelGrows*float64(all)
	if overloaded {
		wanted = float64(admitted) * (1 - levelShrinks)
	}
	sum, next := 0.0, 0
	for next < allLevels && sum+float64(v.seen[next]) <= wanted {
		sum += float64(v.seen[next])
		next++
	}
	if !overloaded {
		next = max(next, v.admits+1)
	}
	v.admits = min(max(next, 1), allLevels)
	v.seen = [allLevels]int{}
}

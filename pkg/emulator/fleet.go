// Package emulator plays a service call graph under load in virtual time, to
// weigh ways of admission on the users' call graphs and on others. The decisions
// about waiting, placing and the plan of admission are the product's own code.
package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
)

const (
	// hop is the time that a message takes between two nodes.
	hop = time.Millisecond
	// usedSlots is the part of its slots that an instance is given.
	usedSlots = 0.945
	// innerPatience is how long a call of an admitted request waits for a slot.
	innerPatience = 400 * time.Millisecond
	// patiencePart is the part of its target that a request waits for a slot.
	patiencePart = 8
	// maxPlacements bounds the instances that one call is offered to.
	maxPlacements = 6
	// tick is the time between two decisions of a way.
	tick = shedding.PlanInterval
)

type (
	// Node is an instance with the node beside it.
	Node struct {
		Number     int
		Service    *Service
		DataCentre int

		index int
		line  waitqueue.Queue
		// known holds what answers told of other nodes, sent the calls under way to them.
		known map[*Node]waitqueue.Load
		sent  map[*Node]int
		// waited sums the waits of calls since the last tick, calls counts them.
		waited time.Duration
		calls  int
	}

	// Fleet is all nodes of a shape under a load.
	Fleet struct {
		Shape *Shape
		Load  *Load
		Nodes []*Node

		timeline
		random  *rand.Rand
		way     Decisions
		places  map[fleet.ServiceName][]*Node
		classes map[routing.RouteName]*Class
		requests
	}

	// call is one request or call on its way from the node where it begins.
	call struct {
		class *Class
		// request is the number of the whole request.
		request uint64
		inner   bool
		// expires is when the caller gives up.
		expires time.Duration
		at      *Node
		ended   func(fate fate)

		over   bool
		tried  map[*Node]bool
		run    *run
		waiter *waitqueue.Waiter
		place  *Node
		timer  func()
		spent  *spent
	}

	// run is a call that holds a slot.
	run struct {
		node    *Node
		began   time.Duration
		calls   []*call
		stop    func()
		forget  func()
		pending int
	}

	// fate is how a call ended.
	fate int
)

const (
	fateDone fate = iota
	// fateRefused calls have not run.
	fateRefused
	fateFailed
)

func newFleet(s *Shape, l *Load, seed uint64) *Fleet {
	f := &Fleet{Shape: s, Load: l, random: rand.New(rand.NewPCG(seed, 2)), places: map[fleet.ServiceName][]*Node{}, classes: map[routing.RouteName]*Class{}}
	for _, c := range s.Classes {
		f.classes[c.Name] = c
	}
	for _, v := range s.Services {
		for i := range v.Instances {
			n := &Node{Number: len(f.Nodes), Service: v, DataCentre: i % s.DataCentres, index: i, known: map[*Node]waitqueue.Load{}, sent: map[*Node]int{}}
			n.line.SetLimit(max(1, int(float64(v.Slots)*usedSlots)))
			f.Nodes = append(f.Nodes, n)
			f.places[v.Name] = append(f.places[v.Name], n)
		}
	}
	return f
}

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
	// nodeLatency is the time that a message takes between two nodes.
	nodeLatency = time.Millisecond
	// slotLimitFraction is the part of its slots that an instance is given.
	slotLimitFraction = 0.945
	// childMaxWait is how long a call of an admitted request waits for a slot.
	childMaxWait = 400 * time.Millisecond
	// maxWaitDivisor is the part of its target that a request waits for a slot.
	maxWaitDivisor = 8
	// maxTargets bounds the instances that one call is offered to.
	maxTargets = 6
	// tickInterval is the time between two decisions of a way.
	tickInterval = shedding.PlanInterval
)

type (
	// Node is an instance with the node beside it.
	Node struct {
		Number     int
		Service    *Service
		DataCentre int

		serviceIndex int
		queue        waitqueue.Queue
		// peerLoads holds what answers told of other nodes, sent the calls under way to them.
		peerLoads     map[*Node]waitqueue.Load
		callsInFlight map[*Node]int
		// waitSum sums the waits of calls since the last tick, calls counts them.
		waitSum   time.Duration
		waitCount int
	}

	// Fleet is all nodes of a shape under a load.
	Fleet struct {
		CallGraph *CallGraph
		Load      *Load
		Nodes     []*Node

		scheduler
		random         *rand.Rand
		hooks          Hooks
		nodesByService map[fleet.ServiceName][]*Node
		classByName    map[routing.RouteName]*Class
		clients
	}

	// call is one request or call on its way from the node where it begins.
	call struct {
		class *Class
		// request is the number of the whole request.
		request uint64
		isChild bool
		// expires is when the caller gives up.
		expires time.Duration
		origin  *Node
		onEnd   func(outcome callOutcome)

		ended     bool
		tried     map[*Node]bool
		execution *execution
		waiter    *waitqueue.Waiter
		target    *Node
		stopTimer func()
		slotTime  *slotTimes
	}

	// execution is a call that holds a slot.
	execution struct {
		node            *Node
		startedAt       time.Duration
		children        []*call
		stopTimer       func()
		onEnd           func()
		pendingChildren int
	}

	// callOutcome is how a call ended.
	callOutcome int
)

const (
	outcomeSucceeded callOutcome = iota
	// outcomeRefused calls have not run.
	outcomeRefused
	outcomeFailed
)

func newFleet(g *CallGraph, l *Load, seed uint64) *Fleet {
	f := &Fleet{CallGraph: g, Load: l, random: rand.New(rand.NewPCG(seed, 2)), nodesByService: map[fleet.ServiceName][]*Node{}, classByName: map[routing.RouteName]*Class{}}
	for _, c := range g.Classes {
		f.classByName[c.Name] = c
	}
	for _, v := range g.Services {
		for i := range v.Instances {
			n := &Node{Number: len(f.Nodes), Service: v, DataCentre: i % g.DataCentres, serviceIndex: i, peerLoads: map[*Node]waitqueue.Load{}, callsInFlight: map[*Node]int{}}
			n.queue.SetLimit(max(1, int(float64(v.Slots)*slotLimitFraction)))
			f.Nodes = append(f.Nodes, n)
			f.nodesByService[v.Name] = append(f.nodesByService[v.Name], n)
		}
	}
	return f
}

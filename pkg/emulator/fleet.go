// Package emulator simulates services that call each other under load, in
// virtual time. It compares admission strategies on the users' call graphs and on
// random ones. Wait queues, load balancing and admission plans are not modelled:
// the emulator runs the packages that the product itself uses for them.
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
	// nodeLatency is the one-way latency between two nodes.
	nodeLatency = time.Millisecond
	// slotLimitFraction is the fraction of an instance's slots that its queue
	// assigns.
	slotLimitFraction = 0.945
	// childMaxWait is the max wait for a slot of a call made by a service.
	childMaxWait = 400 * time.Millisecond
	// maxWaitDivisor gives the max wait of a client request as a share of its
	// target latency.
	maxWaitDivisor = 8
	// maxTargets is the maximum number of instances that one call is sent to.
	maxTargets = 6
	// tickInterval is the time between two calls of Hooks.OnTick.
	tickInterval = shedding.PlanInterval
)

type (
	// Node is a node with its local instance.
	Node struct {
		Number     int
		Service    *Service
		DataCentre int

		serviceIndex int
		queue        waitqueue.Queue
		pace         pace
		// peerLoads holds the load that each other node sent with its last
		// response. callsInFlight counts the unanswered calls to each node.
		peerLoads     map[*Node]pacedLoad
		callsInFlight map[*Node]int
		// waitSum and waitCount cover the calls since the last takeMeanWait.
		waitSum   time.Duration
		waitCount int
	}

	// Fleet is the set of all nodes of a call graph, under a load.
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

	// call is a client request or a call made by a service, sent from node origin.
	call struct {
		class *Class
		// request is the number of the client request that the call belongs to.
		request uint64
		isChild bool
		// expires is the virtual time at which the caller gives up.
		expires time.Duration
		origin  *Node
		onEnd   func(outcome callOutcome)

		ended bool
		// tried holds the instances that the call has been sent to.
		tried map[*Node]bool
		// execution is nil unless the call holds a slot, and waiter unless it is
		// queued for one.
		execution *execution
		waiter    *waitqueue.Waiter
		// target is the instance that the call was last sent to, or nil if that
		// instance did not accept it.
		target *Node
		// stopTimer cancels the expiry of the call.
		stopTimer func()
		// slotTime is shared by all calls of one try.
		slotTime *slotTimes
	}

	// execution is a call in progress at an instance. It holds a slot until it
	// ends.
	execution struct {
		node      *Node
		startedAt time.Duration
		children  []*call
		// stopTimer cancels the end of the half of the work in progress.
		stopTimer func()
		// onEnd is the result of Hooks.OnStart, or nil.
		onEnd func()
		// pendingChildren counts the child calls that have not succeeded yet.
		pendingChildren int
	}

	// callOutcome is the result of a call.
	callOutcome int
)

const (
	outcomeSucceeded callOutcome = iota
	// outcomeRefused means that no instance has executed the call.
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
			n := &Node{Number: len(f.Nodes), Service: v, DataCentre: i % g.DataCentres, serviceIndex: i, peerLoads: map[*Node]pacedLoad{}, callsInFlight: map[*Node]int{}}
			n.queue.SetLimit(max(1, int(float64(v.Slots)*slotLimitFraction)))
			f.Nodes = append(f.Nodes, n)
			f.nodesByService[v.Name] = append(f.nodesByService[v.Name], n)
		}
	}
	return f
}

package emulator

import (
	"time"
)

type (
	// Hooks are what a way decides and what it is told. Each may be nil.
	Hooks struct {
		// Admit tells whether a request that arrives at a node may begin, and else
		// when its client is to come back.
		Admit func(n *Node, c *Class, request uint64, remaining time.Duration) (bool, time.Duration)
		// AcceptCall tells whether an instance takes a call at all.
		AcceptCall func(n *Node, c *Class, request uint64) bool
		// OnArrival is told of requests, Called of calls that an instance makes.
		OnArrival func(n *Node, c *Class)
		OnCall    func(n *Node, c *Class, expires time.Duration)
		// OnStart is told of runs; what it returns is called at their end.
		OnStart func(n *Node, c *Class, expires time.Duration) (onEnd func())
		// OnFinish is told how long a run held its slot.
		OnFinish func(n *Node, c *Class, held time.Duration)
		// OnTick is called once each period.
		OnTick func()
		// OnRestart has all nodes forget what they know.
		OnRestart func()
	}

	// Strategy is a way of admission.
	Strategy struct {
		Name  string
		Start func(f *Fleet) Hooks
	}
)

// Strategies returns the ways that are weighed: none, where only the instances turn
// calls away; the product's plan; credits given out by the bottleneck; rates
// steered by waiting times; levels of importance.
func Strategies() []Strategy {
	return []Strategy{
		{"none", func(*Fleet) Hooks { return Hooks{} }},
		{"plan", newPlanStrategy},
		{"credits", newCreditStrategy},
		{"rates", newRateStrategy},
		{"levels", newLevelStrategy},
	}
}

// takeMeanWait returns the mean wait of the calls that a node took since it was last asked.
func (n *Node) takeMeanWait() time.Duration {
	mean := n.waitSum / time.Duration(max(n.waitCount, 1))
	n.waitSum, n.waitCount = 0, 0
	return mean
}

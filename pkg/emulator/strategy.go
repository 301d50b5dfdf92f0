package emulator

import (
	"time"
)

type (
	// Hooks are the callbacks of a strategy. Each may be nil.
	Hooks struct {
		// Admit reports whether a node admits a client request, and otherwise
		// returns the retry delay for its client. remaining is the time until the
		// request's timeout.
		Admit func(n *Node, c *Class, request uint64, remaining time.Duration) (bool, time.Duration)
		// AcceptCall reports whether an instance accepts a call. An accepted call
		// may still be queued or refused for lack of slots.
		AcceptCall func(n *Node, c *Class, request uint64) bool
		// OnArrival is called for each client request that reaches a node, OnCall
		// for each call that the instance of a node makes.
		OnArrival func(n *Node, c *Class)
		OnCall    func(n *Node, c *Class, expires time.Duration)
		// OnStart is called when an execution starts. The function that it returns
		// is called when the execution ends, whether it succeeded or not.
		OnStart func(n *Node, c *Class, expires time.Duration) (onEnd func())
		// OnFinish is called after an execution has succeeded, with the time that it
		// held its slot.
		OnFinish func(n *Node, c *Class, held time.Duration)
		// EvenRetries spends the retry budget on the calls that come first, rather than on
		// later calls of executions.
		EvenRetries bool
		// OnTick is called every tickInterval.
		OnTick func()
		// OnRestart discards the learned state of all nodes.
		OnRestart func()
	}

	// Strategy is an admission strategy. Start prepares it for a fleet.
	Strategy struct {
		Name  string
		Start func(f *Fleet) Hooks
	}
)

// Strategies returns the strategies to compare: none, where only the instances
// reject calls; plan, the product's own strategy; even, the same with retries spent
// on the calls that come first; reserve, where clients that return are admitted
// first; spread, where they return spread over their time; credits, where services
// grant slot time to nodes; rates, where wait times control the admitted fraction of
// each class; and levels, where instances admit requests by importance.
func Strategies() []Strategy {
	return []Strategy{
		{"none", func(*Fleet) Hooks { return Hooks{} }},
		{"plan", newPlanStrategy},
		{"even", func(f *Fleet) Hooks { return withEvenRetries(newPlanStrategy(f)) }},
		{"reserve", newReservingStrategy},
		{"spread", newSpreadingStrategy},
		{"credits", newCreditStrategy},
		{"rates", newRateStrategy},
		{"levels", newLevelStrategy},
	}
}

// withEvenRetries returns the hooks of a strategy that does not regard the positions of
// calls.
func withEvenRetries(h Hooks) Hooks {
	h.EvenRetries = true
	return h
}

// takeMeanWait returns the mean wait of the calls at a node since the previous
// call of takeMeanWait.
func (n *Node) takeMeanWait() time.Duration {
	mean := n.waitSum / time.Duration(max(n.waitCount, 1))
	n.waitSum, n.waitCount = 0, 0
	return mean
}

package emulator

import (
	"github.com/plantainramp/plantainramp/pkg/retrybudget"
)

const (
	// retryTokensPerCall and retrySlack are the retries for each call, and beyond that over
	// all nodes, that the product uses with usual limits.
	retryTokensPerCall = 0.13
	retrySlack         = 76.0
	// maxRejections is the number of instances that may reject a call.
	maxRejections = 2
)

// retryBudget is the budget of a node for the retries of rejected calls to a service.
type retryBudget struct {
	tokens    float64
	allocator retrybudget.Allocator
}

func (f *Fleet) retryCapacity() float64 { return max(1, retrySlack/float64(len(f.Nodes))) }

// retryBudget returns the budget of the node that makes a call.
func (c *call) retryBudget() *retryBudget {
	name := c.class.Service
	if c.origin.retries[name] == nil {
		c.origin.retries[name] = &retryBudget{}
	}
	return c.origin.retries[name]
}

// earnRetries adds what a call earns to the budget of its node.
func (f *Fleet) earnRetries(c *call) {
	b := c.retryBudget()
	b.tokens = min(b.tokens+retryTokensPerCall, f.retryCapacity())
	b.allocator.Earn(retryTokensPerCall)
}

// handleRejection sends a call that the instance of n rejected to another one if the budget
// allows it, and ends it as refused otherwise.
func (f *Fleet) handleRejection(c *call, n *Node) {
	c.rejections++
	b := c.retryBudget()
	retry := retrybudget.Call{Known: true, Remaining: c.remaining, Priority: uint32(c.priority)}
	allowed := c.rejections < maxRejections && (f.hooks.EvenRetries || b.allocator.Allows(retry, b.tokens, f.retryCapacity()))
	if !allowed || b.tokens < 1 {
		f.after(f.latency(c.origin, n), func() { f.endCall(c, outcomeRefused) })
		return
	}
	b.tokens--
	f.redispatch(c, n)
}

package mesh

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

const (
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout are the limits of
	// requests where the configuration names none.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request whatever the configuration says.
	maxHeaderBytes = 512 << 10
	// maxOtherConns bounds the connections of each server that is not for callers. They
	// come out of reservedDescriptors, as do those in the handshake with another node.
	maxOtherConns = 64
	// The fractions below are of the memory of the process. With the bodies of requests and
	// the connections of callers they add up to less than all of it.
	//
	// headFraction is for the heads of requests.
	headFraction = 1.0 / 12
	// smallBodiesFraction is for smaller bodies of requests, and smallCallsFraction for calls of
	// peers with such bodies.
	smallBodiesFraction = 1.0 / 16
	smallCallsFraction  = 1.0 / 32
	// callerResponsesFraction is for large responses that callers have not read, and
	// smallResponsesFraction for small ones, and again for those on their way from the
	// instance to other nodes.
	callerResponsesFraction = 1.0 / 10
	smallResponsesFraction  = 1.0 / 32
	// outgoingFraction is for large responses on their way from the instance to other nodes, and
	// incomingFraction for those on their way from other nodes.
	outgoingFraction = 1.0 / 16
	incomingFraction = 1.0 / 12
	// retainedFraction is for the outcomes that the gate retains, at most
	// maxRetainedOutcomesBytes.
	retainedFraction         = 1.0 / 32
	maxRetainedOutcomesBytes = 8 << 20
	// waitingSlotsFraction is the fraction of the slots of the instance whose responses may wait
	// for memory, so that other calls find slots.
	waitingSlotsFraction = 0.25
	// maxResponseFraction bounds the body of one response, at most maxAnyResponseBytes. On its way
	// to another node it is in memory twice, three times if its length is not announced.
	maxResponseFraction = 1.0 / 8
	maxAnyResponseBytes = 32 << 20
	// ordinaryConns is the number of connections of callers that a node has in ordinary
	// operation.
	ordinaryConns = 1000
)

// budgets bounds the memory for what callers may leave at the node.
type budgets struct {
	// heads is for the heads of requests.
	heads memory.Budget
	// smallBodies is for bodies of requests that need no memory of Node.callerBodies, and
	// smallCalls for those of peers that need none of Node.peerBodies.
	smallBodies memory.HeldBudget
	smallCalls  memory.Budget
	// callerResponses and smallResponses are for large and small responses that callers have
	// not read. outgoing and smallOutgoing are for those that are read from the instance or
	// wait to be sent to a peer, and incoming is for large ones that are read from peers.
	callerResponses, smallResponses   memory.HeldBudget
	outgoing, smallOutgoing, incoming memory.Budget
	// onHeld is the function of OnHeldBytes, or nil.
	onHeld func(bytes int64)
}

// init sets the limits; no memory means none.
func (b *budgets) init(bytes int64, c clock.Clock) {
	part := func(fraction float64) int64 { return int64(fraction * float64(bytes)) }
	b.heads.Limit = part(headFraction)
	b.smallBodies.Limit, b.smallBodies.Clock = part(smallBodiesFraction), c
	b.smallCalls.Limit = part(smallCallsFraction)
	b.callerResponses.Limit, b.callerResponses.AdmitsFirst, b.callerResponses.Clock = part(callerResponsesFraction), true, c
	b.smallResponses.Limit, b.smallResponses.MinStall, b.smallResponses.Clock = part(smallResponsesFraction), memory.MinSmallStall, c
	b.smallOutgoing.Limit = part(smallResponsesFraction)
	b.outgoing.Limit, b.outgoing.AdmitsFirst = part(outgoingFraction), true
	b.incoming.Limit, b.incoming.AdmitsFirst = part(incomingFraction), true
}

// maxResponseBytes returns the bound of the body of one response.
func maxResponseBytes(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return maxAnyResponseBytes
	}
	return min(maxAnyResponseBytes, int64(maxResponseFraction*float64(memoryBytes)))
}

// maxWaitingResponses returns how many responses of the instance may wait for memory at the same
// time: a part of its slots, which they keep meanwhile.
func (n *Node) maxWaitingResponses() int {
	local := n.gate.LocalInstance()
	if local == nil {
		return 1
	}
	return max(1, int(waitingSlotsFraction*float64(local.Slots)))
}

// outgoingTiers returns the budgets of responses on their way from the instance.
func (b *budgets) outgoingTiers() memory.Tiers {
	return memory.Tiers{Small: &b.smallOutgoing, Large: &b.outgoing}
}

// retainedBytes returns the bound of the outcomes that the gate retains.
func retainedBytes(memoryBytes int64) int {
	if memoryBytes <= 0 {
		return maxRetainedOutcomesBytes
	}
	return min(maxRetainedOutcomesBytes, int(retainedFraction*float64(memoryBytes)))
}

// limitHeads makes the connections of a server apply the limits of heads. Those of the
// configuration concern callers only: others may reuse connections that were idle for longer.
func (n *Node) limitHeads(t *connection.Tracker) {
	t.Limits, t.Heads, t.OnClosed = defaultHeadLimits, &n.budgets.heads, n.onConnClosed
	if t == &n.callerConns {
		t.Limits = n.headLimits
	}
}

func defaultHeadLimits() connection.Limits {
	return connection.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
}

// headLimits returns the limits of callers' requests in force.
func (n *Node) headLimits() connection.Limits {
	limits := defaultHeadLimits()
	view := n.view.Load()
	if view == nil {
		return limits
	}
	if named := view.Limits.MaxHeaderBytes; named > 0 {
		limits.HeaderBytes = int(min(named, maxHeaderBytes))
	}
	if named := view.Limits.HeaderTimeout; named > 0 {
		limits.HeaderTimeout = named
	}
	if named := view.Limits.IdleTimeout; named > 0 {
		limits.IdleTimeout = named
	}
	return limits
}

// onConnClosed logs a connection that was closed while a request was read or a response written.
func (n *Node) onConnClosed(reason string) {
	n.events.Log(eventConnClosed, func() logrus.Fields {
		return logrus.Fields{"reason": reason, "headBytes": n.budgets.heads.Used(), "headBytesLimit": n.budgets.heads.Limit}
	})
}

// onResponseEvicted logs a connection that was closed to make room for the response to
// another caller.
func (n *Node) onResponseEvicted() {
	n.events.Log(eventConnClosed, func() logrus.Fields {
		b := &n.budgets
		return logrus.Fields{"reason": "memory needed for another response", "responseBytes": b.callerResponses.Used(), "responseBytesLimit": b.callerResponses.Limit, "smallResponseBytes": b.smallResponses.Used(), "smallResponseBytesLimit": b.smallResponses.Limit}
	})
}

// OnHeldBytes makes Run call a function several times a second, from one goroutine, with the
// number of bytes that the node holds for callers beyond what ordinary ones need. It must be
// called before Run.
func (n *Node) OnHeldBytes(report func(bytes int64)) { n.budgets.onHeld = report }

// reportHeld calls the function of OnHeldBytes.
func (n *Node) reportHeld() {
	if n.budgets.onHeld == nil {
		return
	}
	held := n.callerBodies.Used() + n.peerBodies.Used()
	b := &n.budgets
	for _, budget := range []*memory.Budget{&b.heads, &b.smallBodies.Budget, &b.smallCalls, &b.callerResponses.Budget, &b.smallResponses.Budget, &b.outgoing, &b.smallOutgoing, &b.incoming} {
		held += budget.Used()
	}
	conns := n.callerConns.Counts()
	n.budgets.onHeld(held + connBytes*int64(max(0, conns.Busy+conns.Idle+conns.Unused+conns.Lingering-ordinaryConns)))
}

// onBodyEvicted logs a request that was refused to make room for the body of another one.
func (n *Node) onBodyEvicted() {
	n.events.Log(eventConnClosed, func() logrus.Fields {
		b := &n.budgets.smallBodies
		return logrus.Fields{"reason": "memory needed for another body", "smallBodyBytes": b.Used(), "smallBodyBytesLimit": b.Limit}
	})
}

// updateBudgetGauges sets the gauges of the budgets. Bytes are those held now, the other
// values count since the start of the node.
func (n *Node) updateBudgetGauges(conns connection.Counts) {
	b := &n.budgets
	for kind, budget := range map[string]*memory.Budget{
		"heads": &b.heads, "small_bodies": &b.smallBodies.Budget, "caller_responses": &b.callerResponses.Budget, "outgoing_responses": &b.outgoing, "incoming_responses": &b.incoming,
		"small_calls": &b.smallCalls, "small_responses": &b.smallResponses.Budget, "small_outgoing_responses": &b.smallOutgoing,
	} {
		n.meter.UpdateBudget(kind, budget)
	}
	closed := conns.ClosedByReason()
	closed["body_evicted"], closed["response_evicted"] = b.smallBodies.Evicted(), b.callerResponses.Evicted()+b.smallResponses.Evicted()
	for reason, count := range closed {
		n.meter.LabelledGauge("caller_connections_closed", "reason", reason).Update(float64(count))
	}
}

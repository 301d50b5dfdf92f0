package node

import (
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

const (
	// The fractions below are of the memory that the settings give the node. With the
	// connections they add up to less than all of it.
	//
	// headFraction is for heads of requests that did not arrive in one piece.
	headFraction = 1.0 / 12
	// bodyFraction is for bodies of callers' requests, and again for messages of peers.
	bodyFraction = 1.0 / 12
	// callerResponseFraction is for large responses that callers have not read, and
	// upstreamResponseFraction for those that are read from the upstream.
	callerResponseFraction   = 1.0 / 10
	upstreamResponseFraction = 1.0 / 16
	// smallFraction is for small bodies, and again for small messages of peers, small responses
	// that are read and small responses that callers have not read.
	smallFraction = 1.0 / 32
)

// budgets bounds the memory for what callers and peers may leave at the node.
type budgets struct {
	// heads is for heads of requests.
	heads memory.Budget
	// bodies are for bodies of callers' requests, peerMessages for messages of peers, and
	// upstreamResponses for responses that are read from the upstream.
	bodies, peerMessages, upstreamResponses tierPair
	// smallResponses and largeResponses are for responses that callers have not read.
	smallResponses, largeResponses memory.HeldBudget
}

// tierPair holds the budgets of memory.Tiers.
type tierPair struct{ small, large memory.Budget }

func (p *tierPair) tiers() memory.Tiers { return memory.Tiers{Small: &p.small, Large: &p.large} }

// init sets the limits; no memory means none.
func (b *budgets) init(bytes int64, c clock.Clock) {
	part := func(fraction float64) int64 { return int64(fraction * float64(bytes)) }
	b.heads.Limit = part(headFraction)
	for pair, fraction := range map[*tierPair]float64{&b.bodies: bodyFraction, &b.peerMessages: bodyFraction, &b.upstreamResponses: upstreamResponseFraction} {
		pair.small.Limit = part(smallFraction)
		pair.large.Limit, pair.large.AdmitsFirst = part(fraction), true
	}
	b.smallResponses.Limit, b.smallResponses.MinStall, b.smallResponses.Clock = part(smallFraction), memory.MinSmallStall, c
	b.largeResponses.Limit, b.largeResponses.AdmitsFirst, b.largeResponses.Clock = part(callerResponseFraction), true, c
}

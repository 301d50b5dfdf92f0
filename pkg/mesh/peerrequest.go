package mesh

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/recovery"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// runForPeer runs a call of a peer. A call in whose handling the node panics may have run.
func (n *Node) runForPeer(ctx context.Context, r link.Request, call *linkrpc.Run) *linkrpc.Outcome {
	var outcome *linkrpc.Outcome
	if err := recovery.Run("a call of a peer", func() { outcome = n.gate.Run(r.Wanted, ctx, call) }); err != nil {
		n.onPanic(err)
		return gate.LostOutcome(linkrpc.Reason_REASON_BROKEN)
	}
	return outcome
}

// handlePeerRequest returns the response to a message of a peer, or nil if there is
// none.
func (n *Node) handlePeerRequest(ctx context.Context, r link.Request) proto.Message {
	switch r.Kind {
	case link.KindRun:
		if r.Discarded {
			n.onBodyDiscarded()
			return gate.NotRunOutcome(linkrpc.Reason_REASON_FULL)
		}
		call := &linkrpc.Run{}
		if err := proto.Unmarshal(r.Payload, call); err != nil {
			n.logUnreadable("call", err)
			return gate.NotRunOutcome(linkrpc.Reason_REASON_BROKEN)
		}
		return n.runForPeer(ctx, r, call)
	case link.KindAsk:
		ask := &linkrpc.Ask{}
		if err := proto.Unmarshal(r.Payload, ask); err != nil {
			n.logUnreadable("question", err)
			return nil
		}
		if outcome := n.gate.QueryOutcome(ctx, ask); outcome != nil {
			return outcome
		}
		return nil
	case link.KindTopicRead:
		return n.answerTopicRead(ctx, r.Payload)
	case link.KindDeparture:
		status := &linkrpc.Status{}
		if err := proto.Unmarshal(r.Payload, status); err != nil {
			n.logUnreadable("departure", err)
			return nil
		}
		n.keepDeparture(status)
		return &linkrpc.Status{}
	case link.KindTokenRequest:
		if ctx.Err() != nil {
			return nil // lent tokens would be lost
		}
		request := &linkrpc.TokenRequest{}
		if err := proto.Unmarshal(r.Payload, request); err != nil {
			n.logUnreadable("request for tokens", err)
			return nil
		}
		return &linkrpc.TokenGrant{Granted: n.rateLimiter.Lend(fleet.OrganisationID(request.Organisation), request.Wanted)}
	}
	return nil
}

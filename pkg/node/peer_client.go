package node

import (
	"context"
	"fmt"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// UnknownMemberError reports that a message cannot be sent because its recipient is not
// on the list of members.
type UnknownMemberError struct {
	Member fleet.MemberID
}

// Error implements error.
func (e *UnknownMemberError) Error() string {
	return fmt.Sprintf("member %q is not on the list of members", e.Member)
}

// peerClient returns a client for messages to a member. It returns *UnknownMemberError
// if the member is not on the list of members.
func (n *Node) peerClient(id fleet.MemberID) (peerrpc.Peer, error) {
	member := n.follower.View().Member(id)
	if member == nil {
		return nil, &UnknownMemberError{Member: id}
	}
	return n.pool.Get(member.PeerAddress).Client(), nil
}

// borrow sends a request for rate tokens to the member that holds the rate slot.
func (n *Node) borrow(ctx context.Context, holder fleet.MemberID, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
	if holder == n.memberID {
		return n.allocator.Borrow(req), nil
	}
	client, err := n.peerClient(holder)
	if err != nil {
		return nil, err
	}
	return client.Borrow(ctx, req)
}

// intend sends intents to the member that records them in the log.
func (n *Node) intend(ctx context.Context, recorder fleet.MemberID, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error) {
	if recorder == n.memberID {
		return n.recorder.HandleIntend(ctx, req), nil
	}
	client, err := n.peerClient(recorder)
	if err != nil {
		return nil, err
	}
	return client.Intend(ctx, req)
}

// recall asks the member that wrote an intent for the outcome of its action.
func (n *Node) recall(ctx context.Context, writer fleet.MemberID, req *peerrpc.RecallRequest) (*peerrpc.RecallReply, error) {
	if writer == n.memberID {
		return n.peerServer.Recall(ctx, req)
	}
	client, err := n.peerClient(writer)
	if err != nil {
		return nil, err
	}
	return client.Recall(ctx, req)
}

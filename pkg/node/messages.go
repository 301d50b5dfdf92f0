package node

import (
	"context"
	"fmt"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

// NoMemberError reports a message to a member that is not on the list.
type NoMemberError struct {
	Member fleet.MemberID
}

// Error implements error.
func (e *NoMemberError) Error() string { return fmt.Sprintf("member %q is not on the list", e.Member) }

// client returns the client of a member.
func (n *Node) client(id fleet.MemberID) (peerrpc.Peer, error) {
	m := n.follower.View().Member(id)
	if m == nil {
		return nil, &NoMemberError{Member: id}
	}
	return n.pool.Get(m.PeerAddress).Client(), nil
}

func (n *Node) borrow(ctx context.Context, holder fleet.MemberID, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
	if holder == n.self {
		return n.lender.Borrow(req), nil
	}
	c, err := n.client(holder)
	if err != nil {
		return nil, err
	}
	return c.Borrow(ctx, req)
}

func (n *Node) intend(ctx context.Context, recorder fleet.MemberID, req *peerrpc.IntendRequest) (*peerrpc.IntendReply, error) {
	if recorder == n.self {
		return n.recorder.HandleIntend(ctx, req), nil
	}
	c, err := n.client(recorder)
	if err != nil {
		return nil, err
	}
	return c.Intend(ctx, req)
}

func (n *Node) recall(ctx context.Context, writer fleet.MemberID, req *peerrpc.RecallRequest) (*peerrpc.RecallReply, error) {
	if writer == n.self {
		return n.peers.Recall(ctx, req)
	}
	c, err := n.client(writer)
	if err != nil {
		return nil, err
	}
	return c.Recall(ctx, req)
}

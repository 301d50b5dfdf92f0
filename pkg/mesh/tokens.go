package mesh

import (
	"cmp"
	"context"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// tokenHomes holds the nodes that pool the tokens of organisations, as this node sees
// them. It is immutable.
type tokenHomes struct {
	// addresses and peers list the same nodes. The peer of the local node is nil.
	addresses []directory.NodeAddress
	peers     []*peering.Peer
}

// of returns the home of an organisation. It returns nil if that is the local node.
func (h *tokenHomes) of(id fleet.OrganisationID) *peering.Peer {
	var home *peering.Peer
	best := uint64(0)
	for i, address := range h.addresses {
		if weight := xxhash.Sum64String(string(address) + "/" + string(id)); weight >= best {
			home, best = h.peers[i], weight
		}
	}
	return home
}

// findTokenHomes returns the nodes that pool tokens: of n nodes the first sqrt(n) that are
// connected, in an order by hash. So each node gives to few others.
func (n *Node) findTokenHomes() *tokenHomes {
	nodes := n.directory.Snapshot().Nodes
	addresses := make([]directory.NodeAddress, 0, len(nodes))
	for address := range nodes {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, func(a, b directory.NodeAddress) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	count := int(math.Ceil(math.Sqrt(float64(len(addresses)))))
	homes := &tokenHomes{}
	for _, address := range addresses {
		if len(homes.addresses) == count {
			break
		}
		peer := n.peers.ConnectedPeer(address)
		if peer != nil && peer.PoolsTokens() || address == directory.NodeAddress(n.settings.PeerAddress) {
			homes.addresses, homes.peers = append(homes.addresses, address), append(homes.peers, peer)
		}
	}
	return homes
}

// tokenHome returns the peer that pools the tokens of an organisation, or nil if the local
// node does.
func (n *Node) tokenHome(id fleet.OrganisationID) *peering.Peer {
	if homes := n.homes.Load(); homes != nil {
		return homes.of(id)
	}
	return nil
}

// runTokenGiver gives what the node does not need to the homes of the organisations, until
// ctx ends.
func (n *Node) runTokenGiver(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(quota.GiveInterval), n.guarded("the tokens", func() {
		homes := n.findTokenHomes()
		n.homes.Store(homes)
		n.giveTokens(homes)
	}))
}

func (n *Node) giveTokens(homes *tokenHomes) {
	gifts := map[*peering.Peer][]quota.Gift{}
	isHome := func(id fleet.OrganisationID) bool { return homes.of(id) == nil }
	for _, g := range append(n.rateLimiter.HandOver(isHome), n.rateLimiter.Surplus()...) {
		home := homes.of(g.Organisation)
		gifts[home] = append(gifts[home], g)
	}
	for home, list := range gifts {
		if home != nil && home.GiveTokens(n.encodeGifts(list)) {
			continue
		}
		for _, g := range list {
			n.rateLimiter.Keep(g)
		}
	}
}

func (n *Node) encodeGifts(gifts []quota.Gift) *linkrpc.TokenGifts {
	message := &linkrpc.TokenGifts{Node: n.settings.PeerAddress}
	for _, g := range gifts {
		message.Gifts = append(message.Gifts, &linkrpc.TokenGift{Organisation: string(g.Organisation), Tokens: g.Tokens})
	}
	return message
}

// handleTokenGifts adds the gifts of a peer to the pools.
func (n *Node) handleTokenGifts(message *linkrpc.TokenGifts) {
	for _, g := range message.Gifts {
		n.rateLimiter.Receive(quota.Giver(message.Node), quota.Gift{Organisation: fleet.OrganisationID(g.GetOrganisation()), Tokens: g.GetTokens()})
	}
}

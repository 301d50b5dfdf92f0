package mesh

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/topic"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// storeAvoidance is how long a node whose read of the store has failed asks peers
	// instead, and unansweredAvoidance how long a peer that has not answered is not asked.
	storeAvoidance      = 5 * time.Second
	unansweredAvoidance = 5 * time.Second
	// staleAvoidance is how long a peer is not asked that has lost the store. It may notice,
	// and ask another itself.
	staleAvoidance = 500 * time.Millisecond
	// lendersPerDataCentre is the number of nodes of each other data centre that may be asked
	// when the store has failed this node, so that it may have failed one of them, too.
	lendersPerDataCentre = 2
	// maxRelayPeers bounds the peers that are asked before the store is read.
	maxRelayPeers = 3
	// relayAnswerMargin is how much longer than its wait an answer of a peer may take.
	relayAnswerMargin = 400 * time.Millisecond
	// configHintDelay is the time after the word of a peer that a newer configuration exists
	// until the store is read for it.
	configHintDelay = 150 * time.Millisecond
	// configHintInterval is the time between two reads for that reason, so that one that the
	// store does not answer can fail.
	configHintInterval = 2 * time.Second
)

// relayer chooses the node of the data centre that reads the topics of the store for the
// others: the first that answers, in an order on which all nodes of the data centre agree
// as soon as they know the same nodes. It needs no agreement: a node that is asked answers
// with the age of what it knows, and who gets no answer reads the store itself. Its zero
// value is ready to use, and its methods are safe for concurrent use.
type relayer struct {
	mu sync.Mutex
	// avoidUntil holds the nodes that are not asked until a time.
	avoidUntil map[directory.NodeAddress]time.Time
}

func (r *relayer) avoid(node directory.NodeAddress, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.avoidUntil == nil {
		r.avoidUntil = map[directory.NodeAddress]time.Time{}
	}
	r.avoidUntil[node] = until
}

func (r *relayer) avoided(node directory.NodeAddress, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.avoidUntil[node])
}

// readers returns the nodes of a data centre in the order in which they are to read the
// store: those whose instance accepts calls, or all if none does. In an evacuated one all
// are, from the moment at which this node knows that: while the gates close and open one by
// one, two nodes could ask each other, and neither would read.
func (n *Node) readers(s *directory.Snapshot, dataCentre fleet.DataCentre) []directory.NodeAddress {
	nodes := openNodes(s, dataCentre)
	if len(nodes) > 0 && !n.evacuations.Has(dataCentre) {
		return nodes
	}
	return nodesInOrder(s, func(e directory.Entry) bool { return e.DataCentre == dataCentre })
}

// openNodes returns the nodes of a data centre whose instance accepts calls, in order.
func openNodes(s *directory.Snapshot, dataCentre fleet.DataCentre) []directory.NodeAddress {
	return nodesInOrder(s, func(e directory.Entry) bool { return e.DataCentre == dataCentre && e.Open })
}

// nodesInOrder returns the nodes whose entry matches, in an order on which all nodes agree.
func nodesInOrder(s *directory.Snapshot, matches func(e directory.Entry) bool) []directory.NodeAddress {
	var nodes []directory.NodeAddress
	for address, e := range s.Nodes {
		if matches(e) {
			nodes = append(nodes, address)
		}
	}
	slices.SortFunc(nodes, func(a, b directory.NodeAddress) int {
		return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
	})
	return nodes
}

// relayPeer returns the peer to ask for a topic, or nil if this node is the one that reads
// the store. A node that the store has not answered asks others instead.
func (n *Node) relayPeer(f *topic.Follower) *peering.Peer {
	now, storeFailed := n.clock.Now(), f.StoreFailedWithin(storeAvoidance)
	for _, address := range n.relayCandidates(storeFailed) {
		if address == directory.NodeAddress(n.settings.PeerAddress) && !storeFailed {
			return nil
		}
		if peer := n.peers.ReachablePeer(address); peer != nil && !n.relayer.avoided(address, now) {
			return peer
		}
	}
	return nil
}

// relayCandidates returns the nodes to ask for topics, in order: those of the data centre. If
// the store has failed this node, the whole data centre may have lost it: the first node of
// each other one comes second then.
func (n *Node) relayCandidates(storeFailed bool) []directory.NodeAddress {
	snapshot := n.directory.Snapshot()
	own := n.readers(snapshot, n.settings.DataCentre)
	if !storeFailed {
		return own
	}
	own = slices.DeleteFunc(own, func(a directory.NodeAddress) bool { return a == directory.NodeAddress(n.settings.PeerAddress) })
	first := min(1, len(own))
	return slices.Concat(own[:first], n.firstReaders(snapshot, n.settings.DataCentre), own[first:])
}

// firstReaders returns the first readers of each data centre except one: the first of each,
// then the second of each, which reads for its data centre if the store fails the first.
func (n *Node) firstReaders(s *directory.Snapshot, except fleet.DataCentre) []directory.NodeAddress {
	var byRank [lendersPerDataCentre][]directory.NodeAddress
	for _, dataCentre := range otherDataCentres(s, except) {
		for rank, node := range n.readers(s, dataCentre) {
			if rank < lendersPerDataCentre {
				byRank[rank] = append(byRank[rank], node)
			}
		}
	}
	return slices.Concat(byRank[:]...)
}

// otherDataCentres returns the data centres of all nodes, except one.
func otherDataCentres(s *directory.Snapshot, except fleet.DataCentre) []fleet.DataCentre {
	found := map[fleet.DataCentre]bool{}
	for _, e := range s.Nodes {
		found[e.DataCentre] = true
	}
	delete(found, except)
	return slices.Sorted(maps.Keys(found))
}

// relay returns the function by which a follower asks peers for a topic, one after the
// other until one knows.
func (n *Node) relay(name linkrpc.Topic, follower func() *topic.Follower) topic.Relay {
	return func(ctx context.Context, from topic.Position, wait time.Duration) *topic.Relayed {
		question := &linkrpc.TopicRead{Topic: name, From: &linkrpc.TopicPosition{Era: int64(from.Era), Offset: int64(from.Offset)}}
		for range maxRelayPeers {
			peer := n.relayPeer(follower())
			if peer == nil {
				return nil
			}
			question.WaitUs = wait.Microseconds()
			answer, avoidance := n.askForTopic(ctx, peer, question, follower().MaxRelayAge())
			if avoidance == 0 || ctx.Err() != nil {
				return answer
			}
			n.relayer.avoid(peer.Node, n.clock.Now().Add(avoidance))
			// The news may be late already.
			wait = 0
		}
		return nil
	}
}

// askForTopic asks one peer for a topic. It returns how long that peer should not be asked
// again, which is 0 if it answers and the store answers it. The answer is nil then if the
// peer lacks the records.
func (n *Node) askForTopic(ctx context.Context, peer *peering.Peer, question *linkrpc.TopicRead, maxAge time.Duration) (*topic.Relayed, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(question.WaitUs)*time.Microsecond+relayAnswerMargin)
	defer cancel()
	askedAt := n.uptime()
	r, err := peer.ReadTopic(ctx, question)
	if err != nil {
		return nil, unansweredAvoidance
	}
	answer := decodeRelayed(r)
	switch {
	case answer == nil && r.Follows:
		return nil, 0
	case answer == nil, n.uptime()-askedAt-answer.Confirmed > maxAge:
		return nil, staleAvoidance
	}
	return answer, 0
}

// decodeRelayed returns the answer of a peer, or nil if it knows too little.
func decodeRelayed(r *linkrpc.TopicRecords) *topic.Relayed {
	if !r.GetKnown() || r.GetEnd() == nil {
		return nil
	}
	answer := &topic.Relayed{
		End:       topic.Position{Era: topic.Era(r.End.Era), Offset: topic.Offset(r.End.Offset)},
		Confirmed: time.Duration(r.ConfirmedUs) * time.Microsecond,
	}
	for _, record := range r.Records {
		answer.Records = append(answer.Records, topic.Record{Key: record.GetKey(), Value: record.GetValue()})
	}
	return answer
}

// answerTopicRead answers the question of a peer for a topic.
func (n *Node) answerTopicRead(ctx context.Context, payload []byte) proto.Message {
	question := &linkrpc.TopicRead{}
	if err := proto.Unmarshal(payload, question); err != nil {
		n.logUnreadable("question for a topic", err)
		return &linkrpc.TopicRecords{}
	}
	var follower *topic.Follower
	switch {
	case n.stopping.Load():
		return &linkrpc.TopicRecords{}
	case question.Topic == linkrpc.Topic_TOPIC_CONFIG:
		follower = n.configFollower
	case question.Topic == linkrpc.Topic_TOPIC_DIRECTORY:
		follower = n.directoryFollower
	default:
		return &linkrpc.TopicRecords{}
	}
	from := topic.Position{Era: topic.Era(question.From.GetEra()), Offset: topic.Offset(question.From.GetOffset())}
	known, follows := follower.Answer(ctx, from, time.Duration(question.WaitUs)*time.Microsecond)
	if known == nil {
		return &linkrpc.TopicRecords{Follows: follows}
	}
	answer := &linkrpc.TopicRecords{
		Known: true, End: &linkrpc.TopicPosition{Era: int64(known.End.Era), Offset: int64(known.End.Offset)}, ConfirmedUs: known.Confirmed.Microseconds(),
	}
	for _, r := range known.Records {
		answer.Records = append(answer.Records, &linkrpc.TopicRecord{Key: r.Key, Value: r.Value})
	}
	return answer
}

// noteConfigVersion reads the store if a peer applies a newer configuration and this node
// still does not a little later: the node that reads for this one may have lost the store.
func (n *Node) noteConfigVersion(version uint64) {
	if version <= n.ConfigVersion() || !n.configHinted.CompareAndSwap(false, true) {
		return
	}
	n.clock.AfterFunc(configHintInterval, func() { n.configHinted.Store(false) })
	n.clock.AfterFunc(configHintDelay, func() {
		if version > n.ConfigVersion() {
			n.configFollower.Interrupt()
		}
	})
}

// ConfigVersion returns the version of the active configuration, or 0. It is safe for
// concurrent use.
func (n *Node) ConfigVersion() uint64 {
	if view := n.view.Load(); view != nil {
		return uint64(view.Version)
	}
	return 0
}

package mesh

import (
	"context"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// newFuzzNode returns a node that does not run, whose instance cannot be reached.
func newFuzzNode() *Node {
	n := New(&Settings{
		PeerAddress: "127.0.0.1:1", InstanceAddress: "127.0.0.1:1", Service: "desk", DataCentre: "a", MaxRevocationDelay: 5 * time.Second,
	}, &Platform{}, clock.System{}, func() time.Duration { return 0 }, logs.Discard())
	n.rateLimiter.Update(map[fleet.OrganisationID]quota.Limit{"dakar": {Rate: 10, Burst: 10}}, 3)
	n.gate.SetLocalInstance(&gate.LocalInstance{ID: "i-1", Service: "desk", Slots: 2, Open: true})
	return n
}

func encode(f *testing.F, message proto.Message) []byte {
	f.Helper()
	encoded, err := proto.Marshal(message)
	if err != nil {
		f.Fatal(err)
	}
	return encoded
}

// Any bytes as each kind of message of a peer, one after the other at the same node. Guards
// against a panic, and against a plan or an organisation's tokens that are spoiled.
func FuzzPeerMessages(f *testing.F) {
	nan := math.NaN()
	status := &linkrpc.Status{
		Node: "b", Instance: "i-2", Service: "desk", Slots: 5, Open: true, Incarnation: 3, Sequence: 1, Load: &linkrpc.Load{Limit: 5, RateFullness: float32(nan)},
		Offers: []*linkrpc.Offer{{Route: "r", Rate: float32(nan)}}, Costs: []*linkrpc.Cost{{Route: "r", Service: "desk", SlotUs: 7, Weight: 1}},
	}
	for kind, message := range map[link.Kind]proto.Message{
		link.KindRun:          &linkrpc.Run{Request: "1", Attempt: 1, Service: "desk", Instance: "i-1", Method: "GET", Host: "h", Target: "/", Headers: []string{"A", "b"}, RemainingUs: 1000, PatienceUs: 1},
		link.KindAsk:          &linkrpc.Ask{Attempt: 1},
		link.KindTokenRequest: &linkrpc.TokenRequest{Organisation: "dakar", Wanted: nan},
		link.KindTopicRead:    &linkrpc.TopicRead{Topic: linkrpc.Topic_TOPIC_CONFIG, From: &linkrpc.TopicPosition{Offset: -1}, WaitUs: -5},
		link.KindStatus:       status,
		link.KindDeparture:    &linkrpc.Status{Node: "b", Load: &linkrpc.Load{Closed: true, LeavingInstance: "i-2"}},
		link.KindTokenGifts:   &linkrpc.TokenGifts{Node: "b", Gifts: []*linkrpc.TokenGift{{Organisation: "dakar", Tokens: nan}}},
		link.KindReports:      &linkrpc.Reports{Statuses: [][]byte{encode(f, status)}, Reach: linkrpc.Reach_REACH_ALL},
	} {
		f.Add(uint8(kind), encode(f, message))
	}
	n := newFuzzNode()
	f.Fuzz(func(t *testing.T, kind uint8, payload []byte) {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		switch link.Kind(kind) {
		case link.KindStatus:
			if s := (&linkrpc.Status{}); proto.Unmarshal(payload, s) == nil {
				n.handleStatus(s)
			}
		case link.KindTokenGifts:
			if g := (&linkrpc.TokenGifts{}); proto.Unmarshal(payload, g) == nil {
				n.handleTokenGifts(g)
			}
		case link.KindReports:
			if r := (&linkrpc.Reports{}); proto.Unmarshal(payload, r) == nil {
				n.handleReports(r)
			}
		default:
			n.handlePeerRequest(ctx, link.Request{Kind: link.Kind(kind), Payload: payload, Wanted: ctx})
		}
		n.demand.Tick()
		n.passReportsOn()
		if n.panicCount.Load() > 0 {
			t.Fatal("the handling of a message panicked")
		}
		if tokens := n.rateLimiter.PoolTokens("dakar"); !(tokens >= 0 && tokens <= 100) {
			t.Fatalf("the pool holds %v tokens", tokens)
		}
	})
}

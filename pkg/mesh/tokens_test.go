package mesh

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against tokens that are lost because they are lent to a peer that does not wait
// for them any more.
func TestTokensAreNotLentToCancelledRequest(t *testing.T) {
	is := is.New(t)
	n := &Node{rateLimiter: &quota.Limiter{Clock: &clock.Fake{}, StartFull: true}}
	n.rateLimiter.Update(map[fleet.OrganisationID]quota.Limit{"dakar": {Rate: 1, Burst: 8}}, 1)
	payload, err := proto.Marshal(&linkrpc.TokenRequest{Organisation: "dakar", Wanted: 3})
	is.NoErr(err)
	request := link.Request{Kind: link.KindTokenRequest, Payload: payload}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(n.handlePeerRequest(cancelled, request), nil)
	grant, granted := n.handlePeerRequest(t.Context(), request).(*linkrpc.TokenGrant)
	is.True(granted)
	is.Equal(grant.Granted, 3.0)
	is.Equal(n.rateLimiter.Lend("dakar", 8), 2.5)
}

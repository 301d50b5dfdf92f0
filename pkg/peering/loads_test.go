package peering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/clocktest"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Guards against an instance that looks idle as it rejects or fails calls at once, and against
// one that stays excluded, as the entrance hears of its recovery by its own calls only.
func TestOutlierGetsProbesUntilAStatusShowsItsRecovery(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	peers := newPeers(&clocktest.Stepped{})
	peers.Clock = fake
	share := func() float64 {
		const calls = 2000
		count := 0
		for range calls {
			if peers.Choose("desk", nil, nil).Entry.Instance == "a" {
				count++
			}
		}
		return float64(count) / calls
	}
	busy := &linkrpc.Load{InFlight: 6, Limit: 10}
	peers.NoteStatus("b", busy)
	peers.NoteStatus("a", &linkrpc.Load{Limit: 10, RejectedFraction: 0.45})
	is.True(share() > 0.02 && share() < 0.3)
	is.Equal(len(peers.Outliers()), 1)
	is.Equal(peers.Outliers()[0].Entry.Instance, fleet.InstanceName("a"))

	// A status that was sent before the last outcome arrived changes nothing.
	fake.Advance(statusLag / 2)
	peers.NoteStatus("a", &linkrpc.Load{Limit: 10})
	is.Equal(len(peers.Outliers()), 1)

	fake.Advance(time.Second)
	peers.NoteStatus("a", &linkrpc.Load{Limit: 10})
	peers.NoteStatus("b", busy)
	is.Equal(len(peers.Outliers()), 0)
	is.True(share() > 0.5)
	peers.NoteStatus("unknown", busy)
	peers.NoteStatus("a", nil)
}

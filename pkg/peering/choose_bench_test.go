package peering

import (
	"fmt"
	"testing"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// BenchmarkChoose measures the choice among instances in two data centres, in calm and while
// one rejects half of its calls.
func BenchmarkChoose(b *testing.B) {
	for _, rejected := range []float32{0, 0.5} {
		for _, count := range []int{10, 100} {
			b.Run(fmt.Sprintf("%d instances, rejected %v", count, rejected), func(b *testing.B) {
				peers := &Peers{Clock: clock.System{}, Logger: logs.Discard(), LocalNode: "self", DataCentre: "a", Gate: &gate.Gate{Clock: clock.System{}}}
				snapshot := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{}}
				for i := range count {
					name := fmt.Sprint("node-", i)
					entry := directory.Entry{Node: directory.NodeAddress(name), Instance: fleet.InstanceName(name), Service: "desk", Slots: 16, Open: true, DataCentre: fleet.DataCentre("ab"[i%2 : i%2+1])}
					snapshot.Nodes[entry.Node] = entry
					snapshot.Services["desk"] = append(snapshot.Services["desk"], entry)
				}
				peers.Update(snapshot)
				for i, target := range peers.Targets("desk") {
					load := &linkrpc.Load{InFlight: uint32(i % 8), Limit: 15, RunUs: 40_000}
					if i == 0 {
						load.RejectedFraction = rejected
					}
					target.Peer.noteLoad(peers.Clock.Now(), load, 0)
				}
				b.ReportAllocs()
				for b.Loop() {
					peers.Choose("desk", nil, nil)
				}
			})
		}
	}
}

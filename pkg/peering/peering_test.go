package peering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/clocktest"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

func newPeers(stepped *clocktest.Stepped) *Peers {
	peers := &Peers{Clock: stepped, Logger: logs.Discard(), LocalNode: "self", Gate: &gate.Gate{Clock: stepped}}
	snapshot := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{}}
	for _, name := range []directory.NodeAddress{"a", "b"} {
		entry := directory.Entry{Node: name, Instance: fleet.InstanceName(name), Service: "desk", Slots: 10, Open: true}
		snapshot.Nodes[name] = entry
		snapshot.Services["desk"] = append(snapshot.Services["desk"], entry)
	}
	peers.Update(snapshot)
	return peers
}

// An instance that rejected a call as closed is a last resort for a second, even
// if the wall clock jumps during that time.
func TestAvoidanceEndsDespiteWallClockJumps(t *testing.T) {
	for _, jump := range []time.Duration{0, 40 * time.Minute, -40 * time.Minute} {
		t.Run(jump.String(), func(t *testing.T) {
			is := is.New(t)
			stepped := &clocktest.Stepped{}
			peers := newPeers(stepped)
			peer := peers.Targets("desk")[0].Peer
			avoided := func() bool { return peers.Targets("desk")[0].candidate(stepped.Now()).LastResort }
			peer.MarkClosed(stepped.Now())
			stepped.Step(jump)
			is.True(avoided())
			time.Sleep(closedAvoidance + 50*time.Millisecond)
			is.True(!avoided())
		})
	}
}

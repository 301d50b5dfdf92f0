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

// A peer that leaves the directory is taken out of the choice at once. While it is held
// it stays the same peer for a node that comes back; once its link is closed it cannot be
// held, and a node that comes back is a new peer.
func TestLeavingPeer(t *testing.T) {
	is := is.New(t)
	peers := newPeers(&clocktest.Stepped{})
	peer := peers.Choose("desk", nil).Peer
	is.True(peer.Hold())
	peers.Update(&directory.Snapshot{})
	is.Equal(peers.Choose("desk", nil), nil)
	is.Equal(len(peers.ReachablePeers(10)), 0)
	peers.CheckLiveness()
	is.True(peer.Hold())
	peer.Release()

	entry := directory.Entry{Node: peer.Node, Instance: "c", Service: "desk", Slots: 10, Open: true}
	present := &directory.Snapshot{
		Nodes:    map[directory.NodeAddress]directory.Entry{peer.Node: entry},
		Services: map[fleet.ServiceName][]directory.Entry{"desk": {entry}},
	}
	peers.Update(present)
	is.Equal(peers.Choose("desk", nil).Peer, peer)
	peer.Release()
	peers.CheckLiveness()
	is.Equal(peers.ReachablePeers(10), []*Peer{peer})

	is.True(peer.Hold())
	peers.Update(&directory.Snapshot{})
	peer.Release()
	peers.CheckLiveness()
	is.True(!peer.Hold())
	is.True(!peer.Hold())
	is.True(!peer.link.Reachable())
	peers.Update(present)
	is.True(peers.Choose("desk", nil).Peer != peer)
	is.Equal(len(peers.ReachablePeers(10)), 1)
}

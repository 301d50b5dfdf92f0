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
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
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
	peer := peers.Choose("desk", nil, nil).Peer
	is.True(peer.Hold())
	peers.Update(&directory.Snapshot{})
	is.Equal(peers.Choose("desk", nil, nil), nil)
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
	is.Equal(peers.Choose("desk", nil, nil).Peer, peer)
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
	is.True(peers.Choose("desk", nil, nil).Peer != peer)
	is.Equal(len(peers.ReachablePeers(10)), 1)
}

// An instance that has said that it leaves gets no more calls, also if its entry says again
// that it is open. One that starts anew under its id does.
func TestInstanceThatLeavesIsNotChosen(t *testing.T) {
	is := is.New(t)
	peers := newPeers(&clocktest.Stepped{})
	chosen := func() map[fleet.InstanceName]bool {
		names := map[fleet.InstanceName]bool{}
		for range 100 {
			if target := peers.Choose("desk", nil, nil); target != nil {
				names[target.Entry.Instance] = true
			}
		}
		return names
	}
	is.Equal(chosen(), map[fleet.InstanceName]bool{"a": true, "b": true})
	peers.NoteLeaving(&linkrpc.Load{LeavingInstance: "a"})
	is.Equal(chosen(), map[fleet.InstanceName]bool{"b": true})
	entries := []directory.Entry{{Node: "a", Instance: "a", Service: "desk", Slots: 10, Open: true}}
	open := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{"a": entries[0]}, Services: map[fleet.ServiceName][]directory.Entry{"desk": entries}}
	peers.Update(open)
	is.Equal(chosen(), map[fleet.InstanceName]bool{})
	entries[0].StartUnixMs = 7
	peers.Update(open)
	is.Equal(chosen(), map[fleet.InstanceName]bool{"a": true})
}

// Guards against calls to the instances of an excluded data centre, and against instances that
// are not chosen again later.
func TestExcludedDataCentreIsNotChosen(t *testing.T) {
	is := is.New(t)
	peers := newPeers(&clocktest.Stepped{})
	entries := []directory.Entry{{Node: "a", Instance: "a", Service: "desk", DataCentre: "x", Slots: 10, Open: true}, {Node: "b", Instance: "b", Service: "desk", DataCentre: "y", Slots: 10, Open: true}}
	peers.Update(&directory.Snapshot{
		Nodes:    map[directory.NodeAddress]directory.Entry{"a": entries[0], "b": entries[1]},
		Services: map[fleet.ServiceName][]directory.Entry{"desk": entries},
	})
	excluded := map[fleet.DataCentre]bool{}
	peers.Excluded = func(dataCentre fleet.DataCentre) bool { return excluded[dataCentre] }
	chosen := func() map[fleet.InstanceName]bool {
		names := map[fleet.InstanceName]bool{}
		for range 100 {
			if target := peers.Choose("desk", nil, nil); target != nil {
				names[target.Entry.Instance] = true
			}
		}
		is.Equal(peers.HasTarget("desk"), len(names) > 0)
		return names
	}
	is.Equal(len(chosen()), 2)
	excluded["x"] = true
	is.Equal(chosen(), map[fleet.InstanceName]bool{"b": true})
	excluded["y"] = true
	is.Equal(len(chosen()), 0)
	is.Equal(peers.Choose("desk", nil, func(fleet.DataCentre) bool { return true }), nil)
	delete(excluded, "x")
	is.Equal(peers.Choose("desk", nil, func(dataCentre fleet.DataCentre) bool { return dataCentre == "y" }), nil)
	is.Equal(chosen(), map[fleet.InstanceName]bool{"a": true})
}

// The memory of departed instances is bounded; the oldest are forgotten.
func TestDepartedInstancesAreBounded(t *testing.T) {
	is := is.New(t)
	d := &departedInstances{}
	for i := range maxDeparted + 10 {
		is.True(d.add(fleet.Incarnation{Instance: "a", StartUnixMs: int64(i)}))
	}
	is.Equal(len(*d.incarnations.Load()), maxDeparted)
	is.True(!d.has(fleet.Incarnation{Instance: "a", StartUnixMs: 9}))
	is.True(d.has(fleet.Incarnation{Instance: "a", StartUnixMs: 10}))
}

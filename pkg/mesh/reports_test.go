package mesh

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Statuses arrive twice, in any order, and from before a restart of their node. Guards
// against an older status that replaces a newer one.
func TestOldStatusesAreRecognised(t *testing.T) {
	is := is.New(t)
	f := &statusFilter{}
	status := func(incarnation, sequence uint64) *linkrpc.Status {
		return &linkrpc.Status{Node: "a", Incarnation: incarnation, Sequence: sequence}
	}
	is.True(f.isNew(status(5, 1)))
	is.True(!f.isNew(status(5, 1)))
	is.True(f.isNew(status(5, 3)))
	is.True(!f.isNew(status(5, 2)))
	is.True(f.isNew(&linkrpc.Status{Node: "b", Incarnation: 5, Sequence: 1}))
	is.True(f.isNew(status(9, 1)))
	is.True(!f.isNew(status(5, 4)))
	is.True(f.isNew(status(9, 2)))
	// A status straight from its node has no number.
	is.True(f.isNew(status(0, 0)))
}

// Guards against a status that is applied after a newer one of the same life of a node.
func TestStatusesOnlyAdvance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &statusFilter{}
		applied := map[uint64]uint64{}
		for range rapid.IntRange(1, 50).Draw(t, "statuses") {
			s := &linkrpc.Status{Node: "a", Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), Sequence: rapid.Uint64Range(1, 9).Draw(t, "sequence")}
			if !f.isNew(s) {
				continue
			}
			if s.Sequence <= applied[s.Incarnation] {
				t.Fatalf("status %d of %d is applied after %d", s.Sequence, s.Incarnation, applied[s.Incarnation])
			}
			applied[s.Incarnation] = s.Sequence
		}
	})
}

func TestReportBufferIsBounded(t *testing.T) {
	is := is.New(t)
	b := &reportBuffer{}
	for range 2 * maxCollectedReports {
		b.add([][]byte{nil}, linkrpc.Reach_REACH_ALL)
		b.add([][]byte{nil}, linkrpc.Reach_REACH_RECEIVER)
	}
	local, remote := b.take()
	is.Equal(len(local), maxCollectedReports)
	is.Equal(len(remote), maxCollectedReports)
	local, remote = b.take()
	is.Equal(len(local)+len(remote), 0)
	b.add([][]byte{nil}, linkrpc.Reach_REACH_DATA_CENTRE)
	local, remote = b.take()
	is.Equal(len(local), 1)
	is.Equal(len(remote), 0)
}

// All nodes that know the same directory ask the same node, and the order does not favour
// one data centre. Guards against nodes whose instance is closed, which may leave.
func TestReadersAreTheSameForAll(t *testing.T) {
	is := is.New(t)
	s := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}}
	for i := range 40 {
		address := directory.NodeAddress(fmt.Sprintf("10.0.0.%d:7000", i))
		s.Nodes[address] = directory.Entry{Node: address, DataCentre: fleet.DataCentre(fmt.Sprint("z", i%4)), Open: i%5 != 0}
	}
	n := &Node{}
	first := n.readers(s, "z1")
	is.Equal(len(first), 8)
	for range 20 {
		is.Equal(n.readers(s, "z1"), first)
	}
	for _, address := range first {
		is.True(s.Nodes[address].Open)
	}
}

// Each organisation has one home, and homes share the organisations.
func TestHomesShareOrganisations(t *testing.T) {
	is := is.New(t)
	homes := &tokenHomes{}
	for i := range 10 {
		homes.addresses = append(homes.addresses, directory.NodeAddress(fmt.Sprintf("10.0.0.%d:7000", i)))
	}
	for range homes.addresses {
		homes.peers = append(homes.peers, &peering.Peer{})
	}
	counts := map[any]int{}
	for i := range 1000 {
		counts[homes.of(fleet.OrganisationID(fmt.Sprint("organisation", i)))]++
	}
	is.Equal(len(counts), 10)
	for _, count := range counts {
		is.True(count > 50 && count < 200)
	}
	is.True((&tokenHomes{}).of("dakar") == nil)
}

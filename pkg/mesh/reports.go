package mesh

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// reportInterval is how long statuses are collected before they are passed on.
	reportInterval = 100 * time.Millisecond
	// reportersPerDataCentre is the number of nodes of each data centre that pass statuses
	// on. Each of them passes on all, so that one may fail.
	reportersPerDataCentre = 2
	// maxCollectedReports bounds the statuses that are collected, for each destination.
	maxCollectedReports = 4096
)

// reportBuffer collects encoded statuses until they are passed on. The zero value is ready
// to use. It is safe for concurrent use.
type reportBuffer struct {
	mu sync.Mutex
	// local holds the statuses for the nodes of the data centre, and remote those for other
	// data centres.
	local, remote [][]byte
}

func (b *reportBuffer) add(statuses [][]byte, reach linkrpc.Reach) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reach != linkrpc.Reach_REACH_RECEIVER && len(b.local) < maxCollectedReports {
		b.local = append(b.local, statuses...)
	}
	if reach == linkrpc.Reach_REACH_ALL && len(b.remote) < maxCollectedReports {
		b.remote = append(b.remote, statuses...)
	}
}

func (b *reportBuffer) take() (local, remote [][]byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	local, remote = b.local, b.remote
	b.local, b.remote = nil, nil
	return local, remote
}

// statusFilter recognises statuses that arrive twice or late. The zero value is ready to
// use. It is safe for concurrent use.
type statusFilter struct {
	mu sync.Mutex
	// newest holds what is known of each node.
	newest map[directory.NodeAddress]statusOrigin
}

// statusOrigin is the newest status of a node.
type statusOrigin struct {
	incarnation, sequence uint64
	// previousIncarnation is the one before, whose statuses may still arrive.
	previousIncarnation uint64
}

// isNew reports whether a status is newer than all that were passed to isNew before.
func (f *statusFilter) isNew(s *linkrpc.Status) bool {
	if s.Incarnation == 0 {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest == nil {
		f.newest = map[directory.NodeAddress]statusOrigin{}
	}
	node := directory.NodeAddress(s.Node)
	known := f.newest[node]
	switch s.Incarnation {
	case known.previousIncarnation:
		return false
	case known.incarnation:
		if s.Sequence <= known.sequence {
			return false
		}
		known.sequence = s.Sequence
	default:
		known = statusOrigin{incarnation: s.Incarnation, sequence: s.Sequence, previousIncarnation: known.incarnation}
	}
	f.newest[node] = known
	return true
}

// reporters returns the nodes of a data centre that pass statuses on, as far as this node
// is connected with them, in an order on which all agree. The local node is a nil peer.
func (n *Node) reporters(nodes []directory.NodeAddress) []*peering.Peer {
	var peers []*peering.Peer
	for _, address := range nodes {
		if len(peers) == reportersPerDataCentre {
			break
		}
		peer := n.peers.ConnectedPeer(address)
		if peer != nil && peer.PassesReports() || address == directory.NodeAddress(n.settings.PeerAddress) {
			peers = append(peers, peer)
		}
	}
	return peers
}

// publishStatus sends the status of this node to the nodes of its data centre that pass it
// on, and to nodes of older builds.
func (n *Node) publishStatus(ctx context.Context, status *linkrpc.Status) {
	for _, p := range n.peers.ReachablePeers(n.peers.NodeCount()) {
		p.Connect(ctx)
		if !p.PassesReports() {
			p.SendStatus(status)
		}
	}
	n.statusCount++
	status.Incarnation, status.Sequence = n.incarnation, n.statusCount
	encoded, err := proto.Marshal(status)
	if err != nil {
		n.logUnreadable("own status", err)
		return
	}
	statuses := [][]byte{encoded}
	peers := n.reporters(n.readers(n.directory.Snapshot(), n.settings.DataCentre))
	for _, p := range peers {
		if p != nil {
			p.SendReports(&linkrpc.Reports{Statuses: statuses, Reach: linkrpc.Reach_REACH_ALL})
		}
	}
	if len(peers) == 0 || slices.Contains(peers, nil) {
		n.reports.add(statuses, linkrpc.Reach_REACH_ALL)
	}
}

// handleReports applies the statuses that a peer has passed on, and passes the new ones on
// further.
func (n *Node) handleReports(r *linkrpc.Reports) {
	fresh := make([][]byte, 0, len(r.Statuses))
	for _, encoded := range r.Statuses {
		status := &linkrpc.Status{}
		if err := proto.Unmarshal(encoded, status); err != nil {
			n.logUnreadable("status", err)
			continue
		}
		if status.Node != n.settings.PeerAddress && n.statuses.isNew(status) {
			n.handleStatus(status)
			fresh = append(fresh, encoded)
		}
	}
	n.reports.add(fresh, r.Reach)
}

// runReporter passes on what was collected, until ctx ends.
func (n *Node) runReporter(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(reportInterval), n.guarded("the reports", n.passReportsOn))
}

// passReportsOn sends the collected statuses to the other nodes of the data centre, and
// those of the data centre to a node of each other one.
func (n *Node) passReportsOn() {
	local, remote := n.reports.take()
	snapshot := n.directory.Snapshot()
	if len(local) > 0 {
		n.sendToDataCentre(snapshot, local)
	}
	if len(remote) > 0 {
		n.sendToOthers(snapshot, remote)
	}
}

func (n *Node) sendToDataCentre(s *directory.Snapshot, statuses [][]byte) {
	reports := &linkrpc.Reports{Statuses: statuses}
	for address, e := range s.Nodes {
		if e.DataCentre != n.settings.DataCentre {
			continue
		}
		if p := n.peers.ConnectedPeer(address); p != nil && p.PassesReports() {
			p.SendReports(reports)
		}
	}
}

// sendToOthers sends statuses to one node of each other data centre: the first node that
// passes statuses on to the first one there, the second to the second.
func (n *Node) sendToOthers(s *directory.Snapshot, statuses [][]byte) {
	rank := max(slices.Index(n.reporters(n.readers(s, n.settings.DataCentre)), nil), 0)
	reports := &linkrpc.Reports{Statuses: statuses, Reach: linkrpc.Reach_REACH_DATA_CENTRE}
	for _, dataCentre := range otherDataCentres(s, n.settings.DataCentre) {
		if peers := n.reporters(n.readers(s, dataCentre)); len(peers) > 0 {
			peers[min(rank, len(peers)-1)].SendReports(reports)
		}
	}
}

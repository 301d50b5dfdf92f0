package mesh

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

const (
	// fleetSizeKey is the key of the recorded fleet size in its topic.
	fleetSizeKey = "size"
	// fleetSizeInterval is the time between two looks at the fleet size, and
	// fleetSizeTimeout bounds a read or a write of the record.
	fleetSizeInterval = 500 * time.Millisecond
	fleetSizeTimeout  = time.Second
	// fleetSizeReadInterval is the time after which the node that keeps the record reads it
	// again, as a restored store may have lost it.
	fleetSizeReadInterval = time.Minute
)

// fleetSize is the number of nodes that share the limits of the fleet. It comes from the
// directory, and until that has been read from a record in a topic of its own, so that one
// partition that is down does not leave a node that starts without shares. The zero value
// is ready to use. It is safe for concurrent use.
type fleetSize struct {
	mu sync.Mutex
	// recorded is what the record says; 0 before it was read.
	recorded int
	// readAt is when the record was read last.
	readAt time.Time
}

func (s *fleetSize) get() (recorded int, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recorded, s.readAt
}

func (s *fleetSize) set(recorded int, readAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded, s.readAt = recorded, readAt
}

// fleetSize returns the number of nodes that share the limits of the fleet, or 0 if it is
// not known: a node that has read nothing yet must not take itself for the only one.
func (n *Node) fleetSize() int {
	if n.directory.Loaded() {
		return n.peers.NodeCount()
	}
	recorded, _ := n.recordedSize.get()
	if recorded == 0 {
		return 0
	}
	return max(recorded, n.peers.NodeCount())
}

// updateShares applies the fleet size to the limits that the nodes share.
func (n *Node) updateShares() {
	n.entrance.SetRetryLimits(n.settings.RetryLimits, n.fleetSize())
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	if view := n.view.Load(); view != nil {
		n.updateRateLimits(view)
	}
}

// runFleetSize reads the record while the directory cannot be read, and keeps the record up
// to date otherwise, until ctx ends.
func (n *Node) runFleetSize(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(fleetSizeInterval), n.guarded("the fleet size", func() { n.checkFleetSize(ctx) }))
}

func (n *Node) checkFleetSize(ctx context.Context) {
	if n.platform.FleetSource.Newest == nil || n.stopping.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fleetSizeTimeout)
	defer cancel()
	recorded, readAt := n.recordedSize.get()
	if !n.directory.Loaded() {
		if recorded == 0 && n.readFleetSize(ctx) {
			n.updateShares()
		}
		return
	}
	size := n.peers.NodeCount()
	if size <= recorded && n.clock.Now().Sub(readAt) < fleetSizeReadInterval || !n.keepsFleetSize() || !n.readFleetSize(ctx) {
		return
	}
	if recorded, readAt = n.recordedSize.get(); size > recorded && n.writeFleetSize(ctx, size) {
		n.recordedSize.set(size, readAt)
	}
}

// keepsFleetSize reports whether this node is the one that keeps the record: the first of
// all nodes whose instance accepts calls. If several believe to be, they write the same.
func (n *Node) keepsFleetSize() bool {
	snapshot := n.directory.Snapshot()
	var first directory.NodeAddress
	for _, dataCentre := range append(otherDataCentres(snapshot, n.settings.DataCentre), n.settings.DataCentre) {
		if nodes := openNodes(snapshot, dataCentre); len(nodes) > 0 && (first == "" || nodes[0] < first) {
			first = nodes[0]
		}
	}
	return first == directory.NodeAddress(n.settings.PeerAddress)
}

// readFleetSize reads the record and reports whether that succeeded. Without a record the
// size is 0.
func (n *Node) readFleetSize(ctx context.Context) bool {
	now := n.clock.Now()
	records, _, err := n.platform.FleetSource.Newest(ctx)
	if err != nil {
		logs.WithComponent(n.logger, logs.ComponentMember).WithError(err).Info("cannot read the fleet size")
		return false
	}
	size := 0
	for _, r := range records {
		if r.Key == fleetSizeKey {
			size = n.decodeFleetSize(r.Value)
		}
	}
	n.recordedSize.set(size, now)
	return true
}

// decodeFleetSize returns the size in a record, or 0 if that cannot be read.
func (n *Node) decodeFleetSize(value []byte) int {
	size, err := strconv.ParseUint(string(value), 10, 31)
	if err != nil {
		logs.WithComponent(n.logger, logs.ComponentMember).WithError(err).Warn("the recorded fleet size cannot be read")
		return 0
	}
	return int(size)
}

// writeFleetSize writes the record and reports whether that succeeded.
func (n *Node) writeFleetSize(ctx context.Context, size int) bool {
	logger := logs.WithComponent(n.logger, logs.ComponentMember).WithField("size", size)
	if err := n.platform.PutFleetRecord(ctx, topic.Record{Key: fleetSizeKey, Value: []byte(strconv.Itoa(size))}); err != nil {
		logger.WithError(err).Warn("cannot write the fleet size; retrying")
		return false
	}
	logger.Info("fleet size written")
	return true
}

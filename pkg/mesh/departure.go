package mesh

import (
	"context"
	"fmt"
	"time"

	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// departureWriteTimeout bounds how long the acknowledgement of a departure waits for the
	// store, and departurePeerTimeout how long it waits for peers then. The instance takes
	// an acknowledgement that comes within a second.
	departureWriteTimeout = 350 * time.Millisecond
	departurePeerTimeout  = 350 * time.Millisecond
	// departurePeers is the number of peers that are told if the store fails. The others
	// hear of it with the next status.
	departurePeers = 3
)

// DepartureError reports that the departure of the local instance is not recorded, so that it
// must not be acknowledged: a restart of the node would forget it.
type DepartureError struct {
	Incarnation fleet.Incarnation
	// Cause is the error of the write to the store.
	Cause error
}

// Error implements error.
func (e *DepartureError) Error() string {
	return fmt.Sprintf("the departure of instance %s is not recorded yet: %v", e.Incarnation.Instance, e.Cause)
}

// Unwrap returns the cause.
func (e *DepartureError) Unwrap() error { return e.Cause }

// handleHeartbeat applies a heartbeat of the local instance. It returns *DepartureError if
// the instance leaves and must say so again.
func (n *Node) handleHeartbeat(ctx context.Context, h Heartbeat) error {
	if !n.heartbeats.HandleHeartbeat(h) {
		logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", h.Instance).WithField("sequence", h.Sequence).Info("heartbeat ignored: it is stale or of another service")
		return nil
	}
	n.healthChecks.wake.send()
	if h.Draining {
		return n.recordDeparture(ctx, h.incarnation())
	}
	return nil
}

// handleDeregistration applies a deregistration of the local instance. It returns
// *DepartureError if the instance must say so again.
func (n *Node) handleDeregistration(ctx context.Context, d Deregistration) error {
	i, applied := n.heartbeats.HandleDeregistration(d)
	if !applied {
		logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", d.Instance).WithField("startUnixMs", d.StartUnixMs).Info("deregistration ignored: it is of an earlier instance")
		return nil
	}
	return n.recordDeparture(ctx, i)
}

// directoryUpToDate reports whether the directory's topic was read within the time that one read
// may take.
func (n *Node) directoryUpToDate() bool {
	age, known := n.directoryFollower.Age()
	return known && age < directoryPollWait+pollMargin
}

// checkDepartures applies what may have become known of departures of the local instance.
func (n *Node) checkDepartures() {
	n.heartbeats.CheckDepartures()
	n.healthChecks.wake.send()
}

// onLeaving closes the gate of an instance that says in a response that it leaves.
func (n *Node) onLeaving(a instance.Announcement) {
	if n.heartbeats.HandleLeaving(fleet.InstanceName(a.Instance), a.Sent) {
		n.directory.AnnounceDeparture(n.gate.LocalInstance().Incarnation())
		logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", a.Instance).WithField("request", a.RequestID).Info("instance says that it leaves")
	}
}

// recordDeparture makes a departure of the local instance outlast this process: in the
// store, or, where mayRelyOnPeers, at peers if the store does not take it in time. It returns
// *DepartureError if that failed.
func (n *Node) recordDeparture(ctx context.Context, i fleet.Incarnation) error {
	logger := logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", i.Instance).WithField("startUnixMs", i.StartUnixMs)
	writeCtx, cancel := context.WithTimeout(ctx, departureWriteTimeout)
	defer cancel()
	err := n.directory.RecordDeparture(writeCtx, i)
	if err == nil {
		logger.Info("departure recorded")
		return nil
	}
	if told := n.tellDeparture(ctx, i); told > 0 && n.mayRelyOnPeers() {
		logger.WithError(err).WithField("peers", told).Warn("departure recorded at peers only")
		return nil
	}
	logger.WithError(err).Warn("departure not recorded; not acknowledged")
	return &DepartureError{Incarnation: i, Cause: err}
}

// tellDeparture tells peers that the local instance leaves, and returns how many have noted
// it.
func (n *Node) tellDeparture(ctx context.Context, i fleet.Incarnation) int {
	ctx, cancel := context.WithTimeout(ctx, departurePeerTimeout)
	defer cancel()
	status := &linkrpc.Status{
		Node: n.settings.PeerAddress,
		Load: &linkrpc.Load{Closed: true, LeavingInstance: string(i.Instance), LeavingStartUnixMs: i.StartUnixMs},
	}
	peers := n.peers.ReachablePeers(departurePeers)
	results := make(chan error, len(peers))
	for _, p := range peers {
		go func() { results <- p.TellDeparture(ctx, status) }()
	}
	told := 0
	for range peers {
		if err := <-results; err == nil {
			told++
		}
	}
	return told
}

// noteDeparture notes that the instance of a peer leaves, if its status says so.
func (n *Node) noteDeparture(status *linkrpc.Status) {
	load := status.GetLoad()
	if load.GetLeavingInstance() == "" {
		return
	}
	n.peers.NoteLeaving(load)
	n.directory.NoteDeparture(directory.NodeAddress(status.Node), leavingOf(load))
}

// keepDeparture notes that the instance of a peer leaves, which relies on this node to record
// that.
func (n *Node) keepDeparture(status *linkrpc.Status) {
	n.noteDeparture(status)
	if load := status.GetLoad(); load.GetLeavingInstance() != "" {
		n.directory.KeepDeparture(directory.NodeAddress(status.Node), leavingOf(load))
	}
}

// leavingOf returns the incarnation that leaves by the word of its node.
func leavingOf(load *linkrpc.Load) fleet.Incarnation {
	return fleet.Incarnation{Instance: fleet.InstanceName(load.LeavingInstance), StartUnixMs: load.LeavingStartUnixMs}
}

// hasDeparted reports whether the local instance has announced its shutdown, also to an
// earlier process of the node, and whether that is known for certain.
func (n *Node) hasDeparted(i fleet.Incarnation) (departed, known bool) {
	departed, read := n.directory.HasDeparted(i)
	return departed, departed || read && n.topicHoldsAllDepartures()
}

// topicHoldsAllDepartures reports whether each departure that an earlier process of the node
// has acknowledged is in the directory's topic. One that only peers have noted is in none once
// they restart, too.
func (n *Node) topicHoldsAllDepartures() bool {
	path, known := n.healthPath()
	return n.settings.FirstStart || known && path == ""
}

// mayRelyOnPeers reports whether a departure may be acknowledged that only peers have noted:
// the next process of the node asks the instance itself.
func (n *Node) mayRelyOnPeers() bool {
	path, known := n.healthPath()
	return known && path != ""
}

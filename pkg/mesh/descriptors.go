package mesh

import (
	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/connection"
)

const (
	// reservedDescriptors is the number of descriptors for files, listeners, the store and
	// the metrics.
	reservedDescriptors = 256
	// linksPerPeer is the number of connections between two nodes: one from each side.
	linksPerPeer = 2
	// assumedSlots is the number of connections that the instance is assumed to need until
	// it has announced its slots.
	assumedSlots = 512
	// callerFraction is the fraction of the descriptors that connections of callers may
	// take in any case. Idle ones take no more.
	callerFraction = 0.25
	// connBytes is the memory that a connection takes without large heads and bodies, and
	// connMemoryFraction the fraction of the memory that connections of callers may take.
	connBytes          = 24 << 10
	connMemoryFraction = 0.3
)

// maxCallerConns returns the number of connections of callers that leaves descriptors for
// the links to peers and for the connections to the instance, and memory for all else.
func (n *Node) maxCallerConns() int {
	if n.settings.MemoryBytes <= 0 {
		return n.maxConnsByDescriptors()
	}
	return min(n.maxConnsByDescriptors(), int(connMemoryFraction*float64(n.settings.MemoryBytes))/connBytes)
}

func (n *Node) maxConnsByDescriptors() int {
	slots := assumedSlots
	if local := n.gate.LocalInstance(); local != nil {
		slots = local.Slots
	}
	reserved := reservedDescriptors + linksPerPeer*n.peers.NodeCount() + slots
	return max(n.descriptors-reserved, n.minCallerConns())
}

func (n *Node) minCallerConns() int { return int(callerFraction * float64(n.descriptors)) }

// boundCallerConns sets the bounds of the connections of callers.
func (n *Node) boundCallerConns() {
	n.descriptors = connection.MaxDescriptors(n.settings.MaxDescriptors)
	n.callerConns.MaxIdle = n.minCallerConns()
	n.callerConns.MaxOpen = n.maxCallerConns
	n.callerConns.OnAcceptError = n.onAcceptFailed
}

// onAcceptFailed logs an Accept that failed for lack of resources and is tried again.
func (n *Node) onAcceptFailed(err error) {
	n.events.Log(eventNotAccepted, func() logrus.Fields {
		conns := n.callerConns.Counts()
		return logrus.Fields{"error": err.Error(), "busyConns": conns.Busy, "idleConns": conns.Idle, "unusedConns": conns.Unused}
	})
}

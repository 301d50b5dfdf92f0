package mesh

import "github.com/plantainramp/plantainramp/pkg/fleet"

// InstanceCount returns the number of instances in the directory that accept calls. It
// is safe for concurrent use.
func (n *Node) InstanceCount() int {
	count := 0
	for _, entries := range n.directory.Snapshot().Services {
		count += len(entries)
	}
	return count
}

// ReportCount returns the number of nodes, this one included, whose reports of load the
// node has. It is safe for concurrent use.
func (n *Node) ReportCount() int { return n.demand.ReportCount() }

// IsEvacuated reports whether the node knows that a data centre is evacuated. It is safe for
// concurrent use.
func (n *Node) IsEvacuated(dataCentre fleet.DataCentre) bool { return n.evacuations.Has(dataCentre) }

package peering

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// maxDeparted bounds the incarnations that are remembered as departed.
const maxDeparted = 4096

// departedInstances remembers the instances that have said that they leave. They take no
// calls until they end, whatever their directory entry or a restarted node
// beside them says. The zero value is empty. It is safe for concurrent use.
type departedInstances struct {
	// incarnations is replaced as a whole, so that reading it needs no lock.
	incarnations atomic.Pointer[map[fleet.Incarnation]bool]

	// mu guards order, which holds the same incarnations, the oldest first.
	mu    sync.Mutex
	order []fleet.Incarnation
}

func (d *departedInstances) has(i fleet.Incarnation) bool {
	incarnations := d.incarnations.Load()
	return incarnations != nil && (*incarnations)[i]
}

// add remembers an incarnation, and reports whether it was new.
func (d *departedInstances) add(i fleet.Incarnation) bool {
	if d.has(i) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.has(i) {
		return false
	}
	updated := map[fleet.Incarnation]bool{}
	if incarnations := d.incarnations.Load(); incarnations != nil {
		updated = maps.Clone(*incarnations)
	}
	if len(d.order) >= maxDeparted {
		delete(updated, d.order[0])
		d.order = d.order[1:]
	}
	updated[i] = true
	d.order = append(d.order, i)
	d.incarnations.Store(&updated)
	return true
}

// NoteLeaving excludes the instance from the choice if its load says that it leaves.
func (p *Peers) NoteLeaving(load *linkrpc.Load) {
	if load.GetLeavingInstance() == "" {
		return
	}
	i := fleet.Incarnation{Instance: fleet.InstanceName(load.LeavingInstance), StartUnixMs: load.LeavingStartUnixMs}
	if p.departed.add(i) {
		p.Logger.WithField("id", i.Instance).WithField("startUnixMs", i.StartUnixMs).Info("instance leaves; no more calls are sent to it")
	}
}

package peering

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// maxDeparted bounds the lifetimes that are remembered as departed.
const maxDeparted = 4096

// lifetime is one start of an instance.
type lifetime struct {
	instance    fleet.InstanceName
	startUnixMs int64
}

func lifetimeOf(e directory.Entry) lifetime {
	return lifetime{instance: e.Instance, startUnixMs: e.StartUnixMs}
}

// departedInstances remembers the instances that have said that they leave. They take no
// calls for the rest of their lifetime, whatever their directory entry or a restarted node
// beside them says. The zero value is empty. It is safe for concurrent use.
type departedInstances struct {
	// lifetimes is replaced as a whole, so that reading it needs no lock.
	lifetimes atomic.Pointer[map[lifetime]bool]

	// mu guards order, which holds the same lifetimes, the oldest first.
	mu    sync.Mutex
	order []lifetime
}

func (d *departedInstances) has(l lifetime) bool {
	lifetimes := d.lifetimes.Load()
	return lifetimes != nil && (*lifetimes)[l]
}

// add remembers a lifetime, and reports whether it was new.
func (d *departedInstances) add(l lifetime) bool {
	if d.has(l) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.has(l) {
		return false
	}
	updated := map[lifetime]bool{}
	if lifetimes := d.lifetimes.Load(); lifetimes != nil {
		updated = maps.Clone(*lifetimes)
	}
	if len(d.order) >= maxDeparted {
		delete(updated, d.order[0])
		d.order = d.order[1:]
	}
	updated[l] = true
	d.order = append(d.order, l)
	d.lifetimes.Store(&updated)
	return true
}

// NoteLeaving excludes the instance from the choice if its load says that it leaves.
func (p *Peers) NoteLeaving(load *linkrpc.Load) {
	if load.GetLeavingInstance() == "" {
		return
	}
	l := lifetime{instance: fleet.InstanceName(load.LeavingInstance), startUnixMs: load.LeavingStartUnixMs}
	if p.departed.add(l) {
		p.Logger.WithField("id", l.instance).WithField("startUnixMs", l.startUnixMs).Info("instance leaves; no more calls are sent to it")
	}
}

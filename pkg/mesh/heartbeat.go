package mesh

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
)

// maxMissedHeartbeats is how many heartbeats may be missing before the instance
// is taken for gone.
const maxMissedHeartbeats = 3

// Heartbeat is what an instance says of itself.
type Heartbeat struct {
	Instance fleet.InstanceName
	Service  fleet.ServiceName
	Address  string
	Slots    int
	Draining bool
	// StartUnixMs is the instance's start in milliseconds since 1970, by its own
	// clock; 0 where it does not say.
	StartUnixMs int64
	// Sequence grows with each heartbeat of one start.
	Sequence uint64
}

// incarnation is one start of an instance.
type incarnation struct {
	id          fleet.InstanceName
	startUnixMs int64
}

// HeartbeatTracker turns heartbeats, which may be late or out of order, into what the
// gate knows of its instance. Set the exported fields before use.
type HeartbeatTracker struct {
	Clock    clock.Clock
	Service  fleet.ServiceName
	Interval time.Duration
	// OnChange is told of each change, before the heartbeat is acknowledged.
	OnChange func(*gate.Self)

	mu            sync.Mutex
	current       incarnation
	lastSequence  uint64
	lastHeartbeat time.Time
	instance      gate.Self
	// departed holds the starts that have said that they leave; they never come back.
	departed map[incarnation]bool
}

// HandleHeartbeat takes a heartbeat and tells whether it was the newest.
func (t *HeartbeatTracker) HandleHeartbeat(h Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	sender := incarnation{id: h.Instance, startUnixMs: h.StartUnixMs}
	if !t.isNewer(sender, h.Sequence) || h.Service != t.Service {
		return false
	}
	t.current, t.lastSequence, t.lastHeartbeat = sender, h.Sequence, now
	updated := gate.Self{
		ID: h.Instance, Service: h.Service, Slots: h.Slots, Open: !h.Draining && !t.departed[sender],
	}
	if h.Draining {
		t.markDeparted(sender)
	}
	t.setInstance(updated)
	return true
}

// isNewer tells whether a heartbeat says more than what is known.
func (t *HeartbeatTracker) isNewer(sender incarnation, sequence uint64) bool {
	if sender == t.current {
		return sequence > t.lastSequence
	}
	return sender.startUnixMs >= t.current.startUnixMs && !t.departed[sender]
}

func (t *HeartbeatTracker) markDeparted(i incarnation) {
	if t.departed == nil {
		t.departed = map[incarnation]bool{}
	}
	t.departed[i] = true
}

// HandleDeregistration takes the word of an instance that it leaves.
func (t *HeartbeatTracker) HandleDeregistration(id fleet.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != t.current.id {
		return
	}
	t.markDeparted(t.current)
	updated := t.instance
	updated.Open = false
	t.setInstance(updated)
}

// CheckLiveness closes the gate of an instance that has fallen silent.
func (t *HeartbeatTracker) CheckLiveness() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.instance.Open && t.Clock.Now().Sub(t.lastHeartbeat) > maxMissedHeartbeats*t.Interval {
		updated := t.instance
		updated.Open = false
		t.setInstance(updated)
	}
}

// MarkUnreachable notes that the instance's address refuses connections: it is taken
// for gone until its next heartbeat.
func (t *HeartbeatTracker) MarkUnreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.instance.Open {
		updated := t.instance
		updated.Open = false
		t.setInstance(updated)
	}
}

func (t *HeartbeatTracker) setInstance(updated gate.Self) {
	if t.instance.ID == updated.ID && t.instance.Open == updated.Open && t.instance.Slots == updated.Slots {
		return
	}
	t.instance = updated
	t.OnChange(&updated)
}

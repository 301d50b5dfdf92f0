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
func (p *HeartbeatTracker) HandleHeartbeat(h Heartbeat) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	sender := incarnation{id: h.Instance, startUnixMs: h.StartUnixMs}
	if !p.isNewer(sender, h.Sequence) || h.Service != p.Service {
		return false
	}
	p.current, p.lastSequence, p.lastHeartbeat = sender, h.Sequence, now
	updated := gate.Self{
		ID: h.Instance, Service: h.Service, Slots: h.Slots, Open: !h.Draining && !p.departed[sender],
	}
	if h.Draining {
		p.markDeparted(sender)
	}
	p.setInstance(updated)
	return true
}

// isNewer tells whether a heartbeat says more than what is known.
func (p *HeartbeatTracker) isNewer(sender incarnation, sequence uint64) bool {
	if sender == p.current {
		return sequence > p.lastSequence
	}
	return sender.startUnixMs >= p.current.startUnixMs && !p.departed[sender]
}

func (p *HeartbeatTracker) markDeparted(i incarnation) {
	if p.departed == nil {
		p.departed = map[incarnation]bool{}
	}
	p.departed[i] = true
}

// HandleDeregistration takes the word of an instance that it leaves.
func (p *HeartbeatTracker) HandleDeregistration(id fleet.InstanceName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id != p.current.id {
		return
	}
	p.markDeparted(p.current)
	updated := p.instance
	updated.Open = false
	p.setInstance(updated)
}

// CheckLiveness closes the gate of an instance that has fallen silent.
func (p *HeartbeatTracker) CheckLiveness() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instance.Open && p.Clock.Now().Sub(p.lastHeartbeat) > maxMissedHeartbeats*p.Interval {
		updated := p.instance
		updated.Open = false
		p.setInstance(updated)
	}
}

// MarkUnreachable notes that the instance's address refuses connections: it is taken
// for gone until its next heartbeat.
func (p *HeartbeatTracker) MarkUnreachable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instance.Open {
		updated := p.instance
		updated.Open = false
		p.setInstance(updated)
	}
}

func (p *HeartbeatTracker) setInstance(updated gate.Self) {
	if p.instance.ID == updated.ID && p.instance.Open == updated.Open && p.instance.Slots == updated.Slots {
		return
	}
	p.instance = updated
	p.OnChange(&updated)
}

package mesh

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
)

// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
// which the instance counts as gone.
const maxMissedHeartbeats = 3

// Heartbeat is the report of an instance on itself.
type Heartbeat struct {
	Instance fleet.InstanceName
	Service  fleet.ServiceName
	Address  string
	Slots    int
	Draining bool
	// StartUnixMs is the start time of the instance by its own clock, as Unix time in
	// milliseconds; 0 if it is not reported.
	StartUnixMs int64
	// Sequence increases with each heartbeat of one incarnation.
	Sequence uint64
}

// incarnation identifies one start of an instance.
type incarnation struct {
	id          fleet.InstanceName
	startUnixMs int64
}

// HeartbeatTracker derives the state of the local instance from its heartbeats, which
// may arrive late or out of order. Set the exported fields before use. Its methods are
// safe for concurrent use.
type HeartbeatTracker struct {
	Clock    clock.Clock
	Service  fleet.ServiceName
	Interval time.Duration
	// OnChange is called with each new state, before the heartbeat that caused it is
	// acknowledged.
	OnChange func(*gate.LocalInstance)

	// mu guards the fields below.
	mu sync.Mutex
	// current sent the newest heartbeat, and its first one at currentSince.
	current       incarnation
	currentSince  time.Time
	lastSequence  uint64
	lastHeartbeat time.Time
	// deregistered is the instance that was deregistered before the first heartbeat.
	deregistered fleet.InstanceName
	// instance is the state last passed to OnChange.
	instance gate.LocalInstance
	// departed holds the incarnations that have announced their shutdown. They stay
	// closed whatever they send later.
	departed map[incarnation]bool
}

// HandleHeartbeat applies a heartbeat. It reports whether it was applied: false means
// that the heartbeat is stale, from a departed incarnation or from another service.
func (t *HeartbeatTracker) HandleHeartbeat(h Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	sender := incarnation{id: h.Instance, startUnixMs: h.StartUnixMs}
	if !t.isNewer(sender, h.Sequence) || h.Service != t.Service {
		return false
	}
	deregistered := t.current.id == "" && h.Instance == t.deregistered
	if sender != t.current {
		t.currentSince = now
	}
	t.current, t.lastSequence, t.lastHeartbeat = sender, h.Sequence, now
	if h.Draining || deregistered {
		t.markDeparted(sender)
	}
	t.setInstance(gate.LocalInstance{
		ID: h.Instance, Service: h.Service, Slots: h.Slots, StartUnixMs: h.StartUnixMs, Open: !t.departed[sender], Leaving: t.departed[sender],
	})
	return true
}

// isNewer reports whether a heartbeat supersedes the last one applied.
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

// HandleDeregistration closes the gate of an instance that has announced its shutdown.
// Before the first heartbeat it is kept for that: a node that has restarted may hear of the
// shutdown first. Later, an id other than the current one is ignored.
func (t *HeartbeatTracker) HandleDeregistration(id fleet.InstanceName) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.id == "" {
		t.deregistered = id
	}
	if id != t.current.id {
		return
	}
	t.closeForGood()
}

// HandleLeaving closes the gate of an instance that has said in the response to a call that
// it leaves. It reports whether that was news. It ignores an id other than the current one,
// and the response to a call that was sent before the instance started.
func (t *HeartbeatTracker) HandleLeaving(id fleet.InstanceName, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != t.current.id || t.departed[t.current] || sent.Before(t.currentSince) {
		return false
	}
	t.closeForGood()
	return true
}

// closeForGood closes the gate until the instance starts anew. The caller
// holds mu.
func (t *HeartbeatTracker) closeForGood() {
	t.markDeparted(t.current)
	updated := t.instance
	updated.Open, updated.Leaving = false, true
	t.setInstance(updated)
}

// CheckLiveness closes the gate of an instance that has sent no heartbeat for more than
// maxMissedHeartbeats intervals.
func (t *HeartbeatTracker) CheckLiveness() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.instance.Open && t.Clock.Now().Sub(t.lastHeartbeat) > maxMissedHeartbeats*t.Interval {
		updated := t.instance
		updated.Open = false
		t.setInstance(updated)
	}
}

// MarkUnreachable closes the gate until the next heartbeat. It is called when the
// address of the instance refuses connections.
func (t *HeartbeatTracker) MarkUnreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.instance.Open {
		updated := t.instance
		updated.Open = false
		t.setInstance(updated)
	}
}

func (t *HeartbeatTracker) setInstance(updated gate.LocalInstance) {
	if t.instance == updated {
		return
	}
	t.instance = updated
	t.OnChange(&updated)
}

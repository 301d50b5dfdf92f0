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
	// ColdRemaining is how much longer the instance stays cold; valid if ColdKnown.
	ColdRemaining time.Duration
	ColdKnown     bool
}

// Deregistration is the word of an instance that it leaves.
type Deregistration struct {
	Instance fleet.InstanceName
	// StartUnixMs is the start time of the instance, as in its heartbeats; 0 if it is not
	// reported.
	StartUnixMs int64
}

// HeartbeatTracker derives the state of the local instance from its heartbeats, which
// may arrive late or out of order. Set the exported fields before use. Its methods are
// safe for concurrent use.
type HeartbeatTracker struct {
	Clock    clock.Clock
	Service  fleet.ServiceName
	Interval time.Duration
	// StartedAt is when this process started. It is zero if that is not known.
	StartedAt time.Time
	// HasDeparted reports whether an incarnation has announced its shutdown to an earlier
	// process of this node, and whether that is known for certain; nil means that there was no
	// earlier process. It is called with mu held and must not call methods of the tracker.
	HasDeparted func(i fleet.Incarnation) (departed, known bool)
	// OnChange is called with each new state, before the heartbeat that caused it is
	// acknowledged.
	OnChange func(*gate.LocalInstance)
	// OnCold is called with what each applied heartbeat says on the cold period, before
	// OnChange; nil is allowed. It is called with mu held and must not call methods of the
	// tracker.
	OnCold func(gate.ColdReport)

	// mu guards the fields below.
	mu sync.Mutex
	// current sent the newest heartbeat, and its first one at currentSince.
	current      fleet.Incarnation
	currentSince time.Time
	// doubted reports whether current started before the incarnation that it superseded, by
	// its own clock.
	doubted       bool
	lastSequence  uint64
	lastHeartbeat time.Time
	// lastCheck is the time of the last CheckLiveness, and stoodStill the time since
	// lastHeartbeat in which this node did not run, as far as its checks were late.
	lastCheck  time.Time
	stoodStill time.Duration
	// slots is what the newest heartbeat says.
	slots int
	// coldUntil is when the current incarnation stops being cold by the heartbeat that
	// first said that it is cold; zero if the newest says that it is warm, or does not say.
	coldUntil time.Time
	// confirmed is the incarnation that is known not to have departed before this process
	// started. Another one stays closed, as its heartbeat may have been sent before it
	// departed.
	confirmed fleet.Incarnation
	// deregistered is what was deregistered before the first heartbeat.
	deregistered Deregistration
	// instance is the state last passed to OnChange.
	instance gate.LocalInstance
	// departed holds the incarnations that have announced their shutdown. They stay
	// closed whatever they send later.
	departed map[fleet.Incarnation]bool
}

// HandleHeartbeat applies a heartbeat. It reports whether it was applied: false means
// that the heartbeat is stale, from a departed incarnation or from another service.
func (t *HeartbeatTracker) HandleHeartbeat(h Heartbeat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock.Now()
	sender := h.incarnation()
	if !t.isNewer(sender, h.Sequence) || h.Service != t.Service {
		return false
	}
	deregistered := t.current.Instance == "" && t.deregistered.covers(sender)
	isFirst := sender != t.current
	if isFirst {
		t.currentSince, t.doubted = now, sender.StartUnixMs < t.current.StartUnixMs
	}
	t.current, t.lastSequence, t.lastHeartbeat, t.slots = sender, h.Sequence, now, h.Slots
	t.stoodStill = 0
	if h.Draining || deregistered {
		t.markDeparted(sender)
	}
	t.noteCold(h, now, isFirst)
	t.update()
	return true
}

// noteCold applies what a heartbeat says on the cold period. The state of the instance changes
// only as it begins and ends: the heartbeats in between would announce the instance again and
// again. The caller holds mu.
func (t *HeartbeatTracker) noteCold(h Heartbeat, now time.Time, isFirst bool) {
	until := time.Time{}
	if h.ColdRemaining > 0 {
		until = now.Add(h.ColdRemaining)
	}
	if isFirst || t.coldUntil.IsZero() || until.IsZero() {
		t.coldUntil = until
	}
	if t.OnCold != nil {
		t.OnCold(gate.ColdReport{Incarnation: h.incarnation(), Known: h.ColdKnown, Until: until, At: now})
	}
}

func (h Heartbeat) incarnation() fleet.Incarnation {
	return fleet.Incarnation{Instance: h.Instance, StartUnixMs: h.StartUnixMs}
}

// covers reports whether a deregistration says that an incarnation leaves. One with an
// unknown start time is meant if the id is the same.
func (d Deregistration) covers(i fleet.Incarnation) bool {
	unknown := d.StartUnixMs == 0 || i.StartUnixMs == 0
	return d.Instance == i.Instance && (unknown || i.StartUnixMs <= d.StartUnixMs)
}

// isNewer reports whether a heartbeat supersedes the last one applied. One of another incarnation
// that started earlier may be late, but the clock of the machine may have been set back, too:
// then the incarnation that started later falls silent.
func (t *HeartbeatTracker) isNewer(sender fleet.Incarnation, sequence uint64) bool {
	switch {
	case sender == t.current:
		return sequence > t.lastSequence
	case t.departed[sender]:
		return false
	}
	return sender.StartUnixMs >= t.current.StartUnixMs || t.isSilent()
}

// update sets the state of the current incarnation. While it may have departed, nothing is
// open. The caller holds mu.
func (t *HeartbeatTracker) update() {
	if !t.departed[t.current] && !t.confirm() {
		t.closeUntilHeartbeat()
		return
	}
	departed := t.departed[t.current]
	t.setInstance(gate.LocalInstance{
		ID: t.current.Instance, Service: t.Service, Slots: t.slots, StartUnixMs: t.current.StartUnixMs, Open: !departed, Leaving: departed, ColdUntil: t.coldUntil,
	})
}

func (t *HeartbeatTracker) markDeparted(i fleet.Incarnation) {
	if t.departed == nil {
		t.departed = map[fleet.Incarnation]bool{}
	}
	t.departed[i] = true
}

// isSilent reports whether this node has run for more than maxMissedHeartbeats intervals without a
// heartbeat. The caller holds mu.
func (t *HeartbeatTracker) isSilent() bool {
	return t.Clock.Now().Sub(t.lastHeartbeat)-t.stoodStill > maxMissedHeartbeats*t.Interval
}

// HandleDeregistration closes the gate of an instance that has announced its shutdown, and
// returns the incarnation that it was applied to. Before the first heartbeat it is kept for
// that: a node that has restarted may hear of the shutdown first. One of an earlier
// incarnation than the current one changes nothing.
func (t *HeartbeatTracker) HandleDeregistration(d Deregistration) (fleet.Incarnation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender := fleet.Incarnation{Instance: d.Instance, StartUnixMs: d.StartUnixMs}
	switch {
	case t.current.Instance == "":
		t.deregistered = d
		return sender, true
	case d.covers(t.current):
		t.closeForGood()
		return t.current, true
	}
	t.markDeparted(sender)
	return fleet.Incarnation{}, false
}

// HandleLeaving closes the gate of an instance that has said in the response to a call that
// it leaves. It reports whether that was news. It ignores an id other than the current one,
// and the response to a call that was sent before the instance started.
func (t *HeartbeatTracker) HandleLeaving(id fleet.InstanceName, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if id != t.current.Instance || t.departed[t.current] || sent.Before(t.currentSince) {
		return false
	}
	t.closeForGood()
	return true
}

// closeForGood closes the gate until the instance starts anew. The caller
// holds mu.
func (t *HeartbeatTracker) closeForGood() {
	t.markDeparted(t.current)
	t.update()
}

// CheckLiveness closes the gate of an instance that has sent no heartbeat for more than
// maxMissedHeartbeats intervals. It must be called every checkInterval: the time by which a
// call is late does not count, as the node may have stood still, and not have read what the
// instance has sent.
func (t *HeartbeatTracker) CheckLiveness() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countPause(t.Clock.Now())
	if t.isSilent() {
		t.closeUntilHeartbeat()
	}
}

// countPause adds the time by which a check is late to stoodStill. The caller holds mu.
func (t *HeartbeatTracker) countPause(now time.Time) {
	due := t.lastCheck.Add(checkInterval)
	if due.Before(t.lastHeartbeat) {
		due = t.lastHeartbeat
	}
	if !t.lastCheck.IsZero() && now.After(due) {
		t.stoodStill += now.Sub(due)
	}
	t.lastCheck = now
}

// MarkUnreachable closes the gate until the next heartbeat. It is called when the
// address of the instance refuses connections.
func (t *HeartbeatTracker) MarkUnreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeUntilHeartbeat()
}

// closeUntilHeartbeat closes the gate until the next heartbeat. The caller holds mu.
func (t *HeartbeatTracker) closeUntilHeartbeat() {
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

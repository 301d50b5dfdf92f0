package mesh

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// maxHeartbeatDelay is how late a heartbeat may arrive.
const maxHeartbeatDelay = 10 * time.Second

// A process that has started does not know what its instance has announced to an earlier one,
// and a heartbeat may be older than that. The methods below keep the gate closed until it is
// known that the instance has not departed.

// confirm reports whether it is known whether the current incarnation has departed, and
// notes the answer. The caller holds mu.
func (t *HeartbeatTracker) confirm() bool {
	if t.confirmed == t.current || t.HasDeparted == nil && !t.doubted {
		return true
	}
	departed, known := t.hasDeparted()
	switch {
	case departed:
		t.markDeparted(t.current)
		return true
	case t.doubted:
		// Only the instance itself can tell that it is no earlier one whose word is late.
		return false
	case known || t.wasSentToThisProcess():
		t.confirmed = t.current
		return true
	}
	return false
}

// hasDeparted calls HasDeparted for the current incarnation. The caller holds mu.
func (t *HeartbeatTracker) hasDeparted() (departed, known bool) {
	if t.HasDeparted == nil {
		return false, true
	}
	return t.HasDeparted(t.current)
}

// wasSentToThisProcess reports whether the last heartbeat was sent after this process had
// started. Its sender had not departed then, and tells this process once it does. The caller
// holds mu.
func (t *HeartbeatTracker) wasSentToThisProcess() bool {
	return !t.StartedAt.IsZero() && t.lastHeartbeat.Sub(t.StartedAt) >= maxHeartbeatDelay
}

// CheckDepartures applies what has become known of departures: it opens the gate of an
// instance that was not confirmed, and closes that of one that has departed.
func (t *HeartbeatTracker) CheckDepartures() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.HasDeparted == nil || t.current.Instance == "" || t.departed[t.current] {
		return
	}
	if departed, _ := t.HasDeparted(t.current); departed {
		t.closeForGood()
		return
	}
	if t.confirmed != t.current && !t.isSilent() {
		t.update()
	}
}

// Unconfirmed returns the current incarnation and since when its heartbeats have arrived, if
// it is not known whether it has departed.
func (t *HeartbeatTracker) Unconfirmed() (i fleet.Incarnation, since time.Time, unconfirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	unconfirmed = t.current.Instance != "" && t.confirmed != t.current && !t.departed[t.current]
	return t.current, t.currentSince, unconfirmed
}

// Confirm opens the gate of the current incarnation if it is i, which has said to this
// process that it does not leave.
func (t *HeartbeatTracker) Confirm(i fleet.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i != t.current || t.departed[i] {
		return
	}
	t.confirmed = i
	if !t.isSilent() {
		t.update()
	}
}

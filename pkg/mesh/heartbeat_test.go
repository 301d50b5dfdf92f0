package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
)

func newTracker() (*HeartbeatTracker, *clock.Fake, *gate.LocalInstance) {
	fake, last := &clock.Fake{}, &gate.LocalInstance{}
	return &HeartbeatTracker{Clock: fake, Service: "desk", Interval: time.Second, OnChange: func(s *gate.LocalInstance) { *last = *s }}, fake, last
}

func heartbeat(id fleet.InstanceName, born int64, sequence uint64, draining bool) Heartbeat {
	return Heartbeat{Instance: id, Service: "desk", Address: "a", Slots: 5, Draining: draining, StartUnixMs: born, Sequence: sequence}
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	cases := []struct {
		name  string
		beats []Heartbeat
		id    fleet.InstanceName
		open  bool
	}{
		{"ready", []Heartbeat{heartbeat("i-1", 10, 1, false)}, "i-1", true},
		{"ready delivered after a newer draining", []Heartbeat{heartbeat("i-1", 10, 2, true), heartbeat("i-1", 10, 1, false)}, "i-1", false},
		{"ready sent after draining", []Heartbeat{heartbeat("i-1", 10, 1, true), heartbeat("i-1", 10, 2, false)}, "i-1", false},
		{"from an earlier instance", []Heartbeat{heartbeat("i-2", 20, 1, false), heartbeat("i-1", 10, 9, true)}, "i-2", true},
		{"same id, later start", []Heartbeat{heartbeat("i-1", 10, 9, true), heartbeat("i-1", 20, 1, false)}, "i-1", true},
		{"same id, earlier start", []Heartbeat{heartbeat("i-1", 20, 1, false), heartbeat("i-1", 10, 9, true)}, "i-1", true},
		{"replaced", []Heartbeat{heartbeat("i-1", 10, 5, false), heartbeat("i-2", 20, 1, false)}, "i-2", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker, _, last := newTracker()
			for _, h := range c.beats {
				tracker.HandleHeartbeat(h)
			}
			is.Equal(last.ID, c.id)
			is.Equal(last.Open, c.open)
		})
	}
}

func TestHeartbeatOfOtherServiceIsIgnored(t *testing.T) {
	is := is.New(t)
	tracker, _, last := newTracker()
	h := heartbeat("i-1", 1, 1, false)
	h.Service = "other"
	is.True(!tracker.HandleHeartbeat(h))
	is.Equal(last.ID, fleet.InstanceName(""))
}

func TestDeregistrationWithoutDraining(t *testing.T) {
	is := is.New(t)
	tracker, _, last := newTracker()
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 1, false))
	tracker.HandleDeregistration(Deregistration{Instance: "i-0"})
	is.True(last.Open)
	tracker.HandleDeregistration(Deregistration{Instance: "i-1"})
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 2, false))
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-3", 30, 1, false))
	is.True(last.Open)
}

// checkFor lets time pass in which the tracker checks its instance as a node does.
func checkFor(tracker *HeartbeatTracker, fake *clock.Fake, d time.Duration) {
	for ; d > 0; d -= checkInterval {
		fake.Advance(checkInterval)
		tracker.CheckLiveness()
	}
}

// The node stands still for longer than an instance may be silent, twice, and has not read
// yet what the instance sent meanwhile. Guards against an instance that is closed for its
// node's pause, and against one that is silent and stays open for it.
func TestNodeThatStoodStillKeepsItsInstance(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 1, false))
	for range 2 {
		checkFor(tracker, fake, time.Second)
		fake.Advance(10 * time.Second)
		tracker.CheckLiveness()
		is.True(last.Open)
	}
	checkFor(tracker, fake, 500*time.Millisecond)
	is.True(last.Open)
	checkFor(tracker, fake, checkInterval)
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 2, false))
	fake.Advance(10 * time.Second)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 3, false))
	tracker.CheckLiveness()
	checkFor(tracker, fake, 3*time.Second)
	is.True(last.Open)
	checkFor(tracker, fake, checkInterval)
	is.True(!last.Open)
}

// The gate of an instance that sends no heartbeats or refuses connections closes, and
// opens again with the next heartbeat.
func TestUnresponsiveInstance(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 1, false))
	checkFor(tracker, fake, 3*time.Second)
	is.True(last.Open)
	checkFor(tracker, fake, checkInterval)
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 2, false))
	is.True(last.Open)
	tracker.MarkUnreachable()
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 3, false))
	is.True(last.Open)
}

// An instance that says in a response that it leaves stays closed for its lifetime,
// whatever its heartbeats say. Responses to calls from before its start, and those of another
// id, say nothing.
func TestInstanceThatSaysItLeavesStaysClosed(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	beforeStart := fake.Now()
	fake.Advance(time.Second)
	is.True(tracker.HandleHeartbeat(heartbeat("i-1", 1, 1, false)))
	is.True(!tracker.HandleLeaving("i-2", fake.Now()))
	is.True(!tracker.HandleLeaving("i-1", beforeStart))
	is.True(last.Open && !last.Leaving)
	is.True(tracker.HandleLeaving("i-1", fake.Now()))
	is.True(!tracker.HandleLeaving("i-1", fake.Now()))
	is.True(!last.Open && last.Leaving)
	tracker.HandleHeartbeat(heartbeat("i-1", 1, 2, false))
	is.True(!last.Open && last.Leaving)
	tracker.HandleHeartbeat(heartbeat("i-1", 2, 1, false))
	is.True(last.Open && !last.Leaving)
}

// A node restarts beside an instance that leaves, and acknowledges its deregistration before
// it has heard a heartbeat. Guards against a later heartbeat that opens the gate again.
func TestDeregistrationBeforeTheFirstHeartbeatCounts(t *testing.T) {
	is := is.New(t)
	tracker, _, last := newTracker()
	tracker.HandleDeregistration(Deregistration{Instance: "i-1"})
	is.True(tracker.HandleHeartbeat(heartbeat("i-1", 1, 7, false)))
	is.True(!last.Open && last.Leaving)
	tracker.HandleHeartbeat(heartbeat("i-1", 1, 8, false))
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-2", 2, 1, false))
	is.True(last.Open && !last.Leaving)
}

// A deregistration of an earlier start under the same id arrives late. Guards against the
// gate of the new incarnation that it closes for good.
func TestDeregistrationOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	tracker, _, last := newTracker()
	tracker.HandleHeartbeat(heartbeat("i-1", 20, 1, false))
	_, applied := tracker.HandleDeregistration(Deregistration{Instance: "i-1", StartUnixMs: 10})
	is.True(!applied)
	is.True(last.Open)
	i, applied := tracker.HandleDeregistration(Deregistration{Instance: "i-1", StartUnixMs: 20})
	is.True(applied)
	is.Equal(i, fleet.Incarnation{Instance: "i-1", StartUnixMs: 20})
	is.True(!last.Open && last.Leaving)
}

// A node restarts after it has heard of a departure, and its earlier process's record of it
// is read before or after a late heartbeat arrives. Guards against a gate that opens as the
// departure is forgotten or not read yet.
func TestRestartedNodeOpensOnlyForInstanceThatHasNotDeparted(t *testing.T) {
	departedOne := fleet.Incarnation{Instance: "i-1", StartUnixMs: 10}
	known := false
	restart := func() (*HeartbeatTracker, *gate.LocalInstance) {
		tracker, _, last := newTracker()
		tracker.HasDeparted = func(i fleet.Incarnation) (bool, bool) { return known && i == departedOne, known }
		return tracker, last
	}
	t.Run("record read before", func(t *testing.T) {
		is := is.New(t)
		known = true
		tracker, last := restart()
		tracker.HandleHeartbeat(heartbeat("i-1", 10, 3, false))
		is.True(!last.Open && last.Leaving)
		tracker.HandleHeartbeat(heartbeat("i-2", 20, 1, false))
		is.True(last.Open)
	})
	t.Run("record read after", func(t *testing.T) {
		is := is.New(t)
		known = false
		tracker, last := restart()
		tracker.HandleHeartbeat(heartbeat("i-1", 10, 3, false))
		tracker.CheckDepartures()
		is.True(!last.Open)
		known = true
		tracker.CheckDepartures()
		is.True(!last.Open && last.Leaving)
	})
	t.Run("no record", func(t *testing.T) {
		is := is.New(t)
		known = false
		tracker, last := restart()
		tracker.HandleHeartbeat(heartbeat("i-3", 30, 1, false))
		is.True(!last.Open)
		i, _, unconfirmed := tracker.Unconfirmed()
		is.True(unconfirmed)
		is.Equal(i, fleet.Incarnation{Instance: "i-3", StartUnixMs: 30})
		known = true
		tracker.CheckDepartures()
		is.True(last.Open)
		_, _, unconfirmed = tracker.Unconfirmed()
		is.True(!unconfirmed)
	})
	t.Run("confirmed by the instance", func(t *testing.T) {
		is := is.New(t)
		known = false
		tracker, last := restart()
		tracker.HandleHeartbeat(heartbeat("i-1", 10, 3, false))
		tracker.Confirm(fleet.Incarnation{Instance: "i-1", StartUnixMs: 9})
		is.True(!last.Open)
		tracker.Confirm(departedOne)
		is.True(last.Open)
		known = true
		tracker.CheckDepartures()
		is.True(!last.Open && last.Leaving)
	})
}

// The clock of the machine is set back, and the instance starts again, so that its start time is
// lower than before. Guards against a new instance that is taken for a late word of an earlier
// one until the node restarts, and against a late word that counts while the later one lives.
func TestInstanceThatStartsAfterItsClockWasSetBackIsUsed(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	tracker.HandleHeartbeat(heartbeat("i-2", 20, 7, false))
	fake.Advance(maxMissedHeartbeats * tracker.Interval)
	is.True(!tracker.HandleHeartbeat(heartbeat("i-1", 10, 1, false)))
	is.Equal(last.ID, fleet.InstanceName("i-2"))
	fake.Advance(1)
	is.True(tracker.HandleHeartbeat(heartbeat("i-1", 10, 2, false)))
	is.True(!last.Open)
	i, _, unconfirmed := tracker.Unconfirmed()
	is.True(unconfirmed)
	tracker.Confirm(i)
	is.Equal(last.ID, fleet.InstanceName("i-1"))
	is.True(last.Open)
	is.True(tracker.HandleHeartbeat(heartbeat("i-1", 10, 3, false)))
	is.True(tracker.HandleHeartbeat(heartbeat("i-2", 20, 8, false)))
	is.Equal(last.ID, fleet.InstanceName("i-2"))
	is.True(last.Open)
}

// An instance has left and is silent, but still serves. Guards against a late heartbeat of an
// earlier life under the same id that opens the gate for it.
func TestLateHeartbeatOfEarlierLifeDoesNotOpenTheGateOfDepartedInstance(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	tracker.StartedAt = fake.Now()
	tracker.HasDeparted = func(fleet.Incarnation) (bool, bool) { return false, true }
	fake.Advance(2 * maxHeartbeatDelay)
	tracker.HandleHeartbeat(heartbeat("i-1", 20, 7, false))
	is.True(last.Open)
	tracker.HandleHeartbeat(heartbeat("i-1", 20, 8, true))
	is.True(!last.Open)
	fake.Advance(2 * maxMissedHeartbeats * tracker.Interval)
	for sequence := range uint64(3) {
		tracker.HandleHeartbeat(heartbeat("i-1", 10, 5+sequence, false))
		tracker.CheckDepartures()
		is.True(!last.Open)
	}
}

// The directory tells nothing for certain, and the instance fails its health checks. Guards against
// a gate that opens for a heartbeat that may have been sent before the process started, and against
// one that stays closed for an instance that goes on sending them.
func TestHeartbeatsThatCannotBeOlderThanTheProcessOpenTheGate(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	tracker.StartedAt = fake.Now()
	tracker.HasDeparted = func(fleet.Incarnation) (bool, bool) { return false, false }
	fake.Advance(maxHeartbeatDelay - 1)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 3, false))
	fake.Advance(time.Second)
	tracker.CheckDepartures()
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 4, false))
	is.True(last.Open)
	tracker.HandleHeartbeat(heartbeat("i-2", 20, 1, false))
	is.True(last.Open)
	is.Equal(last.ID, fleet.InstanceName("i-2"))
	_, _, unconfirmed := tracker.Unconfirmed()
	is.True(!unconfirmed)
}

// A departure is on record when a heartbeat arrives that cannot be older than the process. Guards
// against one that counts more than the record.
func TestRecordedDepartureBindsWhateverHeartbeatsSay(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	tracker.StartedAt = fake.Now()
	tracker.HasDeparted = func(fleet.Incarnation) (bool, bool) { return true, true }
	fake.Advance(2 * maxHeartbeatDelay)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 3, false))
	is.True(!last.Open && last.Leaving)
}

// Heartbeats are late or out of order. Guards against one of an earlier start, or an older one
// of the same start, that says how long the instance stays cold.
func TestOnlyNewerHeartbeatsSayHowLongTheInstanceStaysCold(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	var reports []gate.ColdReport
	tracker.OnCold = func(r gate.ColdReport) { reports = append(reports, r) }
	cold := func(born int64, sequence uint64, remaining time.Duration) {
		h := heartbeat("i-1", born, sequence, false)
		h.ColdKnown, h.ColdRemaining = true, remaining
		tracker.HandleHeartbeat(h)
	}
	cold(20, 2, 3*time.Second)
	is.Equal(last.ColdUntil, fake.Now().Add(3*time.Second))
	cold(20, 1, 0)
	cold(10, 9, 0)
	is.Equal(len(reports), 1)
	is.Equal(last.ColdUntil, fake.Now().Add(3*time.Second))
	cold(20, 3, 0)
	is.True(last.ColdUntil.IsZero())
	is.Equal(reports[1], gate.ColdReport{Incarnation: fleet.Incarnation{Instance: "i-1", StartUnixMs: 20}, Known: true, At: fake.Now()})
}

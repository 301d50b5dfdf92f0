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
	tracker.HandleDeregistration("i-0")
	is.True(last.Open)
	tracker.HandleDeregistration("i-1")
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 2, false))
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-3", 30, 1, false))
	is.True(last.Open)
}

// The gate of an instance that sends no heartbeats or refuses connections closes, and
// opens again with the next heartbeat.
func TestUnresponsiveInstance(t *testing.T) {
	is := is.New(t)
	tracker, fake, last := newTracker()
	tracker.HandleHeartbeat(heartbeat("i-1", 10, 1, false))
	fake.Advance(2 * time.Second)
	tracker.CheckLiveness()
	is.True(last.Open)
	fake.Advance(2 * time.Second)
	tracker.CheckLiveness()
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
	tracker.HandleDeregistration("i-1")
	is.True(tracker.HandleHeartbeat(heartbeat("i-1", 1, 7, false)))
	is.True(!last.Open && last.Leaving)
	tracker.HandleHeartbeat(heartbeat("i-1", 1, 8, false))
	is.True(!last.Open)
	tracker.HandleHeartbeat(heartbeat("i-2", 2, 1, false))
	is.True(last.Open && !last.Leaving)
}

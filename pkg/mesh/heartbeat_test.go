package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
)

func newPresence() (*Presence, *clock.Fake, *gate.LocalInstance) {
	fake, seen := &clock.Fake{}, &gate.LocalInstance{}
	return &Presence{Clock: fake, Service: "desk", Period: time.Second, Announce: func(s *gate.LocalInstance) { *seen = *s }}, fake, seen
}

func heartbeat(id fleet.InstanceName, born int64, sequence uint64, draining bool) Heartbeat {
	return Heartbeat{Instance: id, Service: "desk", Address: "a", Slots: 5, Draining: draining, Born: born, Sequence: sequence}
}

func TestHeartbeatsOutOfOrder(t *testing.T) {
	cases := []struct {
		name  string
		beats []Heartbeat
		id    fleet.InstanceName
		open  bool
	}{
		{"ready", []Heartbeat{heartbeat("i-1", 10, 1, false)}, "i-1", true},
		{"late ready after draining", []Heartbeat{heartbeat("i-1", 10, 2, true), heartbeat("i-1", 10, 1, false)}, "i-1", false},
		{"draining is never taken back", []Heartbeat{heartbeat("i-1", 10, 1, true), heartbeat("i-1", 10, 2, false)}, "i-1", false},
		{"of a former start", []Heartbeat{heartbeat("i-2", 20, 1, false), heartbeat("i-1", 10, 9, true)}, "i-2", true},
		{"same id, new start", []Heartbeat{heartbeat("i-1", 10, 9, true), heartbeat("i-1", 20, 1, false)}, "i-1", true},
		{"same id, former start", []Heartbeat{heartbeat("i-1", 20, 1, false), heartbeat("i-1", 10, 9, true)}, "i-1", true},
		{"replaced", []Heartbeat{heartbeat("i-1", 10, 5, false), heartbeat("i-2", 20, 1, false)}, "i-2", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, _, seen := newPresence()
			for _, h := range c.beats {
				p.Heard(h)
			}
			is.Equal(seen.ID, c.id)
			is.Equal(seen.Open, c.open)
		})
	}
}

func TestForeignServiceIsPassedOver(t *testing.T) {
	is := is.New(t)
	p, _, seen := newPresence()
	h := heartbeat("i-1", 1, 1, false)
	h.Service = "other"
	is.True(!p.Heard(h))
	is.Equal(seen.ID, fleet.InstanceName(""))
}

func TestLeavingWithoutDraining(t *testing.T) {
	is := is.New(t)
	p, _, seen := newPresence()
	p.Heard(heartbeat("i-1", 10, 1, false))
	p.Left("i-0")
	is.True(seen.Open)
	p.Left("i-1")
	is.True(!seen.Open)
	p.Heard(heartbeat("i-1", 10, 2, false))
	is.True(!seen.Open)
	p.Heard(heartbeat("i-3", 30, 1, false))
	is.True(seen.Open)
}

// An instance that falls silent is closed, and opened by its next heartbeat.
func TestSilentInstance(t *testing.T) {
	is := is.New(t)
	p, fake, seen := newPresence()
	p.Heard(heartbeat("i-1", 10, 1, false))
	fake.Advance(2 * time.Second)
	p.Check()
	is.True(seen.Open)
	fake.Advance(2 * time.Second)
	p.Check()
	is.True(!seen.Open)
	p.Heard(heartbeat("i-1", 10, 2, false))
	is.True(seen.Open)
	p.Silent()
	is.True(!seen.Open)
	p.Heard(heartbeat("i-1", 10, 3, false))
	is.True(seen.Open)
}

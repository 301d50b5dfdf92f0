package peering

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/clocktest"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

func newPeers(c *clocktest.Stepped) *Peers {
	p := &Peers{Clock: c, Logger: logs.Discard(), Self: "self", Gate: &gate.Gate{Clock: c}}
	s := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{}}
	for _, name := range []directory.NodeAddress{"a", "b"} {
		e := directory.Entry{Node: name, Instance: fleet.InstanceName(name), Service: "desk", Slots: 10, Open: true}
		s.Nodes[name] = e
		s.Services["desk"] = append(s.Services["desk"], e)
	}
	p.Update(s)
	return p
}

// An instance that handed a call back gets none for a second, however the time
// of day jumps.
func TestAvoidingPassesWhenTheTimeOfDayJumps(t *testing.T) {
	for _, jump := range []time.Duration{0, 40 * time.Minute, -40 * time.Minute} {
		t.Run(jump.String(), func(t *testing.T) {
			is := is.New(t)
			c := &clocktest.Stepped{}
			p := newPeers(c)
			a := p.Places("desk")[0].Peer
			avoided := func() bool { return p.Places("desk")[0].candidate(c.Now()).LastResort }
			a.Closed(c.Now())
			c.Step(jump)
			is.True(avoided())
			time.Sleep(avoidTime + 50*time.Millisecond)
			is.True(!avoided())
		})
	}
}

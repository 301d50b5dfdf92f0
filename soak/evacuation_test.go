package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// evacuationBound is the time after which no call may reach an evacuated data centre. It
	// is a requirement of the users.
	evacuationBound = 5 * time.Second
	// evacuationSettings are added to the settings of the nodes, at the end of [bounds].
	evacuationSettings = "evacuation = 5s\n"
)

// evacuates reports whether data centres are evacuated with this seed. Other seeds keep the
// faults that they had before there were evacuations, and these have no stuttering servers.
func evacuates(seed uint64) bool { return seed%stutterPeriod == stutterPeriod-1 }

// evacuate evacuates a data centre, perhaps while a node there is suspended until after the
// bound, and takes it back. It records a violation for calls that arrive there after the
// bound, and if none do once it was taken back.
func (c *cluster) evacuate(r *rand.Rand, hold time.Duration) {
	zone := r.IntN(zoneCount)
	var inZone []*machine
	for i, m := range c.machines {
		if i%zoneCount == zone {
			inZone = append(inZone, m)
		}
	}
	arrivals := func() (n int64) {
		for _, m := range inZone {
			n += m.server.Received()
		}
		return n
	}
	name := zoneName(zone)
	c.store.Evacuate(name)
	var group sync.WaitGroup
	if r.IntN(2) == 0 {
		suspended := inZone[r.IntN(len(inZone))]
		group.Go(func() { suspended.pause(evacuationBound + hold/2) })
	}
	time.Sleep(evacuationBound)
	before := arrivals()
	time.Sleep(hold)
	group.Wait()
	if late := arrivals() - before; late > 0 {
		c.addViolation("%d calls reached data centre %s over %s after it was evacuated", late, name, evacuationBound)
	}
	c.store.TakeBack(name)
	before = arrivals()
	if !platformtest.Await(recoveryTimeout, func() bool { return arrivals() > before }) {
		c.addViolation("no call reached data centre %s within %s after it was taken back", name, recoveryTimeout)
	}
}

// zoneCount is the number of data centres of a cluster.
const zoneCount = 2

func zoneName(zone int) string { return fmt.Sprintf("z%d", zone) }

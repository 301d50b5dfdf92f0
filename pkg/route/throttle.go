package route

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// throttleMemory is the time constant with which counts fade.
	throttleMemory = time.Second
	// throttleSlack is how many calls may end for each one accepted.
	throttleSlack = 2
	// throttleLeast is the number of calls below which none is held back.
	throttleLeast = 10
)

type throttleKey struct {
	service      fleet.ServiceName
	class        fleet.Class
	organisation fleet.OrganisationID
}

// counts fades with time, so that recovery is noticed.
type counts struct {
	mu sync.Mutex
	at time.Time
	// ended counts calls that were answered, refused or held back.
	ended, accepted float64
}

func (c *counts) fade(now time.Time) {
	if d := now.Sub(c.at); d > 0 {
		keep := 1 - min(float64(d)/float64(throttleMemory), 1)
		c.ended *= keep
		c.accepted *= keep
		c.at = now
	}
}

// Throttle holds back calls that the instances of a service would shed, per
// organisation and class, so that an organisation pays for its own excess. It
// needs Clock.
type Throttle struct {
	Clock  clock.Clock
	counts sync.Map
}

func (t *Throttle) of(c *call.Call) *counts {
	key := throttleKey{c.Service, c.Route.Class, c.Organisation}
	if found, ok := t.counts.Load(key); ok {
		return found.(*counts)
	}
	found, _ := t.counts.LoadOrStore(key, &counts{at: t.Clock.Now()})
	return found.(*counts)
}

// Holds tells whether the call must be held back. Critical calls never are. The
// choice follows the request's bucket, so that every hop keeps the same ones.
func (t *Throttle) Holds(c *call.Call) bool {
	if c.Route.Class == fleet.ClassCritical {
		return false
	}
	k := t.of(c)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fade(t.Clock.Now())
	if k.ended < throttleLeast {
		return false
	}
	excess := (k.ended - throttleSlack*k.accepted) / k.ended
	held := float64(c.Bucket()) >= (1-excess)*call.BucketCount
	if held {
		k.ended++
	}
	return held
}

// Ended notes the end of a call that was not held back, and whether the
// instances took it. Calls under way count for neither side.
func (t *Throttle) Ended(c *call.Call, accepted bool) {
	if c.Route.Class == fleet.ClassCritical {
		return
	}
	k := t.of(c)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fade(t.Clock.Now())
	k.ended++
	if accepted {
		k.accepted++
	}
}

package route

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// throttleDecayTime is the time constant with which counts fade.
	throttleDecayTime = time.Second
	// maxCallsPerAccepted is how many calls may end for each one accepted.
	maxCallsPerAccepted = 2
	// minCallsToThrottle is the number of calls below which none is held back.
	minCallsToThrottle = 10
)

type throttleKey struct {
	service      fleet.ServiceName
	class        fleet.Class
	organisation fleet.OrganisationID
}

// callStats fades with time, so that recovery is noticed.
type callStats struct {
	mu        sync.Mutex
	updatedAt time.Time
	// total counts calls that were answered, refused or held back.
	total, accepted float64
}

func (s *callStats) decay(now time.Time) {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		remaining := 1 - min(float64(elapsed)/float64(throttleDecayTime), 1)
		s.total *= remaining
		s.accepted *= remaining
		s.updatedAt = now
	}
}

// Throttle holds back calls that the instances of a service would shed, per
// organisation and class, so that an organisation pays for its own excess. It
// needs Clock.
type Throttle struct {
	Clock      clock.Clock
	statsByKey sync.Map
}

func (t *Throttle) statsFor(c *call.Call) *callStats {
	key := throttleKey{c.Service, c.Route.Class, c.Organisation}
	if found, ok := t.statsByKey.Load(key); ok {
		return found.(*callStats)
	}
	found, _ := t.statsByKey.LoadOrStore(key, &callStats{updatedAt: t.Clock.Now()})
	return found.(*callStats)
}

// Rejects tells whether the call must be held back. Critical calls never are. The
// choice follows the request's bucket, so that every hop keeps the same ones.
func (t *Throttle) Rejects(c *call.Call) bool {
	if c.Route.Class == fleet.ClassCritical {
		return false
	}
	stats := t.statsFor(c)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.decay(t.Clock.Now())
	if stats.total < minCallsToThrottle {
		return false
	}
	excess := (stats.total - maxCallsPerAccepted*stats.accepted) / stats.total
	rejected := float64(c.Bucket()) >= (1-excess)*call.BucketCount
	if rejected {
		stats.total++
	}
	return rejected
}

// RecordResult notes the end of a call that was not held back, and whether the
// instances took it. Calls under way count for neither side.
func (t *Throttle) RecordResult(c *call.Call, accepted bool) {
	if c.Route.Class == fleet.ClassCritical {
		return
	}
	stats := t.statsFor(c)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.decay(t.Clock.Now())
	stats.total++
	if accepted {
		stats.accepted++
	}
}

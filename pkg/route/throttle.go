package route

import (
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// throttleDecayTime is the time constant of the decay of counts. Counts that were
	// not updated for this time are 0.
	throttleDecayTime = time.Second
	// maxCallsPerAccepted is the ratio of all calls to accepted calls above which calls
	// are rejected.
	maxCallsPerAccepted = 2
	// minCallsToThrottle is the number of calls below which none is rejected.
	minCallsToThrottle = 10
)

// throttleKey identifies the calls that are counted together.
type throttleKey struct {
	service      fleet.ServiceName
	class        fleet.Class
	organisation fleet.OrganisationID
}

// callStats counts calls that have ended. The counts decay with time, so that the
// throttle adapts when the service recovers.
type callStats struct {
	// mu guards the fields below.
	mu        sync.Mutex
	updatedAt time.Time
	// total counts all calls, including those that the throttle rejected. accepted counts
	// those that were not shed.
	total, accepted float64
}

// decay reduces the counts for the time since the last update.
func (s *callStats) decay(now time.Time) {
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		remaining := 1 - min(float64(elapsed)/float64(throttleDecayTime), 1)
		s.total *= remaining
		s.accepted *= remaining
		s.updatedAt = now
	}
}

// Throttle rejects calls that the instances of a service would probably shed. It counts
// per organisation and class, so that the excess of one organisation does not affect the
// others. Clock must be set. It is safe for concurrent use.
type Throttle struct {
	Clock clock.Clock
	// statsByKey maps throttleKey to *callStats.
	statsByKey sync.Map
}

// statsFor returns the counts to which a call belongs.
func (t *Throttle) statsFor(c *call.Call) *callStats {
	key := throttleKey{c.Service, c.Route.Class, c.Organisation}
	if found, ok := t.statsByKey.Load(key); ok {
		return found.(*callStats)
	}
	found, _ := t.statsByKey.LoadOrStore(key, &callStats{updatedAt: t.Clock.Now()})
	return found.(*callStats)
}

// Rejects reports whether the call must be rejected, and if so, counts it. Critical calls
// are never rejected. The choice depends on the request's bucket, so that every hop
// rejects the same requests.
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

// RecordResult counts a call that has ended and was not rejected by the throttle. accepted
// reports whether the call was not shed. Calls in progress are not counted.
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

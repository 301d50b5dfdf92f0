package mesh

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/evacuation"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/meter"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

// maxPauseFraction is how long the node may stand still without reading again which data
// centres are evacuated, as a fraction of MaxEvacuationDelay. A node knows an evacuation within two
// and a half polls (docs/design/scale.md), 0.7 of that delay, to which such a pause may add.
const maxPauseFraction = 0.2

// evacuationState holds the evacuated data centres, and those that were evacuated since the
// node started.
type evacuationState struct {
	evacuation.Set

	// mu guards seen.
	mu   sync.Mutex
	seen map[fleet.DataCentre]bool
}

func (s *evacuationState) note(dataCentres []fleet.DataCentre) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == nil {
		s.seen = map[fleet.DataCentre]bool{}
	}
	for _, dataCentre := range dataCentres {
		s.seen[dataCentre] = true
	}
}

// updateGauges sets the gauge of each data centre that was evacuated: 1 while it is, 0 once
// that was taken back.
func (s *evacuationState) updateGauges(m *meter.Meter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for dataCentre := range s.seen {
		value := 0.0
		if s.Has(dataCentre) {
			value = 1
		}
		m.LabelledGauge("evacuated", "data_centre", string(dataCentre)).Update(value)
	}
}

// initEvacuations closes the gate until the evacuations are known, if they have a bound.
func (n *Node) initEvacuations() {
	n.evacuations.KeyPrefix = n.platform.EvacuationPrefix
	n.pauses.limit = time.Duration(maxPauseFraction * float64(n.settings.MaxEvacuationDelay))
	n.gate.SetSuspended(n.suspended())
}

// configPollWait returns how long a read of the configuration waits for a change. The shorter
// of the delays in which a withdrawn key and an evacuation take effect bounds it.
func (n *Node) configPollWait() time.Duration {
	delay := n.settings.MaxRevocationDelay
	if n.settings.MaxEvacuationDelay > 0 {
		delay = min(delay, n.settings.MaxEvacuationDelay)
	}
	return time.Duration(configPollFraction * float64(delay-freshnessMargin))
}

// suspended reports whether the local instance must get no calls, as its data centre is
// evacuated, or may be.
func (n *Node) suspended() bool {
	unknown := n.settings.MaxEvacuationDelay > 0 && !n.evacuations.Known()
	return unknown || n.evacuations.Has(n.settings.DataCentre)
}

// pauseWatch notes when the node stood still for longer than a limit. Its zero value has seen
// no pause.
type pauseWatch struct {
	limit time.Duration
	// checkedAt is the uptime of the last check, and endedAt that of the end of the last
	// pause, in nanoseconds; 0 if there was none.
	checkedAt, endedAt atomic.Int64
}

// check reports whether a pause has ended. It must be called every checkInterval.
func (w *pauseWatch) check(now time.Duration) bool {
	last := time.Duration(w.checkedAt.Load())
	ended := last != 0 && now-last > checkInterval+w.limit
	if ended {
		w.endedAt.Store(int64(now))
	}
	w.checkedAt.Store(int64(now))
	return ended
}

// isOver reports whether there was no pause since the node sent a request at an uptime.
func (w *pauseWatch) isOver(now, sentAt time.Duration) bool {
	last := time.Duration(w.checkedAt.Load())
	standsStill := last != 0 && now-last > checkInterval+w.limit
	return !standsStill && sentAt >= time.Duration(w.endedAt.Load())
}

// checkPause reads the evacuations again if the node stood still.
func (n *Node) checkPause() {
	if n.settings.MaxEvacuationDelay > 0 && n.pauses.check(n.uptime()) {
		n.configLogger.Info("the node stood still; reading the evacuations again")
		n.configFollower.Interrupt()
	}
}

// evacuationsOutOfDate reports whether the node stood still and has not asked the store again
// yet, so that its data centre may have been evacuated for longer than the bound.
func (n *Node) evacuationsOutOfDate() bool {
	return n.settings.MaxEvacuationDelay > 0 && !n.pauses.isOver(n.uptime(), n.configFollower.AskedAt())
}

// onConfigRestored keeps the evacuations that the restored topic may lack. The directory may
// have been restored, too.
func (n *Node) onConfigRestored() {
	n.evacuations.HandleRestore()
	n.directoryFollower.Interrupt()
}

// applyEvacuations applies the evacuations among records of the configuration's topic, first
// to the choice of instances, then to the local gate, then to the directory.
func (n *Node) applyEvacuations(records []topic.Record, full bool) {
	change := n.evacuations.Apply(records, full)
	n.evacuations.note(change.Evacuated)
	for _, dataCentre := range change.Evacuated {
		n.configLogger.WithField("dataCentre", dataCentre).Warn("data centre evacuated")
	}
	for _, dataCentre := range change.TakenBack {
		n.configLogger.WithField("dataCentre", dataCentre).Warn("data centre taken back")
	}
	if slices.Contains(change.TakenBack, n.settings.DataCentre) {
		n.gate.AssumeCold()
		n.healthChecks.wake.send()
	}
	if n.gate.SetSuspended(n.suspended()) {
		n.publishEntry()
	}
}

// unavailable reports whether evacuations leave no instance for a request. The plan may still
// count what ran there, and would name another time after which to retry.
func (n *Node) unavailable(r *entrance.Request) bool {
	return n.evacuations.Any() && !slices.ContainsFunc(r.Route.Targets, func(t routing.Target) bool {
		return t.Weight > 0 && n.peers.HasTarget(t.Service)
	})
}

// regionOf returns the region of a data centre, or an empty one.
func (n *Node) regionOf(dataCentre fleet.DataCentre) fleet.Region {
	return n.settings.Regions[dataCentre]
}

package mesh

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/evacuation"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/meter"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

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
		n.onTakenBack()
	}
	if n.gate.SetSuspended(n.suspended()) {
		n.publishEntry()
	}
}

// onTakenBack is called before the gate opens again after an evacuation.
func (n *Node) onTakenBack() {}

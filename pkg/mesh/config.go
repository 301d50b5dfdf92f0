package mesh

import (
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/pkg/recovery"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

// keysFresh reports whether the configuration was confirmed recently enough to trust
// the keys in it.
func (n *Node) keysFresh() bool {
	age, known := n.configFollower.Age()
	return known && age < n.settings.MaxRevocationDelay-freshnessMargin
}

// applyConfig activates each configuration among the records that is newer than the
// active one. One that cannot be decoded is skipped and logged. Evacuations are applied
// first, so that no request is sent by a configuration whose evacuations are not in force.
func (n *Node) applyConfig(records []topic.Record, full bool) {
	n.applyEvacuations(records, full)
	for _, r := range records {
		if r.Key != n.platform.ConfigKey || len(r.Value) == 0 {
			continue
		}
		var view *routing.View
		var err error
		if panicked := recovery.Run("the configuration", func() { view, err = n.platform.DecodeConfig(r.Value) }); panicked != nil {
			n.onPanic(panicked)
			err = panicked
		}
		if err != nil {
			n.configLogger.WithError(err).Warn("configuration left out")
			continue
		}
		if current := n.view.Load(); current != nil && view.Version <= current.Version {
			if view.Version < current.Version {
				n.configLogger.WithField("version", view.Version).WithField("inForce", current.Version).Info("configuration ignored: it is older than the active one")
			}
			continue
		}
		n.activate(view)
		n.checkDepartures()
		n.configLogger.WithField("version", view.Version).WithField("organisations", len(view.Organisations)).Info("configuration in force")
	}
}

// activate makes a configuration the active one. Its limits are set first, so that no
// request finds an organisation without the limit that it has.
func (n *Node) activate(view *routing.View) {
	n.limitsMu.Lock()
	defer n.limitsMu.Unlock()
	n.updateRateLimits(view)
	n.view.Store(view)
}

// updateRateLimits sets the limits of a configuration. The caller holds limitsMu.
func (n *Node) updateRateLimits(view *routing.View) {
	limits := map[fleet.OrganisationID]quota.Limit{}
	for _, o := range view.Organisations {
		if o.Rate > 0 {
			limits[o.ID] = quota.Limit{
				Rate:  o.Rate * fleet.Rate(1+n.settings.MaxOverageFraction*usedToleranceFraction),
				Burst: o.Burst + n.settings.MaxOverageBurst*usedToleranceFraction,
			}
		}
	}
	n.rateLimiter.Update(limits, n.fleetSize())
}

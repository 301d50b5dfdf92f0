package entrance

import (
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// allowedDataCentres returns the function that reports in which data centres a request may
// run, or nil if it may run in all.
func (e *Entrance) allowedDataCentres(r *Request) func(dataCentre fleet.DataCentre) bool {
	if !routing.IsRestricted(r.Route, r.Organisation) {
		return nil
	}
	return func(dataCentre fleet.DataCentre) bool {
		return e.Region != nil && routing.Permits(r.Route, r.Organisation, e.Region(dataCentre))
	}
}

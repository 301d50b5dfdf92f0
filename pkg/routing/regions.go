package routing

import (
	"slices"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// Regions lists the regions in which requests may run. Without any, they may run everywhere.
type Regions []fleet.Region

// Permits reports whether requests may run in a region. A data centre without a known region
// is in none, which the empty region stands for.
func (r Regions) Permits(region fleet.Region) bool {
	return len(r) == 0 || region != "" && slices.Contains(r, region)
}

// Permits reports whether a request on a route may run in a region: both the route and the
// organisation must permit it. The organisation is nil if the request has none.
func Permits(route *Route, organisation *Organisation, region fleet.Region) bool {
	return route.Regions.Permits(region) && (organisation == nil || organisation.Regions.Permits(region))
}

// IsRestricted reports whether a request on a route may run in some regions only. The
// organisation is nil if the request has none.
func IsRestricted(route *Route, organisation *Organisation) bool {
	return len(route.Regions) > 0 || organisation != nil && len(organisation.Regions) > 0
}

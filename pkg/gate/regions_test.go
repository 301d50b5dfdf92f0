package gate

import (
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// A newer configuration than that of the entrance restricts a call to regions. Guards against
// a call that runs elsewhere, and against one that may run here and is returned.
func TestCallOutsideOfAllowedRegionsIsStale(t *testing.T) {
	for name, c := range map[string]struct {
		route, organisation routing.Regions
		here                fleet.Region
		version             routing.Version
		answered            bool
	}{
		"no restriction":             {nil, nil, "west", 2, true},
		"route permits":              {routing.Regions{"west"}, nil, "west", 2, true},
		"route does not":             {routing.Regions{"east"}, nil, "west", 2, false},
		"organisation does not":      {nil, routing.Regions{"east"}, "west", 2, false},
		"one of both does not":       {routing.Regions{"west"}, routing.Regions{"east"}, "west", 2, false},
		"the region is not known":    {routing.Regions{"west"}, nil, "", 2, false},
		"the entrance knew as much":  {routing.Regions{"east"}, nil, "west", 1, true},
		"both permit":                {routing.Regions{"west", "east"}, routing.Regions{"west"}, "west", 2, true},
		"both permit different ones": {routing.Regions{"west"}, routing.Regions{"east"}, "east", 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			upstream := &countingUpstream{}
			g := newGate(t, upstream)
			g.Region = c.here
			b := routing.NewBuilder(c.version, routing.Limits{})
			b.AddRoute(&routing.Route{Name: "r", Host: "h", Prefix: "/", Targets: []routing.Target{{Service: "desk", Weight: 1}}, Regions: c.route, AllowAnonymous: true})
			b.AddOrganisation(&routing.Organisation{ID: "dakar", Regions: c.organisation}, nil)
			g.View = b.Build
			r := newRun(1)
			r.ConfigVersion, r.Organisation = 1, "dakar"
			outcome := g.Run(t.Context(), t.Context(), r)
			if c.answered {
				is.Equal(outcome.Fate, linkrpc.Fate_FATE_ANSWERED)
				return
			}
			is.Equal(outcome.Reason, linkrpc.Reason_REASON_STALE)
			is.Equal(upstream.executions.Load(), int64(0))
		})
	}
}

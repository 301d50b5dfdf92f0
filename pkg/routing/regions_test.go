package routing

import (
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// Guards against a request that runs in a region that only one of its two lists has, and
// against a data centre without a region that counts as permitted.
func TestPermits(t *testing.T) {
	for name, c := range map[string]struct {
		route        Regions
		organisation *Organisation
		permitted    []fleet.Region
	}{
		"no lists":                 {nil, &Organisation{}, []fleet.Region{"x", "y", "z", ""}},
		"no organisation":          {nil, nil, []fleet.Region{"x", "y", "z", ""}},
		"route":                    {Regions{"x", "y"}, nil, []fleet.Region{"x", "y"}},
		"organisation":             {nil, &Organisation{Regions: Regions{"z"}}, []fleet.Region{"z"}},
		"both":                     {Regions{"x", "y"}, &Organisation{Regions: Regions{"y", "z"}}, []fleet.Region{"y"}},
		"both, nothing in common":  {Regions{"x"}, &Organisation{Regions: Regions{"z"}}, nil},
		"a list with no name":      {Regions{""}, nil, nil},
		"empty list, organisation": {Regions{}, &Organisation{Regions: Regions{"z"}}, []fleet.Region{"z"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := &Route{Regions: c.route}
			var permitted []fleet.Region
			for _, region := range []fleet.Region{"x", "y", "z", ""} {
				if Permits(route, c.organisation, region) {
					permitted = append(permitted, region)
				}
			}
			is.Equal(permitted, c.permitted)
			is.Equal(IsRestricted(route, c.organisation), len(permitted) < 4)
		})
	}
}

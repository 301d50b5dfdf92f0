package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

func TestWronglyRefused(t *testing.T) {
	s := &Scenario{
		Rates:  map[fleet.OrganisationID]fleet.Rate{"dakar": 10},
		Bursts: map[fleet.OrganisationID]fleet.Tokens{"dakar": 5},
	}
	traffic := &Traffic{Organisation: "dakar"}
	// paced returns requests of two tries each, the second late tries apart.
	paced := func(n int, gap, late time.Duration, refused bool) []Outcome {
		var list []Outcome
		for i := range n {
			at := time.Duration(i) * gap
			list = append(list, Outcome{Traffic: traffic, At: at, Tries: []time.Duration{at, at + late}, OverRate: refused})
		}
		return list
	}
	cases := map[string]struct {
		outcomes []Outcome
		wrong    float64
	}{
		"within and served":           {paced(10, time.Second, 500*time.Millisecond, false), 0},
		"within and refused":          {paced(10, time.Second, 500*time.Millisecond, true), 0.5},
		"over and refused":            {paced(100, 10*time.Millisecond, time.Millisecond, true), 0},
		"repeats that come when over": {paced(30, 100*time.Millisecond, 50*time.Millisecond, true), 0},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(wronglyRefused(s, tt.outcomes), tt.wrong)
		})
	}
}

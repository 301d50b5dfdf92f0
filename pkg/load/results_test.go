package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

func TestWrongRefusalFraction(t *testing.T) {
	s := &Scenario{
		Rates:  map[fleet.OrganisationID]fleet.Rate{"dakar": 10},
		Bursts: map[fleet.OrganisationID]fleet.Tokens{"dakar": 5},
	}
	traffic := &Traffic{Organisation: "dakar"}
	// requestsEvery returns requests of two tries each, the second late tries apart.
	requestsEvery := func(n int, gap, retryDelay time.Duration, refused bool) []Outcome {
		var list []Outcome
		for i := range n {
			at := time.Duration(i) * gap
			list = append(list, Outcome{Traffic: traffic, Arrival: at, TryTimes: []time.Duration{at, at + retryDelay}, RefusedForRate: refused})
		}
		return list
	}
	cases := map[string]struct {
		outcomes []Outcome
		wrong    float64
	}{
		"within and served":           {requestsEvery(10, time.Second, 500*time.Millisecond, false), 0},
		"within and refused":          {requestsEvery(10, time.Second, 500*time.Millisecond, true), 0.5},
		"over and refused":            {requestsEvery(100, 10*time.Millisecond, time.Millisecond, true), 0},
		"repeats that come when over": {requestsEvery(30, 100*time.Millisecond, 50*time.Millisecond, true), 0},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(wrongRefusalFraction(s, tt.outcomes), tt.wrong)
		})
	}
}

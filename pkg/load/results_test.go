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
	// requestsEvery returns n requests, one per gap, of two tries each, retryDelay apart.
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
		"within the rate, served":        {requestsEvery(10, time.Second, 500*time.Millisecond, false), 0},
		"within the rate, refused":       {requestsEvery(10, time.Second, 500*time.Millisecond, true), 0.5},
		"over the rate, refused":         {requestsEvery(100, 10*time.Millisecond, time.Millisecond, true), 0},
		"retries over the rate, refused": {requestsEvery(30, 100*time.Millisecond, 50*time.Millisecond, true), 0},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(wrongRefusalFraction(s, tt.outcomes), tt.wrong)
		})
	}
}

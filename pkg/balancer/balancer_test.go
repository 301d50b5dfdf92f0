package balancer

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func TestChoose(t *testing.T) {
	cases := []struct {
		name       string
		candidates []Candidate
		want       int
	}{
		{"none", nil, -1},
		{"local before other data centre", []Candidate{{Limit: 10, OtherDataCentre: true}, {Limit: 10, InFlight: 2}}, 1},
		{"other data centre before a full local instance", []Candidate{{Limit: 10, InFlight: 2, OtherDataCentre: true}, {Limit: 10, InFlight: 9}}, 0},
		{"emptiest", []Candidate{{Limit: 10, InFlight: 5}, {Limit: 100, InFlight: 10}, {Limit: 4, InFlight: 3}}, 1},
		{"fast before slow", []Candidate{{Limit: 10, Slowdown: 5}, {Limit: 10, Slowdown: 1}}, 1},
		{"last resort only where no other is left", []Candidate{{Limit: 10, LastResort: true}, {Limit: 10, InFlight: 50, OtherDataCentre: true}}, 1},
		{"last resort alone", []Candidate{{Limit: 10, LastResort: true}}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for range 20 {
				is.Equal(Choose(c.candidates, rand.Float64), c.want)
			}
		})
	}
}

// Many calls at once fill instances of unequal size in different data centres
// evenly: all are filled before any is overloaded.
func TestInstancesFillEvenly(t *testing.T) {
	is := is.New(t)
	list := []Candidate{{Limit: 17}, {Limit: 17, OtherDataCentre: true}, {Limit: 34, OtherDataCentre: true}}
	for range 68 {
		list[Choose(list, rand.Float64)].InFlight++
	}
	for _, c := range list {
		is.True(float64(c.InFlight) <= 1.25*float64(c.Limit))
	}
}

// A peer reports a fullness that is no number. Guards against a choice that sends it all
// calls, or fails.
func TestMalformedFullnessIsIgnored(t *testing.T) {
	is := is.New(t)
	candidates := []Candidate{{Limit: 10, InFlight: 9, RateFullness: math.NaN()}, {Limit: 10}, {Limit: 10, RateFullness: math.Inf(-1)}}
	is.True(Choose(candidates, func() float64 { return 0 }) != 0)
	is.Equal(Choose(candidates[:1], func() float64 { return 0 }), 0)
}

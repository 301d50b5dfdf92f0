package balancer

import (
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
		{"near before far", []Candidate{{Limit: 10, OtherDataCentre: true}, {Limit: 10, InFlight: 2}}, 1},
		{"far before a full near one", []Candidate{{Limit: 10, InFlight: 2, OtherDataCentre: true}, {Limit: 10, InFlight: 9}}, 0},
		{"emptiest", []Candidate{{Limit: 10, InFlight: 5}, {Limit: 100, InFlight: 10}, {Limit: 4, InFlight: 3}}, 1},
		{"fast before slow", []Candidate{{Limit: 10, Slowdown: 5}, {Limit: 10, Slowdown: 1}}, 1},
		{"closed only where no other is left", []Candidate{{Limit: 10, LastResort: true}, {Limit: 10, InFlight: 50, OtherDataCentre: true}}, 1},
		{"last one", []Candidate{{Limit: 10, LastResort: true}}, 0},
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

// A storm of calls upon instances of unequal size and distance fills all before
// any is overfull.
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

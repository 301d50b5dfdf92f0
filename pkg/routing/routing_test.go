package routing

import (
	"testing"

	"github.com/matryer/is"
)

func TestLookup(t *testing.T) {
	b := NewBuilder(1, Limits{})
	for _, r := range []*Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "homes", Host: "a.example", Prefix: "/homes/"},
		{Name: "deep", Host: "a.example", Prefix: "/homes/x/"},
		{Name: "other", Host: "b.example", Prefix: "/homes/"},
	} {
		b.AddRoute(r)
	}
	v := b.Build()
	cases := []struct {
		host, path string
		want       RouteName
	}{
		{"a.example", "/homes/1", "homes"},
		{"a.example", "/homes/x/1", "deep"},
		{"a.example", "/homes/x", "homes"},
		{"a.example", "/homes", "all"},
		{"a.example", "/", "all"},
		{"a.example", "/homesick/1", "all"},
		{"A.example:80", "/homes/", "homes"},
		{"b.example", "/homes/1", "other"},
		{"b.example", "/else", ""},
		{"c.example", "/homes/", ""},
		{"a.example", "", ""},
		{"a.example", "/homes/x//", "deep"},
	}
	for _, c := range cases {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			var name RouteName
			if r := v.Lookup(c.host, c.path); r != nil {
				name = r.Name
			}
			is.Equal(name, c.want)
		})
	}
}

func TestPickServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	r := &Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
	counts := map[string]int{}
	for range 10000 {
		counts[string(r.PickService())]++
	}
	is.True(counts["b"] > 850 && counts["b"] < 1150)
	is.Equal(counts["c"], 0)
}

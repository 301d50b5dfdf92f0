package configcheck

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

// newConfig returns a configuration without problems.
func newConfig() *Config {
	return &Config{
		Version: 4, Limits: routing.Limits{MaxBodyBytes: 1 << 20},
		Routes: []*routing.Route{
			{Name: "browse", Host: "h.example", Prefix: "/a/", Timeout: time.Second, TargetLatency: 300 * time.Millisecond, Targets: []routing.Target{{Service: "desk", Weight: 1}}, MaxAttempts: 2},
			{Name: "commit", Host: "h.example", Prefix: "/b/", Targets: []routing.Target{{Service: "desk", Weight: 1}}},
		},
		Services:      []Service{{Name: "desk", HealthPath: "/health"}},
		Organisations: []Organisation{{Organisation: &routing.Organisation{ID: "dakar", Rate: 10, Burst: 10}, Keys: []routing.KeyDigest{routing.DigestKey("k1")}}},
	}
}

// Guards against problems that pass, and against ones that are reported where there are none.
func TestCheck(t *testing.T) {
	cases := []struct {
		name     string
		change   func(c *Config)
		severity Severity
		entry    string
		problem  string
	}{
		{"none", func(*Config) {}, "", "", ""},
		{"same place", func(c *Config) { c.Routes[1].Prefix, c.Routes[1].Host = "/a/", "H.example" }, SeverityError, "route browse", "can never match"},
		{"same name", func(c *Config) { c.Routes[1].Name = "browse" }, SeverityError, "route browse", "same name"},
		{"port", func(c *Config) { c.Routes[0].Host = "h.example:80" }, SeverityError, "route browse", "can never match"},
		{"no slash", func(c *Config) { c.Routes[0].Prefix = "/a" }, SeverityError, "route browse", "can never match"},
		{"query", func(c *Config) { c.Routes[0].Prefix = "/a?/" }, SeverityError, "route browse", "can never match"},
		{"no weight", func(c *Config) { c.Routes[0].Targets[0].Weight, c.Services = 0, nil }, SeverityError, "route browse", "all weights are 0"},
		{"unknown service", func(c *Config) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, routing.Target{Service: "box", Weight: 1})
		}, SeverityWarning, "route browse", "not in the list"},
		{"slow target", func(c *Config) { c.Routes[0].TargetLatency = 2 * time.Second }, SeverityWarning, "route browse", "longer than the timeout"},
		{"negative attempts", func(c *Config) { c.Routes[0].MaxAttempts = -1 }, SeverityError, "route browse", "negative"},
		{"unused service", func(c *Config) { c.Services = append(c.Services, Service{Name: "box"}) }, SeverityWarning, "service box", "no route leads"},
		{"service twice", func(c *Config) { c.Services = append(c.Services, c.Services[0]) }, SeverityError, "service desk", "twice"},
		{"no key", func(c *Config) { c.Organisations[0].Keys = nil }, SeverityWarning, "organisation dakar", "has no key"},
		{"no burst", func(c *Config) { c.Organisations[0].Burst = 0 }, SeverityWarning, "organisation dakar", "burst of 0"},
		{"burst without rate", func(c *Config) { c.Organisations[0].Rate = 0 }, SeverityWarning, "organisation dakar", "no limit"},
		{"key of two", func(c *Config) {
			c.Organisations = append(c.Organisations, Organisation{Organisation: &routing.Organisation{ID: "thies"}, Keys: c.Organisations[0].Keys})
		}, SeverityError, "organisation dakar", "can never match"},
		{"no common region", func(c *Config) {
			c.Routes[0].Regions, c.Organisations[0].Regions = routing.Regions{"east"}, routing.Regions{"west"}
		}, SeverityWarning, "organisation dakar", "can never use route browse"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			config := newConfig()
			c.change(config)
			findings := Check(config)
			if c.entry == "" {
				is.Equal(findings, nil)
				return
			}
			is.Equal(len(findings), 1)
			is.Equal(findings[0].Severity, c.severity)
			is.Equal(findings[0].Entry, c.entry)
			is.True(strings.Contains(findings[0].Problem, c.problem))
		})
	}
}

// Guards against differences that are not shown, and against keys that are.
func TestCompare(t *testing.T) {
	is := is.New(t)
	is.Equal(Compare(newConfig(), newConfig()), nil)
	after := newConfig()
	after.Version, after.Limits.MaxBodyBytes = 5, 2<<20
	after.Routes[0].Timeout = 2 * time.Second
	after.Routes[1].Name = "confirm"
	after.Organisations[0].Rate = 20
	after.Organisations[0].Keys = []routing.KeyDigest{routing.DigestKey("k2"), routing.DigestKey("k3")}
	is.Equal(Compare(newConfig(), after), []Difference{
		{KindChanged, "version", "4 to 5"},
		{KindChanged, "limits", "MaxBodyBytes: 1048576 to 2097152"},
		{KindChanged, "route browse", "Timeout: 1s to 2s"},
		{KindRemoved, "route commit", ""},
		{KindAdded, "route confirm", ""},
		{KindChanged, "organisation dakar", "Rate: 10 to 20"},
		{KindChanged, "organisation dakar", "keys: 2 added, 1 withdrawn"},
	})
}

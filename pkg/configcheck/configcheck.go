// Package configcheck examines a configuration before an operator sends it. It finds entries
// that can never match, limits that contradict each other, and what differs from another version.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// Severities of findings.
const (
	// SeverityError means that the configuration does not do what it says.
	SeverityError Severity = "error"
	// SeverityWarning means that the configuration may not do what was meant.
	SeverityWarning Severity = "warning"
)

type (
	// Severity tells how much a finding matters.
	Severity string

	// Finding is a problem of a configuration.
	Finding struct {
		Severity Severity `json:"severity"`
		// Entry names the entry that the finding is about, such as "route a".
		Entry string `json:"entry"`
		// Problem describes the finding to a person.
		Problem string `json:"problem"`
	}

	// Organisation is an organisation with the digests of its keys.
	Organisation struct {
		*routing.Organisation
		Keys []routing.KeyDigest
	}

	// Service is an entry of the list of services.
	Service struct {
		Name       fleet.ServiceName
		HealthPath string
		// ColdRate is the number of calls per second that a cold instance takes; 0 means no
		// limit.
		ColdRate float64
	}

	// Config is a configuration with all entries as they were written, also those that an
	// active configuration would not keep.
	Config struct {
		Version       routing.Version
		Limits        routing.Limits
		Routes        []*routing.Route
		Services      []Service
		Organisations []Organisation
	}

	// report collects findings.
	report struct {
		findings []Finding
	}
)

// Check returns the problems of a configuration: errors first, then by entry.
func Check(c *Config) []Finding {
	r := &report{}
	r.checkRoutes(c)
	r.checkServices(c)
	r.checkOrganisations(c)
	slices.SortStableFunc(r.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Entry, b.Entry))
	})
	return r.findings
}

func (r *report) add(s Severity, entry, format string, args ...any) {
	r.findings = append(r.findings, Finding{Severity: s, Entry: entry, Problem: fmt.Sprintf(format, args...)})
}

func (r *report) checkRoutes(c *Config) {
	names, places := map[routing.RouteName]bool{}, map[string]routing.RouteName{}
	for _, route := range c.Routes {
		entry := "route " + string(route.Name)
		if names[route.Name] {
			r.add(SeverityError, entry, "another route has the same name")
		}
		names[route.Name] = true
		place := strings.ToLower(route.Host) + route.Prefix
		if other, taken := places[place]; taken {
			r.add(SeverityError, "route "+string(other), "can never match: route %s has the same host and path prefix and comes later", route.Name)
		}
		places[place] = route.Name
		r.checkMatch(entry, route)
		r.checkTargets(entry, route, c)
		r.checkTimes(entry, route)
	}
}

// checkMatch reports a route that no request can match.
func (r *report) checkMatch(entry string, route *routing.Route) {
	switch {
	case strings.Contains(route.Host, ":"):
		r.add(SeverityError, entry, "can never match: the port of a request's host is ignored, and the route's host %q has one", route.Host)
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		r.add(SeverityError, entry, "can never match: the path prefix %q does not begin and end with a slash", route.Prefix)
	case strings.ContainsAny(route.Prefix, "?# "):
		r.add(SeverityError, entry, "can never match: no path contains the characters of the prefix %q", route.Prefix)
	}
}

func (r *report) checkTargets(entry string, route *routing.Route, c *Config) {
	total := 0.0
	for _, t := range route.Targets {
		total += t.Weight
	}
	for _, t := range route.Targets {
		known := len(c.Services) == 0 || slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == t.Service })
		switch {
		case !known:
			r.add(SeverityWarning, entry, "service %s is not in the list of services", t.Service)
		case t.Weight == 0 && total > 0:
			r.add(SeverityWarning, entry, "service %s has weight 0 and gets no requests", t.Service)
		}
	}
	if total <= 0 {
		r.add(SeverityError, entry, "all weights are 0, so that no service gets a share")
	}
}

// checkTimes reports times and attempts of a route that contradict each other.
func (r *report) checkTimes(entry string, route *routing.Route) {
	switch {
	case route.Timeout < 0 || route.TargetLatency < 0 || route.MaxAttempts < 0:
		r.add(SeverityError, entry, "a time or the number of attempts is negative")
	case route.Timeout > 0 && route.TargetLatency > route.Timeout:
		r.add(SeverityWarning, entry, "the target latency of %v is longer than the timeout of %v", route.TargetLatency, route.Timeout)
	}
}

func (r *report) checkServices(c *Config) {
	seen := map[fleet.ServiceName]bool{}
	for _, s := range c.Services {
		entry := "service " + string(s.Name)
		if seen[s.Name] {
			r.add(SeverityError, entry, "is listed twice; the later entry counts")
		}
		seen[s.Name] = true
		if !slices.ContainsFunc(c.Routes, func(route *routing.Route) bool { return route.RoutesTo(s.Name) }) {
			r.add(SeverityWarning, entry, "no route leads to it")
		}
		if s.ColdRate < 0 {
			r.add(SeverityError, entry, "the rate of a cold instance is negative, which counts as no limit")
		}
	}
}

func (r *report) checkOrganisations(c *Config) {
	seen, holders := map[fleet.OrganisationID]bool{}, map[routing.KeyDigest]fleet.OrganisationID{}
	for _, o := range c.Organisations {
		entry := "organisation " + string(o.ID)
		if seen[o.ID] {
			r.add(SeverityError, entry, "is listed twice")
		}
		seen[o.ID] = true
		if len(o.Keys) == 0 {
			r.add(SeverityWarning, entry, "has no key, so that no request can be its own")
		}
		for _, k := range o.Keys {
			if other, taken := holders[k]; taken && other != o.ID {
				r.add(SeverityError, "organisation "+string(other), "one of its keys can never match: organisation %s has the same and comes later", o.ID)
			}
			holders[k] = o.ID
		}
		switch {
		case o.Rate < 0 || o.Burst < 0:
			r.add(SeverityError, entry, "the rate or the burst is negative")
		case o.Rate > 0 && o.Burst < 1:
			r.add(SeverityWarning, entry, "has a rate but a burst of %v: not even one request may come at once", float64(o.Burst))
		case o.Rate == 0 && o.Burst > 0:
			r.add(SeverityWarning, entry, "has a burst of %v but no rate, which means no limit", float64(o.Burst))
		}
		r.checkRegions(entry, o, c.Routes)
	}
}

// checkRegions reports routes that the organisation can never use, as no region permits both.
func (r *report) checkRegions(entry string, o Organisation, routes []*routing.Route) {
	if len(o.Regions) == 0 {
		return
	}
	for _, route := range routes {
		if len(route.Regions) > 0 && !slices.ContainsFunc(route.Regions, o.Regions.Permits) {
			r.add(SeverityWarning, entry, "can never use route %s: no region is allowed by both", route.Name)
		}
	}
}

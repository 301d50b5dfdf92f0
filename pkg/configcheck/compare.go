package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

// Kinds of differences.
const (
	KindAdded   Kind = "added"
	KindRemoved Kind = "removed"
	KindChanged Kind = "changed"
)

type (
	// Kind tells how an entry differs.
	Kind string

	// Difference is an entry that differs between two configurations.
	Difference struct {
		Kind  Kind   `json:"kind"`
		Entry string `json:"entry"`
		// Detail tells what has changed in an entry that both have; empty for others.
		Detail string `json:"detail,omitempty"`
	}
)

// Compare returns what differs between two configurations, by entry.
func Compare(before, after *Config) []Difference {
	var list []Difference
	if before.Version != after.Version {
		list = append(list, Difference{KindChanged, "version", fmt.Sprintf("%d to %d", before.Version, after.Version)})
	}
	list = append(list, compareFields("limits", before.Limits, after.Limits)...)
	list = append(list, compareEntries("route", before.Routes, after.Routes, func(r *routing.Route) string { return string(r.Name) })...)
	list = append(list, compareEntries("service", before.Services, after.Services, func(s Service) string { return string(s.Name) })...)
	list = append(list, compareEntries("organisation", before.Organisations, after.Organisations, func(o Organisation) string { return string(o.ID) })...)
	return list
}

// compareEntries compares two lists of entries by name.
func compareEntries[T any](noun string, before, after []T, name func(T) string) []Difference {
	index := func(list []T) map[string]T {
		byName := map[string]T{}
		for _, e := range list {
			byName[name(e)] = e
		}
		return byName
	}
	old, current := index(before), index(after)
	var list []Difference
	for _, n := range slices.Sorted(maps.Keys(old)) {
		if _, kept := current[n]; !kept {
			list = append(list, Difference{Kind: KindRemoved, Entry: noun + " " + n})
		}
	}
	for _, n := range slices.Sorted(maps.Keys(current)) {
		previous, known := old[n]
		if !known {
			list = append(list, Difference{Kind: KindAdded, Entry: noun + " " + n})
			continue
		}
		list = append(list, compareFields(noun+" "+n, previous, current[n])...)
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return cmp.Compare(a.Entry, b.Entry) })
	return list
}

// compareFields returns a difference for each exported field in which two values of the same
// struct type differ. Digests of keys are counted, not shown.
func compareFields(entry string, before, after any) []Difference {
	x, y := reflect.Indirect(reflect.ValueOf(before)), reflect.Indirect(reflect.ValueOf(after))
	var list []Difference
	for i := range x.NumField() {
		field := x.Type().Field(i)
		if !field.IsExported() {
			continue
		}
		a, b := x.Field(i).Interface(), y.Field(i).Interface()
		switch {
		case field.Anonymous:
			list = append(list, compareFields(entry, a, b)...)
		case field.Type == reflect.TypeFor[[]routing.KeyDigest]():
			list = append(list, compareKeys(entry, a.([]routing.KeyDigest), b.([]routing.KeyDigest))...)
		case !reflect.DeepEqual(a, b):
			list = append(list, Difference{KindChanged, entry, fmt.Sprintf("%s: %v to %v", field.Name, a, b)})
		}
	}
	return list
}

// compareKeys tells how many keys were added and withdrawn.
func compareKeys(entry string, before, after []routing.KeyDigest) []Difference {
	missing := func(from, in []routing.KeyDigest) int {
		count := 0
		for _, k := range from {
			if !slices.Contains(in, k) {
				count++
			}
		}
		return count
	}
	added, withdrawn := missing(after, before), missing(before, after)
	if added == 0 && withdrawn == 0 {
		return nil
	}
	return []Difference{{KindChanged, entry, fmt.Sprintf("keys: %d added, %d withdrawn", added, withdrawn)}}
}

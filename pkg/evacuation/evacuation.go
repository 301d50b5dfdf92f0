// Package evacuation decides which data centres are evacuated, from the records that the
// operator writes. It answers the load pattern in which all calls must leave a data centre
// while its machines still run and its callers still send requests, and return to it later.
package evacuation

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/topic"
)

type (
	// Change lists, in order, the data centres whose evacuation began or was taken back.
	Change struct {
		Evacuated, TakenBack []fleet.DataCentre
	}

	// Set holds the evacuated data centres. Its zero value ignores all records. Its methods are
	// safe for concurrent use.
	Set struct {
		// KeyPrefix precedes the name of the data centre in the key of its record. Records
		// with other keys are ignored. It must be set before use.
		KeyPrefix string

		// evacuated is replaced as a whole, so that reading it needs no lock.
		evacuated atomic.Pointer[map[fleet.DataCentre]bool]
		// known reports whether a full list of records has been applied.
		known atomic.Bool
		// mu guards restored and keeps changes apart.
		mu sync.Mutex
		// restored reports whether the next full list of records is of a restored topic.
		restored bool
	}
)

// Apply applies records of the topic and returns what they changed. An empty value takes an
// evacuation back. If full is true, so does the absence of a record, except in the first
// list after a restore.
func (s *Set) Apply(records []topic.Record, full bool) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.get()
	after := maps.Clone(before)
	if after == nil || full && !s.restored {
		after = map[fleet.DataCentre]bool{}
	}
	for _, r := range records {
		name, isEvacuation := strings.CutPrefix(r.Key, s.KeyPrefix)
		switch {
		case !isEvacuation || s.KeyPrefix == "" || name == "":
		case len(r.Value) > 0:
			after[fleet.DataCentre(name)] = true
		default:
			delete(after, fleet.DataCentre(name))
		}
	}
	s.evacuated.Store(&after)
	if full {
		s.restored = false
		s.known.Store(true)
	}
	return Change{Evacuated: missingFrom(before, after), TakenBack: missingFrom(after, before)}
}

// missingFrom returns the data centres in b that are not in a, in order.
func missingFrom(a, b map[fleet.DataCentre]bool) []fleet.DataCentre {
	var missing []fleet.DataCentre
	for _, dataCentre := range slices.Sorted(maps.Keys(b)) {
		if !a[dataCentre] {
			missing = append(missing, dataCentre)
		}
	}
	return missing
}

// HandleRestore must be called when the topic was found restored from a copy, before its
// newest records are applied. The copy may lack evacuations, which stay in force until a
// later record or a later full list.
func (s *Set) HandleRestore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

// Has reports whether a data centre is evacuated.
func (s *Set) Has(dataCentre fleet.DataCentre) bool { return s.get()[dataCentre] }

// Any reports whether any data centre is evacuated.
func (s *Set) Any() bool { return len(s.get()) > 0 }

// Known reports whether a full list of records has been applied. Before, any data centre
// may be evacuated.
func (s *Set) Known() bool { return s.known.Load() }

// get returns the evacuated data centres. The caller must not change the map.
func (s *Set) get() map[fleet.DataCentre]bool {
	if evacuated := s.evacuated.Load(); evacuated != nil {
		return *evacuated
	}
	return nil
}

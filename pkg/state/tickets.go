package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// maxConflicts limits the number of verdicts on tickets with a taken number in a
// state.
const maxConflicts = 1000

// applyTicket accepts a ticket as a whole or rejects it as a whole. A number belongs
// permanently to the first ticket that uses it, whether accepted or rejected.
func (s *State) applyTicket(offset platformlog.Offset, t *ticket.Ticket) {
	v := Verdict{
		Number: t.Number, Digest: t.Digest(), Author: t.Author, Reason: t.Reason,
		Offset: offset, Objects: changedObjects(t),
	}
	first, taken := s.Verdicts[t.Number]
	if taken && first.Digest == v.Digest {
		return
	}
	if taken || t.Number <= s.Floor {
		v.RejectionReason = fmt.Sprintf("number %d is taken by another ticket; file under a new number", t.Number)
		s.addConflict(v)
		return
	}
	v.RejectionReason = s.rejectionReason(t)
	v.Accepted = v.RejectionReason == ""
	if v.Accepted {
		s.setObjects(offset, t)
	}
	s.Verdicts[t.Number] = v
	s.evictVerdict()
}

// changedObjects returns the objects that the ticket changes, sorted by kind and
// name.
func changedObjects(t *ticket.Ticket) []ticket.Ref {
	refs := slices.Collect(maps.Keys(t.Against))
	slices.SortFunc(refs, func(a, b ticket.Ref) int { return cmp.Compare(a.String(), b.String()) })
	return refs
}

func (s *State) addConflict(v Verdict) {
	if len(s.Conflicts) >= maxConflicts {
		oldest := slices.MinFunc(slices.Collect(maps.Values(s.Conflicts)), func(a, b Verdict) int {
			return cmp.Compare(a.Offset, b.Offset)
		})
		delete(s.Conflicts, oldest.Digest)
	}
	if _, known := s.Conflicts[v.Digest]; !known {
		s.Conflicts[v.Digest] = v
	}
}

// evictVerdict deletes the verdict with the lowest number if there are too many.
func (s *State) evictVerdict() {
	if len(s.Verdicts) <= maxVerdicts {
		return
	}
	lowest := slices.Min(slices.Collect(maps.Keys(s.Verdicts)))
	delete(s.Verdicts, lowest)
	s.Floor = max(s.Floor, lowest)
}

// VerdictOn returns the verdict on the ticket with the given number and content
// digest, and false if there is none.
func (s *State) VerdictOn(number fleet.TicketNumber, digest ticket.Digest) (Verdict, bool) {
	if v, known := s.Verdicts[number]; known && v.Digest == digest {
		return v, true
	}
	v, known := s.Conflicts[digest]
	return v, known
}

// rejectionReason returns why the ticket must be rejected, or an empty string.
func (s *State) rejectionReason(t *ticket.Ticket) string {
	if countListedObjects(t) != len(t.Against) || len(t.Against) == 0 {
		return "the ticket must name, for each object, the ticket it was written against"
	}
	for _, ref := range changedObjects(t) {
		current := s.ActiveTicket(ref)
		if t.Against[ref] != current {
			return fmt.Sprintf("%s is at ticket %d, but this was written against %d; read what is in force and file anew", ref, current, t.Against[ref])
		}
		if t.Number <= current {
			return fmt.Sprintf("%s is at ticket %d, which is not below %d; file under a higher number", ref, current, t.Number)
		}
	}
	return s.objectProblem(t)
}

// countListedObjects returns the number of objects in the ticket, or -1 if one is
// not listed in Against or occurs twice.
func countListedObjects(t *ticket.Ticket) int {
	seen := map[ticket.Ref]bool{}
	for ref := range objectRefs(t) {
		if _, named := t.Against[ref]; !named || seen[ref] {
			return -1
		}
		seen[ref] = true
	}
	return len(seen)
}

func objectRefs(t *ticket.Ticket) func(yield func(ticket.Ref) bool) {
	return func(yield func(ticket.Ref) bool) {
		for _, o := range t.Organisations {
			if !yield(ticket.Ref{Kind: ticket.KindOrganisation, Name: string(o.ID)}) {
				return
			}
		}
		for _, k := range t.Keys {
			if !yield(ticket.Ref{Kind: ticket.KindKey, Name: string(k.ID)}) {
				return
			}
		}
		for _, v := range t.Services {
			if !yield(ticket.Ref{Kind: ticket.KindService, Name: string(v.Name)}) {
				return
			}
		}
		for _, u := range t.Upstreams {
			if !yield(ticket.Ref{Kind: ticket.KindUpstream, Name: string(u.Instance)}) {
				return
			}
		}
	}
}

// objectProblem returns what is invalid about an object of the ticket, or an empty
// string.
func (s *State) objectProblem(t *ticket.Ticket) string {
	for _, o := range t.Organisations {
		if o.Rate < 0 || o.Rate > ticket.MaxRatePerSecond || o.Burst < 1 || o.Burst > ticket.MaxBurstTokens || o.Weight <= 0 {
			return fmt.Sprintf("organisation %s has a rate, burst or weight out of range", o.ID)
		}
	}
	for _, k := range t.Keys {
		_, exists := s.Organisations[k.Organisation]
		added := slices.ContainsFunc(t.Organisations, func(o ticket.Organisation) bool { return o.ID == k.Organisation })
		if !exists && !added {
			return fmt.Sprintf("key %s is for organisation %s, which no ticket has made", k.ID, k.Organisation)
		}
		if !k.Digest.Valid() {
			return fmt.Sprintf("key %s has no valid digest", k.ID)
		}
	}
	for _, v := range t.Services {
		for _, r := range v.Routes {
			if _, err := ticket.ParseRoute(r.String()); err != nil {
				return fmt.Sprintf("service %s has a bad route: %s", v.Name, err)
			}
		}
	}
	return ""
}

// ActiveTicket returns the number of the ticket in effect for an object, or 0.
func (s *State) ActiveTicket(ref ticket.Ref) fleet.TicketNumber {
	switch ref.Kind {
	case ticket.KindOrganisation:
		return s.Organisations[fleet.OrganisationID(ref.Name)].Ticket
	case ticket.KindKey:
		return s.Keys[fleet.KeyID(ref.Name)].Ticket
	case ticket.KindService:
		return s.Services[fleet.ServiceName(ref.Name)].Ticket
	case ticket.KindUpstream:
		return s.Upstreams[fleet.InstanceName(ref.Name)].Ticket
	}
	return 0
}

func (s *State) setObjects(offset platformlog.Offset, t *ticket.Ticket) {
	for _, o := range t.Organisations {
		s.Organisations[o.ID] = replaceObject(s.Organisations[o.ID], o, t.Number, offset)
	}
	for _, k := range t.Keys {
		s.Keys[k.ID] = replaceObject(s.Keys[k.ID], k, t.Number, offset)
	}
	for _, v := range t.Services {
		s.Services[v.Name] = replaceObject(s.Services[v.Name], v, t.Number, offset)
	}
	for _, u := range t.Upstreams {
		s.Upstreams[u.Instance] = replaceObject(s.Upstreams[u.Instance], u, t.Number, offset)
	}
}

func replaceObject[T any](old InForce[T], value T, number fleet.TicketNumber, offset platformlog.Offset) InForce[T] {
	return InForce[T]{Value: value, Ticket: number, Replaced: old.Ticket, Offset: offset}
}

// Package state folds the config stream into what is in force. The fold is a
// pure function of the records in offset order, so every node reaches the same
// verdicts without asking another.
package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

const (
	// SlotCount is the number of rate slots of the fleet. It is of the order of
	// the largest fleet, so that lending is spread over all its nodes.
	SlotCount = 1024
	// maxVerdicts bounds the verdicts on tickets that are remembered.
	maxVerdicts = 10_000
	// maxEndedMembers bounds the ended members that are remembered.
	maxEndedMembers = 20_000
)

// Epoch numbers the tenures of a rate slot: the offset of the claim plus one.
type Epoch uint64

// InForce is the state of one object and where it came from.
type InForce[T any] struct {
	Value T `json:"value"`
	// Ticket set the value; it only grows.
	Ticket fleet.TicketNumber `json:"ticket"`
	// Replaced is the ticket that was in force before, 0 for none.
	Replaced fleet.TicketNumber `json:"replaced"`
	Offset   platformlog.Offset `json:"offset"`
}

// Verdict is the outcome of filing a ticket.
type Verdict struct {
	Number   fleet.TicketNumber `json:"number"`
	Digest   ticket.Digest      `json:"digest"`
	Accepted bool               `json:"accepted"`
	// RejectionReason explains a refusal.
	RejectionReason string             `json:"why,omitempty"`
	Author          string             `json:"author"`
	Reason          string             `json:"reason"`
	Offset          platformlog.Offset `json:"offset"`
	// Objects lists what the ticket touches.
	Objects []ticket.Ref `json:"objects"`
}

// Slot is the tenure of one rate slot.
type Slot struct {
	// Holder is empty while the slot is vacant.
	Holder fleet.MemberID `json:"holder"`
	// Epoch only grows.
	Epoch Epoch `json:"epoch"`
	// PreviousEnd is how the earlier tenure ended; empty for the first tenure.
	PreviousEnd Evidence `json:"before"`
	// IdleMs is for how many milliseconds nothing was lent out when a settled
	// tenure ended; 0 after any other end.
	IdleMs int64 `json:"restMs,omitempty"`
	// ClaimOffset is the offset of the claim.
	ClaimOffset platformlog.Offset `json:"since"`
}

// State is what the records up to Next fold to. It must not be changed once it
// is published.
type State struct {
	// NextOffset is the offset of the first record not folded in.
	NextOffset    platformlog.Offset                                    `json:"next"`
	Organisations map[fleet.OrganisationID]InForce[ticket.Organisation] `json:"organisations"`
	Keys          map[fleet.KeyID]InForce[ticket.Key]                   `json:"keys"`
	Services      map[fleet.ServiceName]InForce[ticket.Service]         `json:"services"`
	Upstreams     map[fleet.InstanceName]InForce[ticket.Upstream]       `json:"upstreams"`
	// Verdicts holds first verdicts by number; all numbers up to Floor that
	// are not in it are refused.
	Verdicts map[fleet.TicketNumber]Verdict `json:"verdicts"`
	Floor    fleet.TicketNumber             `json:"floor"`
	// Conflicts holds refusals of tickets whose number was already taken, by
	// content.
	Conflicts map[ticket.Digest]Verdict   `json:"conflicts"`
	Members   map[fleet.MemberID]Member   `json:"members"`
	Ended     map[fleet.MemberID]Evidence `json:"ended"`
	// EndOrder lists the keys of Ended, oldest first.
	EndOrder []fleet.MemberID `json:"endOrder"`
	Slots    []Slot           `json:"slots"`
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Organisations: map[fleet.OrganisationID]InForce[ticket.Organisation]{},
		Keys:          map[fleet.KeyID]InForce[ticket.Key]{},
		Services:      map[fleet.ServiceName]InForce[ticket.Service]{},
		Upstreams:     map[fleet.InstanceName]InForce[ticket.Upstream]{},
		Verdicts:      map[fleet.TicketNumber]Verdict{},
		Conflicts:     map[ticket.Digest]Verdict{},
		Members:       map[fleet.MemberID]Member{},
		Ended:         map[fleet.MemberID]Evidence{},
		Slots:         make([]Slot, SlotCount),
	}
}

// Clone returns a copy that can be changed without changing s.
func (s *State) Clone() *State {
	c := *s
	c.Organisations = maps.Clone(s.Organisations)
	c.Keys = maps.Clone(s.Keys)
	c.Services = maps.Clone(s.Services)
	c.Upstreams = maps.Clone(s.Upstreams)
	c.Verdicts = maps.Clone(s.Verdicts)
	c.Conflicts = maps.Clone(s.Conflicts)
	c.Members = maps.Clone(s.Members)
	c.Ended = maps.Clone(s.Ended)
	c.EndOrder = slices.Clone(s.EndOrder)
	c.Slots = slices.Clone(s.Slots)
	return &c
}

// OrderError reports a record that does not follow the state.
type OrderError struct {
	Want, Got platformlog.Offset
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("record at offset %d does not follow: want %d", e.Got, e.Want)
}

// Apply folds one record into s. A record that cannot be decoded, repeats an
// earlier one or breaks a rule changes nothing but Next. It returns
// *OrderError where the offset is not Next.
func (s *State) Apply(offset platformlog.Offset, record platformlog.Record) error {
	if offset != s.NextOffset {
		return &OrderError{Want: s.NextOffset, Got: offset}
	}
	s.NextOffset++
	switch record.Kind {
	case ticket.RecordKind:
		decodeAndApply(record, func(t *ticket.Ticket) { s.applyTicket(offset, t) })
	case RecordMemberJoin:
		decodeAndApply(record, s.applyJoin)
	case RecordMemberEnd:
		decodeAndApply(record, func(e *MemberEnd) { s.endMember(e.Member, e.Evidence) })
	case RecordSlotClaim:
		decodeAndApply(record, func(c *SlotClaim) { s.applyClaim(offset, c) })
	case RecordSlotRelease:
		decodeAndApply(record, s.applyRelease)
	}
	return nil
}

func decodeAndApply[T any](record platformlog.Record, apply func(*T)) {
	value := new(T)
	if json.Unmarshal(record.Body, value) == nil {
		apply(value)
	}
}

func (s *State) applyJoin(m *Member) {
	_, known := s.Members[m.ID]
	_, ended := s.Ended[m.ID]
	if m.ID == "" || known || ended {
		return
	}
	for id, other := range s.Members {
		if other.PeerAddress == m.PeerAddress {
			s.endMember(id, EvidenceReplaced)
		}
	}
	s.Members[m.ID] = *m
}

func (s *State) endMember(id fleet.MemberID, evidence Evidence) {
	if _, known := s.Members[id]; !known {
		return
	}
	delete(s.Members, id)
	s.Ended[id] = evidence
	s.EndOrder = append(s.EndOrder, id)
	if len(s.EndOrder) > maxEndedMembers {
		delete(s.Ended, s.EndOrder[0])
		s.EndOrder = s.EndOrder[1:]
	}
	for i := range s.Slots {
		if s.Slots[i].Holder == id {
			s.Slots[i].Holder = ""
			s.Slots[i].PreviousEnd = evidence
			s.Slots[i].IdleMs = 0
		}
	}
}

func (s *State) applyClaim(offset platformlog.Offset, c *SlotClaim) {
	if _, isMember := s.Members[c.Member]; !isMember {
		return
	}
	for _, claimed := range c.Slots {
		slot := s.slot(claimed.Slot)
		if slot == nil || slot.Holder != "" || slot.Epoch != claimed.PreviousEpoch {
			continue
		}
		slot.Holder = c.Member
		slot.Epoch = Epoch(offset) + 1
		slot.ClaimOffset = offset
	}
}

func (s *State) applyRelease(r *SlotRelease) {
	for _, released := range r.Slots {
		slot := s.slot(released.Slot)
		if slot == nil || slot.Holder != r.Member || slot.Epoch != released.Epoch {
			continue
		}
		slot.Holder = ""
		slot.PreviousEnd, slot.IdleMs = EvidenceLeft, 0
		if released.Settled {
			slot.PreviousEnd, slot.IdleMs = EvidenceSettled, released.IdleMs
		}
	}
}

// slot returns a slot by number, or nil.
func (s *State) slot(number int) *Slot {
	if number < 0 || number >= len(s.Slots) {
		return nil
	}
	return &s.Slots[number]
}

// Marshal returns the canonical form of the state and its digest.
func (s *State) Marshal() ([]byte, string, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, "", eris.Wrap(err, "encode state")
	}
	return raw, digest(raw), nil
}

func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// DigestError reports a snapshot whose content is not what its digest says.
type DigestError struct {
	Want, Got string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("snapshot digest %s, want %s", e.Got, e.Want)
}

// Unmarshal reads a snapshot and checks its digest.
func Unmarshal(raw []byte, want string) (*State, error) {
	if got := digest(raw); got != want {
		return nil, &DigestError{Want: want, Got: got}
	}
	s := New()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, eris.Wrap(err, "decode snapshot")
	}
	return s, nil
}

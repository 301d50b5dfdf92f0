// Package state computes the configuration that is in effect from the records of
// the config stream. The result depends only on the records in offset order, so
// all nodes reach the same verdicts without communicating.
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
	// SlotCount is the number of rate slots of the fleet. It is of the same order
	// as the largest fleet, so that all nodes share the work of granting tokens.
	SlotCount = 1024
	// maxVerdicts limits the number of ticket verdicts in a state.
	maxVerdicts = 10_000
	// maxEndedMembers limits the number of ended members in a state.
	maxEndedMembers = 20_000
)

// Epoch identifies an ownership period of a rate slot. It is the offset of the
// record that claimed the slot, plus one.
type Epoch uint64

// InForce is the value of an object that is in effect and the ticket that set it.
type InForce[T any] struct {
	Value T `json:"value"`
	// Ticket is the number of the ticket that set Value. It never decreases.
	Ticket fleet.TicketNumber `json:"ticket"`
	// Replaced is the number of the ticket that was in effect before, or 0.
	Replaced fleet.TicketNumber `json:"replaced"`
	// Offset is the offset of the ticket in the config stream.
	Offset platformlog.Offset `json:"offset"`
}

// Verdict is the decision on a filed ticket.
type Verdict struct {
	Number   fleet.TicketNumber `json:"number"`
	Digest   ticket.Digest      `json:"digest"`
	Accepted bool               `json:"accepted"`
	// RejectionReason is why the ticket was rejected. It is empty if the ticket was
	// accepted.
	RejectionReason string             `json:"why,omitempty"`
	Author          string             `json:"author"`
	Reason          string             `json:"reason"`
	Offset          platformlog.Offset `json:"offset"`
	// Objects lists the objects that the ticket changes.
	Objects []ticket.Ref `json:"objects"`
}

// Slot is the ownership of one rate slot.
type Slot struct {
	// Holder is the member that owns the slot. It is empty while the slot is vacant.
	Holder fleet.MemberID `json:"holder"`
	// Epoch identifies the latest ownership period. It never decreases.
	Epoch Epoch `json:"epoch"`
	// PreviousEnd is how the previous ownership period ended. It is empty in the
	// first one.
	PreviousEnd Evidence `json:"before"`
	// IdleMs is how many milliseconds no tokens had been outstanding when the
	// previous ownership period ended, if it ended as settled. Otherwise it is 0.
	IdleMs int64 `json:"restMs,omitempty"`
	// ClaimOffset is the offset of the record that claimed the slot.
	ClaimOffset platformlog.Offset `json:"since"`
}

// State is the result of all records before NextOffset. It must not be changed
// once it is published.
type State struct {
	// NextOffset is the offset of the next record to apply.
	NextOffset    platformlog.Offset                                    `json:"next"`
	Organisations map[fleet.OrganisationID]InForce[ticket.Organisation] `json:"organisations"`
	Keys          map[fleet.KeyID]InForce[ticket.Key]                   `json:"keys"`
	Services      map[fleet.ServiceName]InForce[ticket.Service]         `json:"services"`
	Upstreams     map[fleet.InstanceName]InForce[ticket.Upstream]       `json:"upstreams"`
	// Verdicts maps each ticket number to the verdict on the first ticket that
	// used it.
	Verdicts map[fleet.TicketNumber]Verdict `json:"verdicts"`
	// Floor is the highest number whose verdict has been evicted from Verdicts. A
	// new ticket with a number up to Floor is rejected.
	Floor fleet.TicketNumber `json:"floor"`
	// Conflicts maps the digests of tickets whose number was already taken to
	// their verdicts.
	Conflicts map[ticket.Digest]Verdict `json:"conflicts"`
	Members   map[fleet.MemberID]Member `json:"members"`
	// Ended maps members that have ended to how they ended.
	Ended map[fleet.MemberID]Evidence `json:"ended"`
	// EndOrder lists the keys of Ended in the order in which the members ended.
	EndOrder []fleet.MemberID `json:"endOrder"`
	// Slots lists all rate slots by number.
	Slots []Slot `json:"slots"`
}

// New returns the state before any record is applied.
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

// Clone returns a copy of the state. Applying records to it leaves s unchanged.
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

// OrderError reports a record whose offset is not the next one.
type OrderError struct {
	Want, Got platformlog.Offset
}

// Error implements error.
func (e *OrderError) Error() string {
	return fmt.Sprintf("record at offset %d is out of order: want offset %d", e.Got, e.Want)
}

// Apply applies one record to s. A record that cannot be decoded, repeats an
// earlier one or breaks a rule only advances NextOffset; a ticket that is rejected
// also leaves its verdict. Apply returns *OrderError if offset is not NextOffset.
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

// slot returns the slot with the given number, or nil if there is none.
func (s *State) slot(number int) *Slot {
	if number < 0 || number >= len(s.Slots) {
		return nil
	}
	return &s.Slots[number]
}

// Marshal returns the canonical form of the state, which is JSON, and the
// hexadecimal SHA-256 digest of that form.
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

// DigestError reports a snapshot whose content does not match its digest.
type DigestError struct {
	Want, Got string
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("snapshot digest mismatch: got %s, want %s", e.Got, e.Want)
}

// Unmarshal decodes the canonical form of a state and checks that its digest is
// want. It returns *DigestError if the digest differs.
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

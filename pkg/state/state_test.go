package state_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

func organisationTicket(number, against fleet.TicketNumber, id string, rate float64) *ticket.Ticket {
	return &ticket.Ticket{
		Number: number, Author: "awa", Reason: fmt.Sprintf("rate %g", rate),
		Against:       map[ticket.Ref]fleet.TicketNumber{{Kind: ticket.KindOrganisation, Name: id}: against},
		Organisations: []ticket.Organisation{{ID: fleet.OrganisationID(id), Rate: fleet.Rate(rate), Burst: 10, Weight: 1}},
	}
}

func apply(s *state.State, kind platformlog.Kind, body any) {
	record, err := platformlog.NewRecord("r", kind, body)
	if err != nil {
		panic(err)
	}
	if err := s.Apply(s.NextOffset, record); err != nil {
		panic(err)
	}
}

func TestTicketVerdicts(t *testing.T) {
	twoObjects := organisationTicket(9, 5, "dakar", 30)
	twoObjects.Against[ticket.Ref{Kind: ticket.KindOrganisation, Name: "thies"}] = 4
	twoObjects.Organisations = append(twoObjects.Organisations, ticket.Organisation{ID: "thies", Rate: 1, Burst: 1, Weight: 1})
	tests := []struct {
		name     string
		ticket   *ticket.Ticket
		accepted bool
		rate     fleet.Rate
	}{
		{"written against the active ticket", organisationTicket(6, 5, "dakar", 20), true, 20},
		{"lower number after a higher one", organisationTicket(4, 5, "dakar", 20), false, 10},
		{"written against an older ticket", organisationTicket(7, 1, "dakar", 20), false, 10},
		{"same number, other content", organisationTicket(5, 5, "dakar", 20), false, 10},
		{"one of two objects has changed since", twoObjects, false, 10},
		{"rate out of range", organisationTicket(8, 5, "dakar", -1), false, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := state.New()
			apply(s, ticket.RecordKind, organisationTicket(5, 0, "dakar", 10))
			apply(s, ticket.RecordKind, tt.ticket)
			verdict, known := s.VerdictOn(tt.ticket.Number, tt.ticket.Digest())
			is.True(known)
			is.Equal(verdict.Accepted, tt.accepted)
			is.True(verdict.Accepted != (verdict.RejectionReason != "")) // only a rejected ticket has a reason
			is.Equal(s.Organisations["dakar"].Value.Rate, tt.rate)
			is.Equal(len(s.Organisations), 1) // a rejected ticket changes no object
		})
	}
}

func TestOffsetGapIsNotSkipped(t *testing.T) {
	is := is.New(t)
	s := state.New()
	err := s.Apply(3, platformlog.Record{Kind: ticket.RecordKind, Body: json.RawMessage("{}")})
	_, ok := err.(*state.OrderError)
	is.True(ok)
	is.Equal(s.NextOffset, platformlog.Offset(0))
}

// TestApplyRandomRecords applies random tickets, joins, ends, claims and releases of
// competing operators and members, with repeats, and checks the invariants of every
// state. A state that is reloaded from a snapshot must develop in the same way.
func TestApplyRandomRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := state.New()
		var sent []platformlog.Record
		activeTickets := map[string]fleet.TicketNumber{}
		epochs := make([]state.Epoch, state.SlotCount)
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			record := drawRecord(t, s, sent)
			sent = append(sent, record)
			before := s.Clone()
			if err := s.Apply(s.NextOffset, record); err != nil {
				t.Fatal(err)
			}
			checkInvariants(t, s, activeTickets, epochs)
			reloaded := reload(t, before)
			if err := reloaded.Apply(reloaded.NextOffset, record); err != nil {
				t.Fatal(err)
			}
			_, want, _ := s.Marshal()
			if _, got, _ := reloaded.Marshal(); got != want {
				t.Fatalf("digest of the state reloaded from a snapshot is %s, want %s", got, want)
			}
		}
	})
}

func drawRecord(t *rapid.T, s *state.State, sent []platformlog.Record) platformlog.Record {
	if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "repeat") == 0 {
		return rapid.SampledFrom(sent).Draw(t, "record")
	}
	member := fleet.MemberID(rapid.SampledFrom([]string{"m1", "m2", "m3", "m4"}).Draw(t, "member"))
	slot := rapid.IntRange(0, 2).Draw(t, "slot")
	var kind platformlog.Kind
	var body any
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		name := rapid.SampledFrom([]string{"dakar", "thies"}).Draw(t, "organisation")
		number := fleet.TicketNumber(rapid.IntRange(1, 12).Draw(t, "number"))
		against := fleet.TicketNumber(rapid.IntRange(0, 12).Draw(t, "against"))
		if rapid.Bool().Draw(t, "read") {
			against = s.Organisations[fleet.OrganisationID(name)].Ticket
		}
		kind, body = ticket.RecordKind, organisationTicket(number, against, name, rapid.Float64Range(1, 9).Draw(t, "rate"))
	case 1:
		address := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "address")
		kind, body = state.RecordMemberJoin, state.Member{ID: member, PeerAddress: address}
	case 2:
		evidence := rapid.SampledFrom([]state.Evidence{state.EvidenceLeft, state.EvidenceRefused, state.EvidenceUnresponsive}).Draw(t, "evidence")
		kind, body = state.RecordMemberEnd, state.MemberEnd{Member: member, Evidence: evidence}
	case 3:
		kind, body = state.RecordSlotClaim, state.SlotClaim{Member: member, Slots: []state.ClaimedSlot{{Slot: slot, PreviousEpoch: s.Slots[slot].Epoch}}}
	default:
		kind, body = state.RecordSlotRelease, state.SlotRelease{Member: member, Slots: []state.ReleasedSlot{{Slot: slot, Epoch: s.Slots[slot].Epoch, Settled: rapid.Bool().Draw(t, "settled")}}}
	}
	record, err := platformlog.NewRecord("r", kind, body)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

func checkInvariants(t *rapid.T, s *state.State, activeTickets map[string]fleet.TicketNumber, epochs []state.Epoch) {
	for id, o := range s.Organisations {
		if o.Ticket < activeTickets[string(id)] {
			t.Fatalf("ticket of %s decreased from %d to %d", id, activeTickets[string(id)], o.Ticket)
		}
		activeTickets[string(id)] = o.Ticket
	}
	addresses := map[string]bool{}
	for id, m := range s.Members {
		if _, ended := s.Ended[id]; ended {
			t.Fatalf("member %s is still a member after its end", id)
		}
		if addresses[m.PeerAddress] {
			t.Fatalf("address %s belongs to two members", m.PeerAddress)
		}
		addresses[m.PeerAddress] = true
	}
	for i, slot := range s.Slots {
		if _, isMember := s.Members[slot.Holder]; slot.Holder != "" && !isMember {
			t.Fatalf("slot %d is held by %s, which is not a member", i, slot.Holder)
		}
		if slot.Epoch < epochs[i] {
			t.Fatalf("epoch of slot %d decreased from %d to %d", i, epochs[i], slot.Epoch)
		}
		epochs[i] = slot.Epoch
	}
}

func reload(t *rapid.T, s *state.State) *state.State {
	packed, digest, err := s.Pack()
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := state.Unpack(packed, digest)
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

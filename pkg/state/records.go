package state

import (
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
)

// Kinds of records in the config stream, besides tickets.
const (
	RecordMemberJoin  platformlog.Kind = "memberJoin"
	RecordMemberEnd   platformlog.Kind = "memberEnd"
	RecordSlotClaim   platformlog.Kind = "slotClaim"
	RecordSlotRelease platformlog.Kind = "slotRelease"
)

// Evidence tells how the end of a member is known. It decides how long a
// successor to its rate slots must wait.
type Evidence string

// Kinds of evidence.
const (
	// EvidenceLeft: the member said so itself, after it stopped lending.
	EvidenceLeft Evidence = "left"
	// EvidenceSettled: it gave the slot back with nothing lent out.
	EvidenceSettled Evidence = "settled"
	// EvidenceRefused: its address refuses connections; no process listens.
	EvidenceRefused Evidence = "refused"
	// EvidenceReplaced: another member listens on its address.
	EvidenceReplaced Evidence = "replaced"
	// EvidenceUnresponsive: it does not answer; it may be paused or cut off.
	EvidenceUnresponsive Evidence = "silent"
)

// Certain tells whether the evidence proves that the process has stopped.
func (e Evidence) Certain() bool { return e != EvidenceUnresponsive }

// Member is one incarnation of a node, as it announced itself.
type Member struct {
	ID         fleet.MemberID     `json:"id"`
	Instance   fleet.InstanceName `json:"instance"`
	Service    fleet.ServiceName  `json:"service"`
	DataCentre fleet.DataCentre   `json:"dataCentre"`
	Region     fleet.Region       `json:"region"`
	// PeerAddress is the IP and port of the peer face, unique among members.
	PeerAddress  string `json:"peerAddress"`
	AdminAddress string `json:"adminAddress"`
	// Slots is the upstream's own word for how many calls it runs at once.
	Slots int `json:"slots"`
}

// MemberEnd takes a member off the list.
type MemberEnd struct {
	Member     fleet.MemberID `json:"member"`
	Evidence   Evidence       `json:"evidence"`
	ReportedBy fleet.MemberID `json:"witness"`
}

// SlotClaim takes rate slots for a member. Each slot is decided on its own.
type SlotClaim struct {
	Member fleet.MemberID `json:"member"`
	Slots  []ClaimedSlot  `json:"slots"`
}

// Empty tells whether the claim names no slot.
func (c SlotClaim) Empty() bool { return len(c.Slots) == 0 }

// ClaimedSlot names a slot and the epoch that the claim follows.
type ClaimedSlot struct {
	Slot          int   `json:"slot"`
	PreviousEpoch Epoch `json:"after"`
}

// SlotRelease gives rate slots back after the holder stopped lending from them.
type SlotRelease struct {
	Member fleet.MemberID `json:"member"`
	Slots  []ReleasedSlot `json:"slots"`
}

// Empty tells whether the release names no slot.
func (r SlotRelease) Empty() bool { return len(r.Slots) == 0 }

// ReleasedSlot names a slot and the epoch that ends.
type ReleasedSlot struct {
	Slot  int   `json:"slot"`
	Epoch Epoch `json:"epoch"`
	// Settled tells that nothing was lent out when the holder stopped.
	Settled bool `json:"settled"`
	// IdleMs is for how many milliseconds, up to then, nothing was lent out.
	IdleMs int64 `json:"restMs,omitempty"`
}

package state

import (
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
)

// Kinds of records in the config stream other than tickets.
const (
	RecordMemberJoin  platformlog.Kind = "memberJoin"
	RecordMemberEnd   platformlog.Kind = "memberEnd"
	RecordSlotClaim   platformlog.Kind = "slotClaim"
	RecordSlotRelease platformlog.Kind = "slotRelease"
)

// Evidence is how a member is known to have ended or to have released a rate slot.
// It determines how long the next holder of the slot must wait.
type Evidence string

// Kinds of evidence.
const (
	// EvidenceLeft means that the member itself recorded its end or release,
	// after it had stopped granting tokens.
	EvidenceLeft Evidence = "left"
	// EvidenceSettled means that the member released the slot with no tokens
	// outstanding.
	EvidenceSettled Evidence = "settled"
	// EvidenceRefused means that the address of the member refuses connections, so
	// that no process listens there.
	EvidenceRefused Evidence = "refused"
	// EvidenceReplaced means that another member listens on its address.
	EvidenceReplaced Evidence = "replaced"
	// EvidenceUnresponsive means that the member does not respond. It may be paused
	// or separated by a network partition.
	EvidenceUnresponsive Evidence = "silent"
)

// Certain reports whether the evidence proves that the member no longer grants
// tokens. An unresponsive member may still do so.
func (e Evidence) Certain() bool { return e != EvidenceUnresponsive }

// Member describes one incarnation of a node, as announced by the node.
type Member struct {
	ID         fleet.MemberID     `json:"id"`
	Instance   fleet.InstanceName `json:"instance"`
	Service    fleet.ServiceName  `json:"service"`
	DataCentre fleet.DataCentre   `json:"dataCentre"`
	Region     fleet.Region       `json:"region"`
	// PeerAddress is the IP address and port of the peer API. It is unique among
	// members.
	PeerAddress  string `json:"peerAddress"`
	AdminAddress string `json:"adminAddress"`
	// Slots is the number of calls that the upstream says it executes at once.
	Slots int `json:"slots"`
}

// MemberEnd removes a member from the list of members.
type MemberEnd struct {
	Member     fleet.MemberID `json:"member"`
	Evidence   Evidence       `json:"evidence"`
	ReportedBy fleet.MemberID `json:"witness"`
}

// SlotClaim claims rate slots for a member. Each slot is granted or denied
// independently of the others.
type SlotClaim struct {
	Member fleet.MemberID `json:"member"`
	Slots  []ClaimedSlot  `json:"slots"`
}

// Empty reports whether the claim contains no slots.
func (c SlotClaim) Empty() bool { return len(c.Slots) == 0 }

// ClaimedSlot is a slot and its epoch before the claim. The claim is denied if the
// slot has a different epoch by then.
type ClaimedSlot struct {
	Slot          int   `json:"slot"`
	PreviousEpoch Epoch `json:"after"`
}

// SlotRelease releases rate slots after their holder has stopped granting tokens
// from them.
type SlotRelease struct {
	Member fleet.MemberID `json:"member"`
	Slots  []ReleasedSlot `json:"slots"`
}

// Empty reports whether the release contains no slots.
func (r SlotRelease) Empty() bool { return len(r.Slots) == 0 }

// ReleasedSlot is a slot and the epoch that ends.
type ReleasedSlot struct {
	Slot  int   `json:"slot"`
	Epoch Epoch `json:"epoch"`
	// Settled is true if no tokens were outstanding when the holder stopped.
	Settled bool `json:"settled"`
	// IdleMs is how many milliseconds, up to that moment, no tokens had been
	// outstanding.
	IdleMs int64 `json:"restMs,omitempty"`
}

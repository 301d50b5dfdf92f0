package rate

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// fleetBucket is the most that an organisation may start anywhere, as if all its calls
// entered at one node. A call above it is over the rate, whoever holds the slots.
// The zero value starts full.
type fleetBucket struct {
	ticket   fleet.TicketNumber
	level    fleet.Tokens
	refilled time.Time
}

// take counts a call and tells whether it may still be within the rate.
func (b *fleetBucket) take(o *ticket.Organisation, ticketNumber fleet.TicketNumber, now time.Time) bool {
	if b.ticket != ticketNumber {
		*b = fleetBucket{ticket: ticketNumber, level: o.Burst, refilled: now}
	}
	b.level = min(b.level+o.Rate.TokensIn(now.Sub(b.refilled)), o.Burst)
	b.refilled = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

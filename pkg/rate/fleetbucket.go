package rate

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// fleetBucket is a token bucket with the whole rate and burst of an organisation, as if
// all its calls entered at this node. A call that exceeds it is over the rate, whatever
// the state of the slots. The zero value starts full.
type fleetBucket struct {
	ticket   fleet.TicketNumber
	level    fleet.Tokens
	refilled time.Time
}

// take takes a token for a call and reports whether there was one. If the ticket that
// set the limits has changed, the bucket is filled first.
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

package rate

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// ceiling is the most that an organisation may start anywhere, as if all its calls
// entered at one node. A call above it is over the rate, whoever holds the slots.
// The zero value starts full.
type ceiling struct {
	ticket  fleet.TicketNumber
	level   fleet.Tokens
	updated time.Time
}

// take counts a call and tells whether it may still be within the rate.
func (c *ceiling) take(o *ticket.Organisation, set fleet.TicketNumber, now time.Time) bool {
	if c.ticket != set {
		*c = ceiling{ticket: set, level: o.Burst, updated: now}
	}
	c.level = min(c.level+o.Rate.TokensIn(now.Sub(c.updated)), o.Burst)
	c.updated = now
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}

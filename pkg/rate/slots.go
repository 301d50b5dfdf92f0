// Package rate limits the calls of every organisation to its rate and burst across
// the fleet. The limits of an organisation are divided equally among a set of rate
// slots. Members claim slots through the log, and the holder of a slot grants whole
// tokens for a short term to the nodes where calls enter. A token is never in two
// places: the holder deducts tokens before it replies, and if the reply is lost, they
// count as used until the term of the grant has expired on every clock.
package rate

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

const (
	// minTokensPerSlot is the smallest burst, in tokens, that an organisation has in
	// one slot, unless its whole burst is smaller.
	minTokensPerSlot = 4
	// grantTerm is how long a node may use a grant, counted from before it sent the
	// request.
	grantTerm = 2 * time.Second
	// clockMargin compensates for clocks that run at different speeds.
	clockMargin = 200 * time.Millisecond
	// startWindow is how long a call may start after its token was taken.
	startWindow = 250 * time.Millisecond
	// actionStartWindow is the start window of actions, which may wait longer in the
	// queue of an instance than other calls.
	actionStartWindow = time.Second
	// maxIdleTime is the longest idle time of a slot that is passed to its next
	// holder.
	maxIdleTime = 10 * time.Second
	// DefaultLease is how long the holder of a slot may grant tokens without having
	// read the log. The next holder waits for the same time after an unresponsive
	// one.
	DefaultLease = time.Hour
)

// preferredSlots returns the slots of an organisation in the order in which a member
// uses them. The order differs between members, to spread their requests.
func preferredSlots(o *ticket.Organisation, member fleet.MemberID) []int {
	return sortByScore(assignedSlots(o), func(slot int) uint64 { return fleet.RendezvousScore(strconv.Itoa(slot), member) })
}

// assignedSlots returns the slots of an organisation: as many as leave a burst of
// minTokensPerSlot in each, chosen by rendezvous hashing. It sorts all slots, so
// callers should cache the result.
func assignedSlots(o *ticket.Organisation) []int {
	count := min(max(int(o.Burst/minTokensPerSlot), 1), state.SlotCount)
	all := make([]int, state.SlotCount)
	for i := range all {
		all[i] = i
	}
	key := fleet.MemberID(o.ID)
	return sortByScore(all, func(slot int) uint64 { return fleet.RendezvousScore(strconv.Itoa(slot), key) })[:count]
}

// sortByScore sorts slots in place by descending score, and returns them.
func sortByScore(slots []int, score func(slot int) uint64) []int {
	var scores [state.SlotCount]uint64
	for _, slot := range slots {
		scores[slot] = score(slot)
	}
	slices.SortFunc(slots, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return slots
}

// share is the part of an organisation's rate and burst that one slot has.
type share struct {
	rate  fleet.Rate
	burst fleet.Tokens
}

// shareOf returns the share of a slot in an organisation with the given assigned slots.
// It is zero if the slot is not assigned.
func shareOf(o *ticket.Organisation, assigned []int, slot int) share {
	if !slices.Contains(assigned, slot) {
		return share{}
	}
	n := len(assigned)
	return share{rate: o.Rate / fleet.Rate(n), burst: o.Burst / fleet.Tokens(n)}
}

// Package rate keeps every organisation within its rate and burst over the
// whole fleet. Rate slots, held by members through the log, each carry an equal
// part of an organisation's rate and burst; the holder of a slot lends whole
// tokens for a short term to the nodes where calls enter. An amount is in one
// place at a time: a lender deducts before it answers, and what is lost on the
// way is lost until the loan's term has surely passed.
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
	// minTokensPerSlot is the least burst, in tokens, that a slot carries, unless
	// the organisation has less in all.
	minTokensPerSlot = 4
	// grantTerm is how long a borrower may use a loan, from before it asked.
	grantTerm = 2 * time.Second
	// clockMargin covers clocks that run at different speeds.
	clockMargin = 200 * time.Millisecond
	// startWindow is how long after its token was taken a call may start.
	startWindow = 250 * time.Millisecond
	// actionStartWindow is the same for actions, which may wait longer for a
	// place than other calls.
	actionStartWindow = time.Second
	// maxIdleTime is the longest rest of a slot that is told to its next holder.
	maxIdleTime = 10 * time.Second
	// DefaultLease is how long a slot's holder may lend without having read
	// the log, and how long a successor waits after a silent end.
	DefaultLease = time.Hour
)

// preferredSlots returns the slots that carry an organisation, ordered by the node
// that asks, so that different nodes prefer different ones.
func preferredSlots(o *ticket.Organisation, member fleet.MemberID) []int {
	return sortByScore(assignedSlots(o), func(slot int) uint64 { return fleet.RendezvousScore(strconv.Itoa(slot), member) })
}

// assignedSlots returns the slots that carry an organisation: as many as keep
// burstPerSlot in each, chosen by rendezvous hashing. It ranks all slots, so its
// result is worth keeping.
func assignedSlots(o *ticket.Organisation) []int {
	count := min(max(int(o.Burst/minTokensPerSlot), 1), state.SlotCount)
	all := make([]int, state.SlotCount)
	for i := range all {
		all[i] = i
	}
	key := fleet.MemberID(o.ID)
	return sortByScore(all, func(slot int) uint64 { return fleet.RendezvousScore(strconv.Itoa(slot), key) })[:count]
}

// sortByScore sorts slots by score, highest first.
func sortByScore(slots []int, score func(slot int) uint64) []int {
	var scores [state.SlotCount]uint64
	for _, slot := range slots {
		scores[slot] = score(slot)
	}
	slices.SortFunc(slots, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return slots
}

// share is what one slot carries of an organisation.
type share struct {
	rate  fleet.Rate
	burst fleet.Tokens
}

// shareOf returns what a slot carries of an organisation with the given carriers;
// nothing where the slot is none of them.
func shareOf(o *ticket.Organisation, assigned []int, slot int) share {
	if !slices.Contains(assigned, slot) {
		return share{}
	}
	n := len(assigned)
	return share{rate: o.Rate / fleet.Rate(n), burst: o.Burst / fleet.Tokens(n)}
}

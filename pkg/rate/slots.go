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
	// burstPerSlot is the least burst, in tokens, that a slot carries, unless
	// the organisation has less in all.
	burstPerSlot = 4
	// loanTerm is how long a borrower may use a loan, from before it asked.
	loanTerm = 2 * time.Second
	// clockMargin covers clocks that run at different speeds.
	clockMargin = 200 * time.Millisecond
	// startWindow is how long after its token was taken a call may start.
	startWindow = 250 * time.Millisecond
	// actionStartWindow is the same for actions, which may wait longer for a
	// place than other calls.
	actionStartWindow = time.Second
	// longRest is the longest rest of a slot that is told to its next holder.
	longRest = 10 * time.Second
	// DefaultLease is how long a slot's holder may lend without having read
	// the log, and how long a successor waits after a silent end.
	DefaultLease = time.Hour
)

// slotsOf returns the slots that carry an organisation, ordered by the node
// that asks, so that different nodes prefer different ones.
func slotsOf(o *ticket.Organisation, asker fleet.MemberID) []int {
	return ranked(carriers(o), func(slot int) uint64 { return fleet.RendezvousScore(strconv.Itoa(slot), asker) })
}

// carriers returns the slots that carry an organisation: as many as keep
// burstPerSlot in each, chosen by rendezvous hashing. It ranks all slots, so its
// result is worth keeping.
func carriers(o *ticket.Organisation) []int {
	count := min(max(int(o.Burst/burstPerSlot), 1), state.SlotCount)
	all := make([]int, state.SlotCount)
	for i := range all {
		all[i] = i
	}
	owner := fleet.MemberID(o.ID)
	return ranked(all, func(slot int) uint64 { return fleet.RendezvousScore(strconv.Itoa(slot), owner) })[:count]
}

// ranked sorts slots by score, highest first.
func ranked(slots []int, score func(slot int) uint64) []int {
	var scores [state.SlotCount]uint64
	for _, slot := range slots {
		scores[slot] = score(slot)
	}
	slices.SortFunc(slots, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return slots
}

// part is what one slot carries of an organisation.
type part struct {
	rate  fleet.Rate
	burst fleet.Tokens
}

// partOf returns what a slot carries of an organisation with the given carriers;
// nothing where the slot is none of them.
func partOf(o *ticket.Organisation, carriers []int, slot int) part {
	if !slices.Contains(carriers, slot) {
		return part{}
	}
	n := len(carriers)
	return part{rate: o.Rate / fleet.Rate(n), burst: o.Burst / fleet.Tokens(n)}
}

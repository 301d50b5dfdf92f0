package rate

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
)

// ownership is one slot held by this node.
type ownership struct {
	epoch state.Epoch
	// grantsFrom is when all loans of earlier tenures have surely expired.
	grantsFrom time.Time
	// idleSince is since when nothing is lent out, but for what the buckets say.
	// It is not after opens.
	idleSince time.Time
	// released never goes back to false.
	released bool
	buckets  map[fleet.OrganisationID]*bucket
}

// newOwnership returns the tenure of a slot that this node has come to hold now.
func newOwnership(slot state.Slot, now time.Time, lease time.Duration) *ownership {
	grantsFrom := now.Add(handoverDelay(slot.PreviousEnd, lease))
	idleTime := time.Duration(slot.IdleMs) * time.Millisecond
	if slot.PreviousEnd == "" {
		idleTime = maxIdleTime // the first tenure of all: nothing was ever lent
	}
	return &ownership{epoch: slot.Epoch, grantsFrom: grantsFrom, idleSince: grantsFrom.Add(-idleTime), buckets: map[fleet.OrganisationID]*bucket{}}
}

// handoverDelay returns how long a successor waits until the loans of the earlier
// tenure have surely expired.
func handoverDelay(previousEnd state.Evidence, lease time.Duration) time.Duration {
	switch {
	case previousEnd == "", previousEnd == state.EvidenceSettled:
		return 0
	case previousEnd.Certain():
		return grantTerm + clockMargin
	default:
		return lease + grantTerm + 2*clockMargin
	}
}

// settled tells whether nothing is lent out.
func (o *ownership) settled(now time.Time) bool {
	for _, b := range o.buckets {
		b.refill(now)
		if b.outstanding > roundingTolerance {
			return false
		}
	}
	return true
}

// idleTime returns for how long nothing has been lent out, at most longRest.
func (o *ownership) idleTime(now time.Time) time.Duration {
	since := o.idleSince
	for _, b := range o.buckets {
		if b.lastChange.After(since) {
			since = b.lastChange
		}
	}
	return max(min(now.Sub(since), maxIdleTime), 0)
}

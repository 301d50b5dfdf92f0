package rate

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
)

// ownership is a period in which this node holds one slot.
type ownership struct {
	epoch state.Epoch
	// grantsFrom is the time from which all grants of earlier ownership periods have
	// expired on every clock. No tokens are granted before.
	grantsFrom time.Time
	// idleSince is the time since which no tokens of earlier ownership periods have
	// been outstanding. It is not after grantsFrom.
	idleSince time.Time
	// released is set when the release of the slot is prepared, and is never reset.
	released bool
	// buckets holds the bucket of each organisation that was used in this period.
	buckets map[fleet.OrganisationID]*bucket
}

// newOwnership returns the ownership of a slot that this node has just acquired.
func newOwnership(slot state.Slot, now time.Time, lease time.Duration) *ownership {
	grantsFrom := now.Add(handoverDelay(slot.PreviousEnd, lease))
	idleTime := time.Duration(slot.IdleMs) * time.Millisecond
	if slot.PreviousEnd == "" {
		idleTime = maxIdleTime // the slot has no earlier holder, so nothing was ever granted
	}
	return &ownership{epoch: slot.Epoch, grantsFrom: grantsFrom, idleSince: grantsFrom.Add(-idleTime), buckets: map[fleet.OrganisationID]*bucket{}}
}

// handoverDelay returns how long the next holder of a slot waits until the grants of
// the previous holder have expired on every clock.
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

// settled reports whether no tokens are outstanding.
func (o *ownership) settled(now time.Time) bool {
	for _, b := range o.buckets {
		b.refill(now)
		if b.outstanding > roundingTolerance {
			return false
		}
	}
	return true
}

// idleTime returns for how long no tokens have been outstanding, at most maxIdleTime.
func (o *ownership) idleTime(now time.Time) time.Duration {
	since := o.idleSince
	for _, b := range o.buckets {
		if b.lastChange.After(since) {
			since = b.lastChange
		}
	}
	return max(min(now.Sub(since), maxIdleTime), 0)
}

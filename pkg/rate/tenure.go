package rate

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
)

// tenure is one slot held by this node.
type tenure struct {
	epoch state.Epoch
	// opens is when all loans of earlier tenures have surely expired.
	opens time.Time
	// rested is since when nothing is lent out, but for what the buckets say.
	// It is not after opens.
	rested time.Time
	// dropped never goes back to false.
	dropped bool
	buckets map[fleet.OrganisationID]*bucket
}

// newTenure returns the tenure of a slot that this node has come to hold now.
func newTenure(slot state.Slot, now time.Time, lease time.Duration) *tenure {
	opens := now.Add(handover(slot.PreviousEnd, lease))
	rest := time.Duration(slot.IdleMs) * time.Millisecond
	if slot.PreviousEnd == "" {
		rest = longRest // the first tenure of all: nothing was ever lent
	}
	return &tenure{epoch: slot.Epoch, opens: opens, rested: opens.Add(-rest), buckets: map[fleet.OrganisationID]*bucket{}}
}

// handover returns how long a successor waits until the loans of the earlier
// tenure have surely expired.
func handover(before state.Evidence, lease time.Duration) time.Duration {
	switch {
	case before == "", before == state.EvidenceSettled:
		return 0
	case before.Certain():
		return loanTerm + clockMargin
	default:
		return lease + loanTerm + 2*clockMargin
	}
}

// settled tells whether nothing is lent out.
func (t *tenure) settled(now time.Time) bool {
	for _, b := range t.buckets {
		b.refill(now)
		if b.outstanding > epsilon {
			return false
		}
	}
	return true
}

// rest returns for how long nothing has been lent out, at most longRest.
func (t *tenure) rest(now time.Time) time.Duration {
	since := t.rested
	for _, b := range t.buckets {
		if b.touched.After(since) {
			since = b.touched
		}
	}
	return max(min(now.Sub(since), longRest), 0)
}

package gate

import (
	"context"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// admit waits until the rate limit of the instance permits the call, and for a slot. It
// returns a nil outcome once the call holds a slot, or the outcome of a rejected call,
// together with the time of that decision.
func (g *Gate) admit(ctx context.Context, run *linkrpc.Run, arrived time.Time) (*linkrpc.Outcome, time.Time) {
	if ctx.Err() != nil {
		return g.unsentOutcome(ctx), arrived
	}
	if reason := g.rejectionReason(run); reason != linkrpc.Reason_REASON_NONE {
		return NotRunOutcome(reason), arrived
	}
	maxWait := time.Duration(min(run.PatienceUs, run.RemainingUs)) * time.Microsecond
	g.limit.adopt(run.KnownRateLimit)
	paceTime, reserved := g.limit.reserve(arrived, maxWait)
	if !reserved {
		return NotRunOutcome(linkrpc.Reason_REASON_FULL), arrived
	}
	outcome := g.awaitSlot(ctx, run, arrived, paceTime, maxWait)
	if outcome != nil {
		g.limit.giveBack()
	}
	return outcome, g.Clock.Now()
}

// awaitSlot waits for paceTime and then for a slot, maxWait in all. It returns a nil
// outcome once the call holds a slot.
func (g *Gate) awaitSlot(ctx context.Context, run *linkrpc.Run, arrived time.Time, paceTime, maxWait time.Duration) *linkrpc.Outcome {
	paced := paceTime <= 0 || clock.Sleep(ctx, g.Clock, paceTime) == nil
	g.limit.arrive()
	if !paced {
		return g.unsentOutcome(ctx)
	}
	switch g.Slots.Acquire(ctx, waitqueue.RankOf(arrived, maxWait, run.Priority), maxWait-paceTime) {
	case waitqueue.VerdictFull:
		return NotRunOutcome(linkrpc.Reason_REASON_FULL)
	case waitqueue.VerdictClosed:
		return NotRunOutcome(linkrpc.Reason_REASON_CLOSED)
	case waitqueue.VerdictCancelled:
		return g.unsentOutcome(ctx)
	}
	// The configuration or the instance may have changed while the call waited.
	if reason := g.rejectionReason(run); reason != linkrpc.Reason_REASON_NONE {
		g.Slots.Release(0)
		return NotRunOutcome(reason)
	}
	return nil
}

// rejectionReason returns why a call must not run here, or REASON_NONE.
func (g *Gate) rejectionReason(run *linkrpc.Run) linkrpc.Reason {
	local := g.local.Load()
	switch {
	case len(run.Headers)%2 != 0:
		return linkrpc.Reason_REASON_BROKEN
	case !g.IsOpen(), g.OutOfDate != nil && g.OutOfDate():
		return linkrpc.Reason_REASON_CLOSED
	case string(local.Service) != run.Service, run.Instance != "" && string(local.ID) != run.Instance:
		return linkrpc.Reason_REASON_NOT_HERE
	case !g.allowedByConfig(run):
		return linkrpc.Reason_REASON_STALE
	}
	return linkrpc.Reason_REASON_NONE
}

// allowedByConfig reports whether the active configuration permits a call that its
// entrance accepted with an older one.
func (g *Gate) allowedByConfig(run *linkrpc.Run) bool {
	view := g.View()
	if view == nil || uint64(view.Version) <= run.ConfigVersion {
		return true
	}
	path := pathOf(link.DecodeText(run.Target))
	route := view.Lookup(link.DecodeText(run.Host), path)
	if route == nil || !route.RoutesTo(fleet.ServiceName(run.Service)) {
		return false
	}
	if !routing.Permits(route, view.Organisation(fleet.OrganisationID(run.Organisation)), g.Region) {
		return false
	}
	if !view.NeedsKey(route) {
		return true
	}
	if len(run.Key) != len(routing.KeyDigest{}) {
		return false
	}
	holder := view.OrganisationByKey(routing.KeyDigest(run.Key))
	return holder != nil && string(holder.ID) == run.Organisation
}

func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

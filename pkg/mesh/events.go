package mesh

import (
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Kinds of logged events.
const (
	eventPartialAdmission logs.EventKind = "classes admitted in part"
	eventAnswered         logs.EventKind = "request answered"
	eventFailed           logs.EventKind = "request failed at the instance"
	eventRefused          logs.EventKind = "request refused"
	eventLost             logs.EventKind = "request lost"
	eventNotExecuted      logs.EventKind = "call handed back"
	eventExecutionLost    logs.EventKind = "call lost at the instance"
	// eventBorrowFailed and eventMessageUnreadable concern messages between nodes.
	eventBorrowFailed      logs.EventKind = "peer not asked for tokens"
	eventMessageUnreadable logs.EventKind = "message of a peer cannot be read"
)

// onFinished logs and meters a request that has ended at this node's entrance.
func (n *Node) onFinished(r *entrance.Request, status int, _ *linkrpc.Outcome, rejection *problem.Error) {
	kind := eventAnswered
	switch {
	case rejection != nil && rejection.Execution == problem.NotExecuted:
		kind = eventRefused
	case rejection != nil:
		kind = eventLost
	case status >= 500:
		kind = eventFailed
	}
	now := n.clock.Now()
	n.events.Log(kind, func() logrus.Fields {
		f := logrus.Fields{"request": r.ID, "status": status, "tookMs": milliseconds(now.Sub(r.Arrived)), "placements": r.Dispatches, "inner": r.Inner}
		if r.View != nil {
			f["configVersion"] = r.View.Version
		}
		if r.Route != nil {
			f["route"] = r.Route.Name
			f["classPart"] = r.AdmittedFraction
			f["leftMs"] = milliseconds(r.Deadline.Sub(now))
		}
		if r.Organisation != nil {
			f["organisation"] = r.Organisation.ID
		}
		if rejection != nil {
			f["reason"], f["detail"], f["run"] = rejection.Kind, rejection.Detail, rejection.Execution
			f["retryAfterMs"] = milliseconds(rejection.RetryAfter)
		}
		if age, known := n.configFollower.Age(); known {
			f["configAgeMs"] = milliseconds(age)
		}
		if n.stopping.Load() {
			f["sinceStopMs"] = milliseconds(n.sinceStop())
			f["connIdleMs"], f["connRequests"] = milliseconds(r.Connection.Idle), r.Connection.Requests
		}
		return f
	})
	n.meterRequest(r, status, rejection, now)
}

// logStop logs a step of the stop with the work that is left.
func (n *Node) logStop(step string) {
	conns := n.callerConns.Counts()
	n.logger.WithFields(logrus.Fields{
		"sinceStopMs": milliseconds(n.sinceStop()), "requests": n.entrance.InFlight(), "runs": n.gate.Slots.Load().InFlight,
		"busyConns": conns.Busy, "idleConns": conns.Idle, "unusedConns": conns.Unused, "droppedRequests": conns.Dropped,
	}).Info(step)
}

// sinceStop returns the time since the signal to stop.
func (n *Node) sinceStop() time.Duration {
	return clock.MonotonicOf(n.clock.Now()).Sub(clock.Monotonic(n.stopStartedAt.Load()))
}

func (n *Node) meterRequest(r *entrance.Request, status int, rejection *problem.Error, now time.Time) {
	var organisation fleet.OrganisationID
	if r.Organisation != nil {
		organisation = r.Organisation.ID
	}
	class := fleet.ClassNormal
	if r.Inner {
		class = fleet.ClassHigh
	}
	if rejection != nil {
		n.meter.ObserveRefusal(organisation, class, rejection.Kind)
		return
	}
	n.meter.ObserveResponse(organisation, class, status, now.Sub(r.Arrived))
}

// onDecided meters the gate's outcome of a call, and logs it unless the instance
// answered. cause is nil if no error occurred.
func (n *Node) onDecided(call *linkrpc.Run, outcome *linkrpc.Outcome, waitTime, executionTime time.Duration, cause error) {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		n.heartbeats.MarkUnreachable()
	}
	n.meter.ObserveDecision(outcomeLabel(outcome), waitTime)
	if outcome.Fate == linkrpc.Fate_FATE_ANSWERED {
		n.demand.ObserveSlotTime(routing.RouteName(call.Route), executionTime)
		return
	}
	kind := eventNotExecuted
	if outcome.Fate == linkrpc.Fate_FATE_LOST {
		kind = eventExecutionLost
	}
	n.events.Log(kind, func() logrus.Fields {
		load := n.gate.Slots.Load()
		f := logrus.Fields{
			"request": call.Request, "route": call.Route, "inner": call.Inner, "reason": outcome.Reason.String(), "waitedMs": milliseconds(waitTime),
			"ranMs": milliseconds(executionTime), "inFlight": load.InFlight, "limit": load.Limit, "queued": load.Queued, "runMs": milliseconds(load.MeanSlotTime),
		}
		if cause != nil {
			f["cause"] = cause.Error()
		}
		return f
	})
}

// onBorrowFailed logs a failed request for tokens to a peer. No tokens are added to
// the local limiter in that case.
func (n *Node) onBorrowFailed(r *entrance.Request, peer *peering.Peer, err error) {
	n.events.Log(eventBorrowFailed, func() logrus.Fields {
		return logrus.Fields{"request": r.ID, "organisation": r.Organisation.ID, "peer": peer.Node, "error": err.Error()}
	})
}

// logUnreadable logs a message of a peer that cannot be decoded.
func (n *Node) logUnreadable(subject string, err error) {
	n.events.Log(eventMessageUnreadable, func() logrus.Fields { return logrus.Fields{"what": subject, "error": err.Error()} })
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

package mesh

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/recovery"
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
	eventRateLimit        logs.EventKind = "instance names another rate limit"
	eventColdCheckFailed  logs.EventKind = "health check does not tell whether the instance is cold"
	eventPace             logs.EventKind = "pace of the instance changed"
	eventPanic            logs.EventKind = "panic"
	eventBodyDiscarded    logs.EventKind = "body of a peer discarded"
	eventNotAccepted      logs.EventKind = "connection not accepted"
	eventConnClosed       logs.EventKind = "connection closed"
	eventRepeatedID       logs.EventKind = "request id sent to the instance again"
	eventForeignAnswer    logs.EventKind = "gate returned the answer to another request"
	eventStray            logs.EventKind = "response of the instance belongs to no call"
	eventJoined           logs.EventKind = "response of the instance goes on with another"
	// eventAnsweredAgain is logged in place of eventAnswered and eventFailed.
	eventAnsweredAgain logs.EventKind = "request answered after a lost answer"
	// eventBorrowFailed, eventMessageUnreadable and eventMessageUnencodable concern messages
	// between nodes.
	eventBorrowFailed       logs.EventKind = "peer not asked for tokens"
	eventMessageUnreadable  logs.EventKind = "message of a peer cannot be read"
	eventMessageUnencodable logs.EventKind = "message to a peer cannot be encoded"
)

// onFinished logs and meters a request that has ended at this node's entrance.
func (n *Node) onFinished(r *entrance.Request, status int, _ *linkrpc.Outcome, rejection *problem.Error) {
	n.noteOutgoing(r, status, rejection)
	kind := eventAnswered
	switch {
	case rejection != nil && rejection.Execution == problem.NotExecuted:
		kind = eventRefused
	case rejection != nil:
		kind = eventLost
	case r.ResponseLost:
		kind = eventAnsweredAgain
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
		if rejection == nil {
			f["answeredBy"], f["queried"] = r.SentTo, r.Queried
		}
		if r.Organisation != nil {
			f["organisation"] = r.Organisation.ID
		}
		if rejection != nil {
			if r.Route != nil && n.callerBodies.Used() > 0 {
				f["bodyBytes"], f["bodyBytesLimit"] = n.callerBodies.Used(), n.callerBodies.Limit
			}
			f["reason"], f["detail"], f["run"] = rejection.Kind, rejection.Detail, rejection.Execution
			f["retryAfterMs"] = milliseconds(rejection.RetryAfter)
		}
		if age, known := n.configFollower.Age(); known {
			f["configAgeMs"] = milliseconds(age)
		}
		if r.CallerLeft {
			f["closeUnread"], f["schedDelayMs"] = r.CloseUnread, milliseconds(n.processor.Delay())
			if !r.FirstSent.IsZero() {
				f["sentMs"] = milliseconds(r.FirstSent.Sub(r.Arrived))
			}
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
	if r.CallerLeft {
		n.meter.CountAbandoned("entrance", stageOf(!r.FirstSent.IsZero(), false))
	}
	if rejection != nil {
		n.meter.ObserveRefusal(organisation, class, rejection.Kind)
		return
	}
	n.meter.ObserveResponse(organisation, class, status, now.Sub(r.Arrived))
}

// onDecided meters the gate's outcome of a call, and logs it unless the instance
// answered.
func (n *Node) onDecided(d *gate.Decision) {
	var panicked *recovery.PanicError
	if errors.As(d.Cause, &panicked) {
		n.onPanic(panicked)
	}
	if errors.Is(d.Cause, syscall.ECONNREFUSED) {
		n.heartbeats.MarkUnreachable()
	}
	n.meter.ObserveDecision(outcomeLabel(d.Outcome), d.Waited)
	if !d.CancelledAt.IsZero() {
		n.meter.CountAbandoned("gate", stageOf(!d.SentAt.IsZero(), d.SentCancelled()))
	}
	if d.Outcome.Fate == linkrpc.Fate_FATE_ANSWERED {
		n.demand.ObserveSlotTime(routing.RouteName(d.Run.Route), d.Ran)
		return
	}
	kind := eventNotExecuted
	if d.Outcome.Fate == linkrpc.Fate_FATE_LOST {
		kind = eventExecutionLost
	}
	n.events.Log(kind, func() logrus.Fields { return n.decisionFields(d) })
}

func (n *Node) decisionFields(d *gate.Decision) logrus.Fields {
	load := n.gate.Slots.Load()
	f := logrus.Fields{
		"rateLimitPerS": n.gate.Pace(), "request": link.DecodeText(d.Run.Request), "route": d.Run.Route, "inner": d.Run.Inner, "reason": d.Outcome.Reason.String(), "waitedMs": milliseconds(d.Waited),
		"ranMs": milliseconds(d.Ran), "inFlight": load.InFlight, "limit": load.Limit, "queued": load.Queued, "runMs": milliseconds(load.MeanSlotTime),
		"schedDelayMs": milliseconds(n.processor.Delay()),
	}
	if d.Cause != nil {
		f["cause"] = d.Cause.Error()
	}
	if !d.SentAt.IsZero() {
		f["sentMs"] = milliseconds(d.SentAt.Sub(d.Arrived))
	}
	if !d.CancelledAt.IsZero() {
		f["cancelledMs"] = milliseconds(d.CancelledAt.Sub(d.Arrived))
	}
	return f
}

// onRateLimit logs a rate limit that the local instance names, or one that cannot be read.
func (n *Node) onRateLimit(a instance.Announcement, rate float64) {
	n.events.Log(eventRateLimit, func() logrus.Fields {
		f := logrus.Fields{"id": a.Instance, "request": a.RequestID, "ratePerS": rate, "limited": a.Limited}
		if a.Err != nil {
			f["error"] = a.Err.Error()
		}
		return f
	})
}

// onBodyDiscarded logs a call that is handed back as the gate has no memory for its body.
func (n *Node) onBodyDiscarded() {
	n.events.Log(eventBodyDiscarded, func() logrus.Fields {
		return logrus.Fields{"bodyBytes": n.peerBodies.Used(), "bodyBytesLimit": n.peerBodies.Limit}
	})
}

// onPanic logs and counts a piece of work that panicked.
func (n *Node) onPanic(err error) {
	n.panicCount.Add(1)
	n.meter.CountPanic()
	n.events.Log(eventPanic, func() logrus.Fields {
		f := logrus.Fields{"error": err.Error()}
		var panicked *recovery.PanicError
		if errors.As(err, &panicked) {
			f["stack"] = string(panicked.Stack)
		}
		return f
	})
}

// guarded returns a piece of work that goes on with its next turn if it panics.
func (n *Node) guarded(work string, do func()) func(context.Context) {
	return func(context.Context) {
		if err := recovery.Run(work, do); err != nil {
			n.onPanic(err)
		}
	}
}

// guardHandler ends the connection of a request in whose handling the node panics.
func (n *Node) guardHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			value := recover()
			if value == nil {
				return
			}
			if value != http.ErrAbortHandler {
				n.onPanic(recovery.NewPanicError("a request", value))
			}
			panic(http.ErrAbortHandler)
		}()
		next.ServeHTTP(w, r)
	})
}

// stageOf returns the value of the label stage of a request whose caller left: whether
// it was sent on, and whether the caller had left before that.
func stageOf(sent, leftBeforeSend bool) string {
	switch {
	case leftBeforeSend:
		return "sent_after"
	case sent:
		return "sent_before"
	}
	return "not_sent"
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

// logUnencodable logs a message to a peer that cannot be encoded.
func (n *Node) logUnencodable(err error) {
	n.events.Log(eventMessageUnencodable, func() logrus.Fields { return logrus.Fields{"error": err.Error()} })
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

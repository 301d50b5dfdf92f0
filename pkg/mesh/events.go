package mesh

import (
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// Kinds of events that touch a request.
const (
	eventPlan    logs.EventKind = "classes admitted in part"
	eventServed  logs.EventKind = "request answered"
	eventFailed  logs.EventKind = "request failed at the instance"
	eventRefused logs.EventKind = "request refused"
	eventLost    logs.EventKind = "request lost"
	eventNotRun  logs.EventKind = "call handed back"
	eventBroken  logs.EventKind = "call lost at the instance"
	// eventNotLent and eventUnreadable tell of messages between nodes.
	eventNotLent    logs.EventKind = "peer not asked for tokens"
	eventUnreadable logs.EventKind = "message of a peer cannot be read"
)

// finished logs and counts the end of a request at its entrance.
func (n *Node) finished(r *entrance.Request, status int, _ *linkrpc.Outcome, refused *problem.Error) {
	kind := eventServed
	switch {
	case refused != nil && refused.Execution == problem.NotExecuted:
		kind = eventRefused
	case refused != nil:
		kind = eventLost
	case status >= 500:
		kind = eventFailed
	}
	now := n.clock.Now()
	n.events.Log(kind, func() logrus.Fields {
		f := logrus.Fields{"request": r.ID, "status": status, "tookMs": ms(now.Sub(r.Arrived)), "placements": r.Dispatches, "inner": r.Inner}
		if r.View != nil {
			f["configVersion"] = r.View.Version
		}
		if r.Route != nil {
			f["route"] = r.Route.Name
			f["classPart"] = r.AdmittedFraction
			f["leftMs"] = ms(r.Deadline.Sub(now))
		}
		if r.Organisation != nil {
			f["organisation"] = r.Organisation.ID
		}
		if refused != nil {
			f["reason"], f["detail"], f["run"] = refused.Kind, refused.Detail, refused.Execution
			f["retryAfterMs"] = ms(refused.RetryAfter)
		}
		if age, known := n.config.Age(); known {
			f["configAgeMs"] = ms(age)
		}
		return f
	})
	n.count(r, status, refused, now)
}

func (n *Node) count(r *entrance.Request, status int, refused *problem.Error, now time.Time) {
	var organisation fleet.OrganisationID
	if r.Organisation != nil {
		organisation = r.Organisation.ID
	}
	class := fleet.ClassNormal
	if r.Inner {
		class = fleet.ClassHigh
	}
	if refused != nil {
		n.meter.ObserveRefusal(organisation, class, refused.Kind)
		return
	}
	n.meter.ObserveResponse(organisation, class, status, now.Sub(r.Arrived))
}

// decided logs what the gate did with a call that it did not get answered.
func (n *Node) decided(run *linkrpc.Run, o *linkrpc.Outcome, waited, ran time.Duration, cause error) {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		n.presence.Silent()
	}
	n.meter.ObserveDecision(outcomeName(o), waited)
	if o.Fate == linkrpc.Fate_FATE_ANSWERED {
		n.survey.ObserveSlotTime(routing.RouteName(run.Route), ran)
		return
	}
	kind := eventNotRun
	if o.Fate == linkrpc.Fate_FATE_LOST {
		kind = eventBroken
	}
	n.events.Log(kind, func() logrus.Fields {
		load := n.gate.Slots.Load()
		f := logrus.Fields{
			"request": run.Request, "route": run.Route, "inner": run.Inner, "reason": o.Reason.String(), "waitedMs": ms(waited),
			"ranMs": ms(ran), "inFlight": load.InFlight, "limit": load.Limit, "queued": load.Queued, "runMs": ms(load.MeanSlotTime),
		}
		if cause != nil {
			f["cause"] = cause.Error()
		}
		return f
	})
}

// notLent logs that a peer could not be asked for tokens; none are counted.
func (n *Node) notLent(r *entrance.Request, peer *peering.Peer, err error) {
	n.events.Log(eventNotLent, func() logrus.Fields {
		return logrus.Fields{"request": r.ID, "organisation": r.Organisation.ID, "peer": peer.Node, "error": err.Error()}
	})
}

// unreadable logs a message of a peer that is left unanswered.
func (n *Node) unreadable(what string, err error) {
	n.events.Log(eventUnreadable, func() logrus.Fields { return logrus.Fields{"what": what, "error": err.Error()} })
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

package mesh

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

const (
	eventRetryReserved  logs.EventKind = "retry left to later calls of runs"
	eventRetryExhausted logs.EventKind = "retry budget used up"
	// maxCountedPosition is the last position that is counted by itself. Later ones count
	// as this one.
	maxCountedPosition = 8
)

// onRetry meters a rejected or lost call that may be sent to a further instance, and logs
// it if it is not.
func (n *Node) onRetry(r *entrance.Request, decision entrance.RetryDecision) {
	n.meter.CountRetry(positionLabel(r), string(decision))
	if decision == entrance.RetrySpent {
		return
	}
	kind := eventRetryReserved
	if decision == entrance.RetryExhausted {
		kind = eventRetryExhausted
	}
	n.events.Log(kind, func() logrus.Fields {
		return logrus.Fields{"request": r.ID, "route": r.Route.Name, "inner": r.Inner, "position": r.Caller.Position, "remaining": r.Caller.Remaining, "callerKnown": r.Caller.Known}
	})
}

// positionLabel returns the value of the label position of a call: its position in the
// run that makes it, or unknown.
func positionLabel(r *entrance.Request) string {
	switch {
	case r.Caller.Known:
		return strconv.Itoa(min(r.Caller.Position, maxCountedPosition))
	case r.Inner:
		return "unknown"
	}
	return "root"
}

func (n *Node) updateRetryGauges() {
	for service, tokens := range n.entrance.RetryTokens() {
		n.meter.LabelledGauge("retry_tokens", "service", string(service)).Update(tokens)
	}
}

package entrance

import (
	"strings"

	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// withOwnAnswer returns the outcome of a request. An answer to another request is replaced by
// a lost one: what mixed up the two may have run either.
func (e *Entrance) withOwnAnswer(r *Request, outcome *linkrpc.Outcome) *linkrpc.Outcome {
	if outcome.Fate != linkrpc.Fate_FATE_ANSWERED {
		return outcome
	}
	got := e.answeredID(outcome)
	if got == r.ID {
		return outcome
	}
	if e.OnForeignAnswer != nil {
		e.OnForeignAnswer(r, got)
	}
	return gate.LostOutcome(linkrpc.Reason_REASON_BROKEN)
}

// answeredID returns the request id in an answer, or all of them if there are several.
func (e *Entrance) answeredID(outcome *linkrpc.Outcome) string {
	var ids []string
	for i := 0; i+1 < len(outcome.Headers); i += 2 {
		if strings.EqualFold(outcome.Headers[i], e.Headers.RequestID) {
			ids = append(ids, outcome.Headers[i+1])
		}
	}
	return strings.Join(ids, ", ")
}

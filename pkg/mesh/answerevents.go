package mesh

import (
	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/instance"
)

// onForeignAnswer logs and counts an answer that is not that of its request.
func (n *Node) onForeignAnswer(r *entrance.Request, got string) {
	n.meter.CountForeignAnswer()
	n.events.Log(eventForeignAnswer, func() logrus.Fields {
		return logrus.Fields{"request": r.ID, "gotRequest": got, "sentTo": r.SentTo, "queried": r.Queried}
	})
}

// onRepeatedID logs a call whose id was sent to the local instance before.
func (n *Node) onRepeatedID(id string) {
	n.events.Log(eventRepeatedID, func() logrus.Fields { return logrus.Fields{"request": id} })
}

// onJoined logs and counts a response of the local instance that goes on with another one.
func (n *Node) onJoined(call *instance.Call, err *instance.JoinedResponsesError, calls int) {
	n.meter.CountJoinedResponse()
	n.events.Log(eventJoined, func() logrus.Fields {
		return logrus.Fields{"request": call.RequestID, "status": err.Status, "connCalls": calls}
	})
}

// onStray logs and counts a response of the local instance that was not taken for that of
// the call that awaited one.
func (n *Node) onStray(s instance.Stray) {
	n.meter.CountStrayResponse(s.Skipped)
	n.events.Log(eventStray, func() logrus.Fields {
		return logrus.Fields{"request": s.RequestID, "gotRequest": s.GotID, "status": s.Status, "connCalls": s.Calls, "skipped": s.Skipped}
	})
}

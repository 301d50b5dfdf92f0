package node

import (
	"encoding/json"
	"net/http"

	"github.com/plantainramp/plantainramp/pkg/problem"
)

// States that an upstream announces.
const (
	UpstreamServing = "serving"
	UpstreamLeaving = "leaving"
)

// AnnouncePath is where an upstream announces itself, on the calls-out face.
const AnnouncePath = "/-/upstream"

// maxAnnouncementBytes bounds an announcement in bytes.
const maxAnnouncementBytes = 4096

// Announcement is what an upstream tells the node beside it, at its start, when
// it drains, and now and then.
type Announcement struct {
	State string `json:"state"`
	// Slots is how many calls it runs at once; a hint.
	Slots int `json:"slots"`
	// Started names the process, so that a restart is noticed.
	Started string `json:"started"`
}

// handleAnnouncement handles PUT of AnnouncePath.
func (n *Node) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a)
	if err != nil || a.State != UpstreamServing && a.State != UpstreamLeaving {
		problem.New(problem.KindMalformed, `an announcement is {"state": "serving" or "leaving", "slots": N, "started": "..."}`).Write(w)
		return
	}
	previous := n.upstreamState.Swap(&a)
	if previous == nil || previous.Started != a.Started {
		n.admission.SetSlots(a.Slots)
		n.admission.StartRamp()
	}
	if previous == nil || previous.State != a.State {
		n.logger.WithField("state", a.State).WithField("slots", a.Slots).Info("upstream announced itself")
	}
	w.WriteHeader(http.StatusNoContent)
}

package node

import (
	"encoding/json"
	"net/http"

	"github.com/plantainramp/plantainramp/pkg/problem"
)

// States of an upstream in its announcements.
const (
	UpstreamServing = "serving"
	UpstreamLeaving = "leaving"
)

// AnnouncePath is the path at which an upstream announces itself. It is served at the
// address for outbound calls.
const AnnouncePath = "/-/upstream"

// maxAnnouncementBytes is the maximum size of the body of an announcement.
const maxAnnouncementBytes = 4096

// Announcement is the message that an upstream sends to its local node when it starts,
// when it drains, and at intervals in between.
type Announcement struct {
	// State is UpstreamServing or UpstreamLeaving.
	State string `json:"state"`
	// Slots is the number of calls that the upstream can run concurrently. It is a hint:
	// the concurrency limit starts at it and adapts.
	Slots int `json:"slots"`
	// Started identifies the upstream process. A new value indicates a restart.
	Started string `json:"started"`
}

// handleAnnouncement handles PUT requests to AnnouncePath. A restart of the upstream
// resets the concurrency limit and starts its ramp.
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
		n.logger.WithField("state", a.State).WithField("slots", a.Slots).Info("upstream announced a new state")
	}
	w.WriteHeader(http.StatusNoContent)
}

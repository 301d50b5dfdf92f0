package mesh

import (
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

// Kinds of logged events of instances that reject or fail more calls than the others.
const (
	eventOutlier          logs.EventKind = "instance is an outlier"
	eventOutlierRecovered logs.EventKind = "instance is no outlier any more"
)

// noteOutgoing tells the gate of the end of a request that the local instance may have
// made, before the response is sent. While the node holds no configuration, any may be one.
func (n *Node) noteOutgoing(r *entrance.Request, status int, rejection *problem.Error) {
	if r.Inner || r.View == nil {
		n.gate.Outgoing.End(r, n.clock.Now(), rejection == nil && !r.CallerLeft && status < http.StatusBadRequest)
	}
}

// noteOutliers logs and counts the instances to which this node sends probe traffic only.
func (n *Node) noteOutliers() {
	current := map[fleet.Incarnation]bool{}
	for _, t := range n.peers.Outliers() {
		i := t.Entry.Incarnation()
		current[i] = true
		if !n.outliers[i] {
			n.events.Log(eventOutlier, func() logrus.Fields {
				load := t.Peer.Load()
				return logrus.Fields{"id": i.Instance, "service": t.Entry.Service, "rejectedPart": load.GetRejectedFraction(), "failedPart": load.GetFailedFraction()}
			})
		}
	}
	for i := range n.outliers {
		if !current[i] {
			n.events.Log(eventOutlierRecovered, func() logrus.Fields { return logrus.Fields{"id": i.Instance} })
		}
	}
	n.outliers = current
	n.meter.Gauge("balancer_outliers").Update(float64(len(current)))
	load := n.gate.Load()
	n.meter.Gauge("gate_rejected_fraction").Update(float64(load.RejectedFraction))
	n.meter.Gauge("gate_failed_fraction").Update(float64(load.FailedFraction))
}

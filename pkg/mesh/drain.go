package mesh

import (
	"context"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/entrance"
)

const (
	// admissionFraction is the fraction of the grace period during which a stopping node
	// takes requests. The rest is for their responses.
	admissionFraction = 0.5
	// maxAdmissionTime bounds that time: callers know after two readiness checks.
	maxAdmissionTime = 3 * time.Second
	// responseFraction is the fraction of the grace period after which a stopping node
	// gives up the requests that it has not answered.
	responseFraction = 0.9
	// closeFraction is the fraction of the grace period after which responses that are
	// still being written are cut.
	closeFraction = 0.93
	// linkCloseFraction is the fraction of the grace period that the last replies to
	// peers may take after that without progress, and minLinkCloseTime what they may take if
	// the responses took longer. Peers that read on get what is left of the grace period up
	// to that moment.
	linkCloseFraction = 0.04
	minLinkCloseTime  = 5 * time.Millisecond
	// minDrainTime is how long a stopping node keeps connections even if there are no
	// requests. Callers learn only from the next readiness check that the node is stopping.
	minDrainTime = 2500 * time.Millisecond
	// drainIdleTime is how long nothing must be in flight before a stopping node closes
	// connections that wait for a request.
	drainIdleTime = 300 * time.Millisecond
	// connectionIdleTime is how long a connection must have waited for a request before
	// it is closed, and how long nothing must be in flight before the servers are closed.
	// The request of the connection that was accepted last arrives within that time.
	connectionIdleTime = 100 * time.Millisecond
	// drainPollInterval is how often a stopping node checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
)

// drain stops the node's service to callers within the grace period. It closes the gate
// and publishes that in the directory. In the first part of the period it serves what
// comes, in the second it only answers the requests that it has taken, and calls that
// executions at the local instance make.
func (n *Node) drain(servers []*httpServer, abortRequests context.CancelCauseFunc) {
	n.stopStartedAt.Store(int64(clock.MonotonicOf(n.clock.Now())))
	n.stopping.Store(true)
	n.logStop("node stops")
	n.gate.Drain()
	n.publishEntry()
	n.awaitQuiet(n.admissionTime(), minDrainTime, drainIdleTime, func() {})
	n.logStop("no more connections are kept")
	n.awaitQuiet(n.partOfGrace(responseFraction), 0, connectionIdleTime, func() { n.closeWaiting(servers) })
	for _, s := range servers {
		_ = s.listener.Close()
		s.tracker.Close()
	}
	// A request may have been read before its connection was closed.
	n.awaitQuiet(n.partOfGrace(responseFraction), 0, 0, func() {})
	if n.inFlight() > 0 {
		n.logStop("requests given up")
		abortRequests(&entrance.StoppedError{})
	}
	n.gate.GiveUp()
	n.closeServers(servers)
	n.logStop("connections closed")
}

// partOfGrace returns a fraction of the grace period.
func (n *Node) partOfGrace(fraction float64) time.Duration {
	return time.Duration(fraction * float64(n.settings.GracePeriod))
}

// linkCloseTime returns how long the last replies to peers may take from now on without
// progress.
func (n *Node) linkCloseTime() time.Duration {
	return max(minLinkCloseTime, min(n.partOfGrace(linkCloseFraction), n.linkCloseLimit()))
}

// linkCloseLimit returns how long the last replies to peers may take from now on.
func (n *Node) linkCloseLimit() time.Duration {
	return n.partOfGrace(closeFraction+linkCloseFraction) - n.sinceStop()
}

// admissionTime returns how long after the signal to stop the node takes requests.
func (n *Node) admissionTime() time.Duration {
	return min(n.partOfGrace(admissionFraction), maxAdmissionTime)
}

// takes reports whether the node takes a request that was read whole. In the second part
// of its stop it takes only calls that executions at the local instance may make.
func (n *Node) takes(r *entrance.Request) bool {
	if !n.stopping.Load() || n.sinceStop() < n.admissionTime() {
		return true
	}
	return r.Inner && n.gate.Slots.Load().InFlight > 0
}

// inFlight returns the number of requests that are not answered whole and of executions
// at the local instance.
func (n *Node) inFlight() int {
	return n.callerConns.Counts().Busy + n.gate.Slots.Load().InFlight
}

// awaitQuiet waits until nothing has been in flight for idleTime and minTime has passed
// since the signal to stop, or until maxTime has passed since then. It calls poll at each
// check.
func (n *Node) awaitQuiet(maxTime, minTime, idleTime time.Duration, poll func()) {
	lastBusy := n.clock.Now()
	for n.sinceStop() < maxTime {
		poll()
		now := n.clock.Now()
		busy := n.inFlight() > 0
		if busy {
			lastBusy = now
		}
		if !busy && n.sinceStop() > minTime && now.Sub(lastBusy) >= idleTime {
			return
		}
		_ = clock.Sleep(context.Background(), n.clock, min(drainPollInterval, maxTime-n.sinceStop()))
	}
}

// closeWaiting closes the connections of callers that wait for a request. It closes
// their listener, too, unless executions at the local instance may still make calls.
func (n *Node) closeWaiting(servers []*httpServer) {
	executing := n.gate.Slots.Load().InFlight > 0
	for _, s := range servers {
		if s.tracker != &n.callerConns {
			continue
		}
		if !executing {
			_ = s.listener.Close()
		}
		s.tracker.CloseWaiting(connectionIdleTime)
	}
}

// closeServers closes the servers once the responses that are being written are
// complete and callers have received them, or the time for that is over.
func (n *Node) closeServers(servers []*httpServer) {
	ctx, cancel := context.WithTimeout(context.Background(), n.partOfGrace(closeFraction)-n.sinceStop())
	defer cancel()
	var closing []*connection.Tracker
	for _, s := range servers {
		closing = append(closing, s.tracker)
	}
	connection.Shutdown(ctx, closing)
}

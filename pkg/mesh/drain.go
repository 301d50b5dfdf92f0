package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/entrance"
)

const (
	// admissionFraction is the fraction of the grace period during which a stopping node
	// takes new requests. The rest is for their responses.
	admissionFraction = 0.5
	// responseFraction is the fraction of the grace period after which a stopping node
	// gives up the requests that it has not answered.
	responseFraction = 0.9
	// minDrainTime is how long a stopping node takes new requests even if there are
	// none. Callers learn only from the next readiness check that the node is stopping.
	minDrainTime = 2500 * time.Millisecond
	// drainIdleTime is how long nothing must be in flight before a stopping node takes
	// no new requests.
	drainIdleTime = 300 * time.Millisecond
	// connectionIdleTime is how long a connection must have waited for a request before
	// it is closed, and how long nothing must be in flight before the servers are closed.
	// The request of the connection that was accepted last arrives within that time.
	connectionIdleTime = 100 * time.Millisecond
	// drainPollInterval is how often a stopping node checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// shutdownTimeout bounds the writing of the last responses.
	shutdownTimeout = 200 * time.Millisecond
)

// drain stops the node's service to callers within the grace period. It closes the gate
// and publishes that in the directory. In the first part of the period it serves new
// requests, in the second it only answers those that it has taken, and calls that
// executions at the local instance make.
func (n *Node) drain(servers []*httpServer, abortRequests context.CancelCauseFunc) {
	n.stopStartedAt.Store(int64(clock.MonotonicOf(n.clock.Now())))
	n.stopping.Store(true)
	n.logStop("node stops")
	n.gate.Drain()
	n.publishEntry()
	n.awaitQuiet(n.partOfGrace(admissionFraction), minDrainTime, drainIdleTime, func() {})
	n.logStop("no more connections are kept")
	n.awaitQuiet(n.partOfGrace(responseFraction), 0, connectionIdleTime, func() { n.closeWaiting(servers) })
	for _, s := range servers {
		_ = s.listener.Close()
	}
	n.callerConns.Close()
	if n.inFlight() > 0 {
		n.logStop("requests given up")
		abortRequests(&entrance.StoppedError{})
	}
	closeServers(servers)
}

// partOfGrace returns a fraction of the grace period.
func (n *Node) partOfGrace(fraction float64) time.Duration {
	return time.Duration(fraction * float64(n.settings.GracePeriod))
}

// takes reports whether the node takes a request that was read whole. In the second part
// of its stop it takes only calls that executions at the local instance may make.
func (n *Node) takes(r *entrance.Request) bool {
	if !n.stopping.Load() || n.sinceStop() < n.partOfGrace(admissionFraction) {
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
		if n.inFlight() > 0 {
			lastBusy = now
		}
		if n.sinceStop() > minTime && now.Sub(lastBusy) > idleTime {
			return
		}
		_ = clock.Sleep(context.Background(), n.clock, drainPollInterval)
	}
}

// closeWaiting closes the connections of callers that wait for a request. It closes
// their listener, too, unless executions at the local instance may still make calls.
func (n *Node) closeWaiting(servers []*httpServer) {
	executing := n.gate.Slots.Load().InFlight > 0
	for _, s := range servers {
		if s.tracker == nil {
			continue
		}
		if !executing {
			_ = s.listener.Close()
		}
		s.tracker.CloseWaiting(connectionIdleTime)
	}
}

// closeServers closes the servers once the responses that are being written are
// complete, at the latest after shutdownTimeout.
func closeServers(servers []*httpServer) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, s := range servers {
		group.Go(func() {
			if s.server.Shutdown(ctx) != nil {
				_ = s.server.Close()
			}
		})
	}
	group.Wait()
}

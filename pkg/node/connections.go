package node

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

const (
	// The fractions below are of the descriptors of the process. Each connection that is
	// accepted may need another one, to the upstream or to a peer.
	callerConnsFraction, otherConnsFraction = 0.25, 0.1
	// maxAdminConns bounds the connections of operators.
	maxAdminConns = 8
	// connBytes is the memory that a connection takes without large heads and bodies, and
	// connMemoryFraction the fraction of the memory that connections of callers may take.
	connBytes          = 24 << 10
	connMemoryFraction = 0.25
	// maxHTTP2Streams bounds the requests at the same time on an HTTP/2 connection, and
	// maxHTTP2BufferBytes what is received on it and not read: the least that HTTP/2 allows.
	maxHTTP2Streams     = 32
	maxHTTP2BufferBytes = 64 << 10
	// gaugeInterval is the interval at which the gauges of connections and budgets are set.
	gaugeInterval = time.Second
	// maxLinesPerSecond bounds the log lines of each kind of event.
	maxLinesPerSecond = 10

	eventConnClosed  logs.EventKind = "connection closed"
	eventNotAccepted logs.EventKind = "connection not accepted"
)

// maxConns returns the bound of the connections of a server.
func (n *Node) maxConns(server string) int {
	descriptors, byMemory := float64(connection.MaxDescriptors(n.settings.MaxDescriptors)), math.MaxInt
	if n.settings.MemoryBytes > 0 {
		byMemory = int(connMemoryFraction*float64(n.settings.MemoryBytes)) / connBytes
	}
	switch server {
	case serverCallers:
		return min(int(callerConnsFraction*descriptors), byMemory)
	case serverAdmin:
		return maxAdminConns
	}
	return min(int(otherConnsFraction*descriptors), byMemory)
}

// boundConns makes a tracker bound the connections of a server and their heads.
func (n *Node) boundConns(t *connection.Tracker, server string) {
	bound := n.maxConns(server)
	t.MaxOpen = func() int { return bound }
	t.Limits = func() connection.Limits {
		return connection.Limits{HeaderBytes: n.settings.MaxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	}
	t.Heads = &n.budgets.heads
	t.OnClosed = func(reason string) {
		n.events.Log(eventConnClosed, func() logrus.Fields {
			return logrus.Fields{"server": server, "reason": reason, "headBytes": n.budgets.heads.Used(), "maxConns": bound}
		})
	}
	t.OnAcceptError = func(err error) {
		n.events.Log(eventNotAccepted, func() logrus.Fields { return logrus.Fields{"server": server, "error": err.Error()} })
	}
}

// boundHTTP2 bounds what an HTTP/2 connection may hold. The server must be tracked already.
func (n *Node) boundHTTP2(server *http.Server) {
	server.MaxHeaderBytes = n.settings.MaxHeaderBytes
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxHTTP2Streams, MaxReceiveBufferPerConnection: maxHTTP2BufferBytes, MaxReceiveBufferPerStream: maxHTTP2BufferBytes,
	}
}

// onResponseEvicted logs a connection that was closed to make room for the response to
// another caller.
func (n *Node) onResponseEvicted() {
	n.events.Log(eventConnClosed, func() logrus.Fields {
		return logrus.Fields{
			"server": serverCallers, "reason": "memory needed for another response",
			"responseBytes": n.budgets.largeResponses.Used(), "smallResponseBytes": n.budgets.smallResponses.Used(),
		}
	})
}

// runGauges sets the gauges of connections and budgets until ctx ends.
func (n *Node) runGauges(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(gaugeInterval), func(context.Context) { n.updateGauges() })
}

func (n *Node) updateGauges() {
	conns := n.callersIntake.tracker.Counts()
	for state, count := range map[string]int{"busy": conns.Busy, "idle": conns.Idle, "unused": conns.Unused, "lingering": conns.Lingering} {
		n.meter.LabelledGauge("caller_connections", "state", state).Update(float64(count))
	}
	n.meter.Gauge("caller_connections_shortage").Update(float64(conns.ShortageLevel))
	b := &n.budgets
	closed := conns.ClosedByReason()
	closed["response_evicted"] = b.smallResponses.Evicted() + b.largeResponses.Evicted()
	for reason, count := range closed {
		n.meter.LabelledGauge("caller_connections_closed", "reason", reason).Update(float64(count))
	}
	for kind, budget := range map[string]*memory.Budget{
		"heads": &b.heads, "bodies": &b.bodies.large, "small_bodies": &b.bodies.small, "peer_messages": &b.peerMessages.large, "small_peer_messages": &b.peerMessages.small,
		"upstream_responses": &b.upstreamResponses.large, "small_upstream_responses": &b.upstreamResponses.small,
		"caller_responses": &b.largeResponses.Budget, "small_responses": &b.smallResponses.Budget,
	} {
		n.meter.UpdateBudget(kind, budget)
	}
}

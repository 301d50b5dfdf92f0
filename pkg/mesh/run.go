package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

const (
	// checkInterval is the interval of the periodic checks in runChecks.
	checkInterval = 250 * time.Millisecond
)

// httpServer is one of the HTTP servers of a node. listener and server are set by listen.
type httpServer struct {
	name, address string
	handler       http.Handler
	listener      net.Listener
	server        *http.Server
	// tracker is Node.callerConns for the server of callers. listen sets it for others.
	tracker *connection.Tracker
}

func (n *Node) httpServers() []*httpServer {
	onMalformed := func(id string, err error) {
		logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", id).WithError(err).Warn("heartbeat cannot be decoded; ignored")
	}
	heartbeats := n.platform.NewHeartbeatHandler(HeartbeatCallbacks{OnHeartbeat: n.handleHeartbeat, OnDeregister: n.handleDeregistration, OnMalformed: onMalformed})
	servers := []*httpServer{
		{name: "callers", address: n.settings.CallerAddress, handler: n.entrance, tracker: &n.callerConns},
		{name: "heartbeats", address: n.settings.HeartbeatAddress, handler: heartbeats},
		{name: "readiness", address: n.settings.ReadinessAddress, handler: n.platform.NewReadinessHandler(n.ready)},
	}
	if n.settings.MetricsAddress != "" {
		servers = append(servers, &httpServer{name: "metrics", address: n.settings.MetricsAddress, handler: n.meter.Handler()})
	}
	return servers
}

// listen opens the listeners. requestCtx is the parent of the contexts of all requests.
func (n *Node) listen(requestCtx context.Context, servers []*httpServer) error {
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return &settings.ListenError{Key: s.name, Address: s.address, Cause: err}
		}
		if s.tracker == nil {
			s.tracker = &connection.Tracker{Clock: n.clock, OnAcceptError: n.onAcceptFailed, MaxOpen: func() int { return maxOtherConns }}
		}
		n.limitHeads(s.tracker)
		s.listener = s.tracker.Bound(l)
		s.server = &http.Server{Handler: n.guardHandler(s.handler)}
		s.server.BaseContext = func(net.Listener) context.Context { return requestCtx }
		s.tracker.Track(s.server)
	}
	return nil
}

// Run serves until ctx ends or a server fails, drains the requests in flight and stops.
// It returns nil if ctx ended, *settings.ListenError if a listener cannot be opened, or
// the error of the server that failed.
func (n *Node) Run(ctx context.Context) error {
	servers := n.httpServers()
	peerListener, err := net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		return &settings.ListenError{Key: "peers", Address: n.settings.PeerAddress, Cause: err}
	}
	requestCtx, abortRequests := context.WithCancelCause(context.Background())
	defer abortRequests(nil)
	if err := n.listen(requestCtx, servers); err != nil {
		return err
	}
	serveErrors := make(chan error, len(servers)+1)
	for _, s := range servers {
		go func() { serveErrors <- s.server.Serve(s.listener) }()
	}
	go func() { serveErrors <- n.links.Serve(peerListener) }()
	n.logger.WithField("service", n.settings.Service).WithField("incarnation", n.incarnation).Info("node started")
	workCtx, stopWork := context.WithCancel(context.Background())
	var controllers sync.WaitGroup
	for _, c := range []func(context.Context){n.configFollower.Run, n.directoryFollower.Run, n.directory.Run, n.runChecks, n.runPlanner, n.runReporter, n.runTokenGiver, n.runHealthChecks, n.runColdChecks, n.runFleetSize} {
		controllers.Go(func() { c(workCtx) })
	}
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
		if errors.Is(err, net.ErrClosed) {
			err = nil
		}
	}
	n.drain(servers, abortRequests)
	stopWork()
	controllers.Wait()
	_ = peerListener.Close()
	n.links.CloseTimeout = n.linkCloseTime()
	n.links.Close()
	_ = n.meter.Close()
	n.logger.Info("node stopped")
	return err
}

// runChecks closes the gate of an unresponsive instance, expired connections to the
// instance, and unresponsive connections to peers, and reports the bytes held for callers. No
// event triggers these, so it polls until ctx ends.
func (n *Node) runChecks(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(checkInterval), n.guarded("the checks", func() {
		n.checkPause()
		n.heartbeats.CheckLiveness()
		n.instance.CloseExpired()
		n.peers.CheckLiveness()
		n.logCold()
		n.logPace()
		n.reportHeld()
	}))
}

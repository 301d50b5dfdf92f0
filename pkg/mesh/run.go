package mesh

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

const (
	// headerTimeout bounds how long a caller may take for its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection of a caller is kept.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the headers of a request in bytes.
	maxHeaderBytes = 64 << 10
	// checkInterval is the period of the upkeep.
	checkInterval = 250 * time.Millisecond
	// drainPollInterval is how often a stop looks for work in flight.
	drainPollInterval = 20 * time.Millisecond
	// drainIdleTime is how long nothing must be in flight before a stopping node ends.
	drainIdleTime = 300 * time.Millisecond
	// minDrainTime is how long a stopping node goes on at least: callers learn only
	// with the next check of readiness that it takes no more.
	minDrainTime = 2500 * time.Millisecond
	// shutdownTimeout bounds the wait for requests that were read last.
	shutdownTimeout = 700 * time.Millisecond
	// connectionIdleTime is how long nothing must be in flight once nobody is accepted any
	// more: a connection that was accepted last has sent its request by then.
	connectionIdleTime = 100 * time.Millisecond
	// shutdownMargin is kept of the grace for the end itself.
	shutdownMargin = 1500 * time.Millisecond
)

type httpServer struct {
	name, address string
	handler       http.Handler
	listener      net.Listener
	server        *http.Server
}

func (n *Node) httpServers() []*httpServer {
	onMalformed := func(id string, err error) {
		logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", id).WithError(err).Warn("heartbeat cannot be read")
	}
	onHeartbeat := func(h Heartbeat) {
		if !n.heartbeats.HandleHeartbeat(h) {
			logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", h.Instance).WithField("sequence", h.Sequence).Info("late or foreign heartbeat passed over")
		}
	}
	onDeregister := func(id fleet.InstanceName) { n.heartbeats.HandleDeregistration(id) }
	servers := []*httpServer{
		{name: "callers", address: n.settings.CallerAddress, handler: n.entrance},
		{name: "heartbeats", address: n.settings.HeartbeatAddress, handler: n.platform.NewHeartbeatHandler(onHeartbeat, onDeregister, onMalformed)},
		{name: "readiness", address: n.settings.ReadinessAddress, handler: n.platform.NewReadinessHandler(n.ready)},
	}
	if n.settings.MetricsAddress != "" {
		servers = append(servers, &httpServer{name: "metrics", address: n.settings.MetricsAddress, handler: n.meter.Handler()})
	}
	return servers
}

func (n *Node) listen(servers []*httpServer) error {
	for _, s := range servers {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return &settings.ListenError{Key: s.name, Address: s.address, Cause: err}
		}
		s.listener = l
		s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	}
	return nil
}

// Run serves until ctx ends, then leaves, finishes the work in flight and
// returns nil. It returns *settings.ListenError where a face cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	servers := n.httpServers()
	peerListener, err := net.Listen("tcp", n.settings.PeerAddress)
	if err != nil {
		return &settings.ListenError{Key: "peers", Address: n.settings.PeerAddress, Cause: err}
	}
	if err := n.listen(servers); err != nil {
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
	for _, c := range []func(context.Context){n.configFollower.Run, n.directoryFollower.Run, n.directory.Run, n.runChecks, n.runPlanner} {
		controllers.Go(func() { c(workCtx) })
	}
	select {
	case <-ctx.Done():
	case err = <-serveErrors:
		if errors.Is(err, net.ErrClosed) {
			err = nil
		}
	}
	n.drain(workCtx)
	n.closeServers(servers)
	stopWork()
	controllers.Wait()
	_ = peerListener.Close()
	n.links.Close()
	_ = n.meter.Close()
	n.logger.Info("node stopped")
	return err
}

// closeServers closes the faces. Nobody is accepted any more, and requests that were
// read are answered first; what then still runs is cut. The library drops what it
// reads once its own shutdown has begun, so that this begins last.
func (n *Node) closeServers(servers []*httpServer) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		_ = s.listener.Close()
	}
	n.awaitIdle(ctx)
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

// awaitIdle waits until no request has been in flight for a while, or ctx ends.
func (n *Node) awaitIdle(ctx context.Context) {
	lastBusy := n.clock.Now()
	for n.clock.Now().Sub(lastBusy) < connectionIdleTime && clock.Sleep(ctx, n.clock, drainPollInterval) == nil {
		if n.entrance.Busy() > 0 {
			lastBusy = n.clock.Now()
		}
	}
}

// runChecks looks after what has no event of its own.
func (n *Node) runChecks(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(checkInterval), func(context.Context) {
		n.heartbeats.CheckLiveness()
		n.instance.CloseExpired()
		n.peers.Check()
	})
}

// drain closes the gate, tells everyone, and lets what is in flight end. Callers
// with open connections are served until the end.
func (n *Node) drain(ctx context.Context) {
	started := n.clock.Now()
	n.logger.Info("node stops")
	n.stopping.Store(true)
	n.gate.Leave()
	n.publishEntry()
	lastBusy := started
	for {
		now := n.clock.Now()
		if n.entrance.Busy()+int64(n.gate.Slots.Load().InFlight) > 0 {
			lastBusy = now
		}
		if now.Sub(started) > n.settings.GracePeriod-shutdownMargin || now.Sub(started) > minDrainTime && now.Sub(lastBusy) > drainIdleTime {
			return
		}
		if clock.Sleep(ctx, n.clock, drainPollInterval) != nil {
			return
		}
	}
}

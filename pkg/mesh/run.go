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
	// maxHeader bounds the headers of a request in bytes.
	maxHeader = 64 << 10
	// checkEvery is the period of the upkeep.
	checkEvery = 250 * time.Millisecond
	// drainPoll is how often a stop looks for work in flight.
	drainPoll = 20 * time.Millisecond
	// quietFor is how long nothing must be in flight before a stopping node ends.
	quietFor = 300 * time.Millisecond
	// leastStop is how long a stopping node goes on at least: callers learn only
	// with the next check of readiness that it takes no more.
	leastStop = 2500 * time.Millisecond
	// answerTimeout bounds the wait for requests that were read last.
	answerTimeout = 700 * time.Millisecond
	// settleFor is how long nothing must be in flight once nobody is accepted any
	// more: a connection that was accepted last has sent its request by then.
	settleFor = 100 * time.Millisecond
	// graceMargin is kept of the grace for the end itself.
	graceMargin = 1500 * time.Millisecond
)

type face struct {
	name, address string
	handler       http.Handler
	listener      net.Listener
	server        *http.Server
}

func (n *Node) faces() []*face {
	malformed := func(id string, err error) {
		logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", id).WithError(err).Warn("heartbeat cannot be read")
	}
	heard := func(h Heartbeat) {
		if !n.presence.Heard(h) {
			logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", h.Instance).WithField("sequence", h.Sequence).Info("late or foreign heartbeat passed over")
		}
	}
	left := func(id fleet.InstanceName) { n.presence.Left(id) }
	list := []*face{
		{name: "callers", address: n.settings.Callers, handler: n.entrance},
		{name: "heartbeats", address: n.settings.Heartbeats, handler: n.platform.Heartbeats(heard, left, malformed)},
		{name: "readiness", address: n.settings.Readiness, handler: n.platform.Readiness(n.ready)},
	}
	if n.settings.Metrics != "" {
		list = append(list, &face{name: "metrics", address: n.settings.Metrics, handler: n.meter.Handler()})
	}
	return list
}

func (n *Node) listen(faces []*face) error {
	for _, f := range faces {
		l, err := net.Listen("tcp", f.address)
		if err != nil {
			return &settings.ListenError{Key: f.name, Address: f.address, Cause: err}
		}
		f.listener = l
		f.server = &http.Server{Handler: f.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader}
	}
	return nil
}

// Run serves until ctx ends, then leaves, finishes the work in flight and
// returns nil. It returns *settings.ListenError where a face cannot be opened.
func (n *Node) Run(ctx context.Context) error {
	faces := n.faces()
	peers, err := net.Listen("tcp", n.settings.Peers)
	if err != nil {
		return &settings.ListenError{Key: "peers", Address: n.settings.Peers, Cause: err}
	}
	if err := n.listen(faces); err != nil {
		return err
	}
	failed := make(chan error, len(faces)+1)
	for _, f := range faces {
		go func() { failed <- f.server.Serve(f.listener) }()
	}
	go func() { failed <- n.links.Serve(peers) }()
	n.logger.WithField("service", n.settings.Service).WithField("incarnation", n.incarnation).Info("node started")
	work, stopWork := context.WithCancel(context.Background())
	var controllers sync.WaitGroup
	for _, c := range []func(context.Context){n.config.Run, n.directoryLog.Run, n.directory.Run, n.upkeep, n.planRoom} {
		controllers.Go(func() { c(work) })
	}
	select {
	case <-ctx.Done():
	case err = <-failed:
		if errors.Is(err, net.ErrClosed) {
			err = nil
		}
	}
	n.leave(work)
	n.shutDown(faces)
	stopWork()
	controllers.Wait()
	_ = peers.Close()
	n.links.Close()
	_ = n.meter.Close()
	n.logger.Info("node stopped")
	return err
}

// shutDown closes the faces. Nobody is accepted any more, and requests that were
// read are answered first; what then still runs is cut. The library drops what it
// reads once its own shutdown has begun, so that this begins last.
func (n *Node) shutDown(faces []*face) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for _, f := range faces {
		_ = f.listener.Close()
	}
	n.settle(ctx)
	var group sync.WaitGroup
	for _, f := range faces {
		group.Go(func() {
			if f.server.Shutdown(ctx) != nil {
				_ = f.server.Close()
			}
		})
	}
	group.Wait()
}

// settle waits until no request has been in flight for a while, or ctx ends.
func (n *Node) settle(ctx context.Context) {
	quiet := n.clock.Now()
	for n.clock.Now().Sub(quiet) < settleFor && clock.Sleep(ctx, n.clock, drainPoll) == nil {
		if n.entrance.InFlight() > 0 {
			quiet = n.clock.Now()
		}
	}
}

// upkeep looks after what has no event of its own.
func (n *Node) upkeep(ctx context.Context) {
	clock.Every(ctx, n.clock, clock.FixedPeriod(checkEvery), func(context.Context) {
		n.presence.Check()
		n.instance.CloseExpired()
		n.peers.CheckLiveness()
	})
}

// leave closes the gate, tells everyone, and lets what is in flight end. Callers
// with open connections are served until the end.
func (n *Node) leave(ctx context.Context) {
	begun := n.clock.Now()
	n.logger.Info("node stops")
	n.stopping.Store(true)
	n.gate.Drain()
	n.publish()
	quiet := begun
	for {
		now := n.clock.Now()
		if n.entrance.InFlight()+int64(n.gate.Slots.Load().InFlight) > 0 {
			quiet = now
		}
		if now.Sub(begun) > n.settings.Grace-graceMargin || now.Sub(begun) > leastStop && now.Sub(quiet) > quietFor {
			return
		}
		if clock.Sleep(ctx, n.clock, drainPoll) != nil {
			return
		}
	}
}

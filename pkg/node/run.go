package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/pkg/settings"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// headerTimeout bounds how long a client may take for its headers.
	headerTimeout = 5 * time.Second
	// stopTimeout bounds the wait for work in flight at a stop.
	stopTimeout = 30 * time.Second
	// responseTimeout bounds the wait for answers that are being written.
	responseTimeout = time.Second
	// pollInterval is the period in which a stop looks for work in flight.
	pollInterval = 10 * time.Millisecond
	// endedCheckInterval is the period in which the node looks for its own end.
	endedCheckInterval = 500 * time.Millisecond
)

// server is one face with its listener.
type server struct {
	name       string
	httpServer *http.Server
	listener   net.Listener
}

func (n *Node) openServers() ([]*server, error) {
	announceMux := http.NewServeMux()
	announceMux.HandleFunc("PUT "+AnnouncePath, n.handleAnnouncement)
	outbound := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == AnnouncePath {
			announceMux.ServeHTTP(w, r)
			return
		}
		n.outboundHandler.ServeHTTP(w, r)
	})
	var peers http.Handler = peerrpc.NewPeerServer(n.peerServer)
	if !n.settings.Off[settings.MechanismAuth] {
		peers = peer.Verify(n.settings.Secret, peers)
	}
	endpoints := []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", n.settings.Callers, n.callersHandler},
		{"callsOut", n.settings.CallsOut, outbound},
		{"peers", n.settings.Peers, peers},
		{"admin", n.settings.Admin, n.adminAPI.Handler()},
	}
	var servers []*server
	for _, e := range endpoints {
		s, err := n.listen(e.name, e.address, e.handler)
		if err != nil {
			closeListeners(servers)
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

func (n *Node) listen(name, address string, handler http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &settings.ListenError{Face: name, Address: address, Cause: err}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{name: name, listener: l, httpServer: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: n.settings.MaxHeader, Protocols: protocols,
	}}, nil
}

func closeListeners(servers []*server) {
	for _, s := range servers {
		_ = s.listener.Close()
	}
}

// Run serves until ctx ends, then leaves, finishes the work in flight and
// returns nil. It returns *settings.ListenError where a face cannot be opened, and
// *member.EndedError where the fleet has taken the node off its list.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.openServers()
	if err != nil {
		return err
	}
	serveErrors := make(chan error, len(servers))
	for _, s := range servers {
		go func() { serveErrors <- s.httpServer.Serve(s.listener) }()
	}
	n.logger.WithField("callers", n.settings.Callers).WithField("peers", n.settings.Peers).Info("node started")
	controllerCtx, stopControllers := context.WithCancel(context.Background())
	var controllers sync.WaitGroup
	n.startControllers(controllerCtx, &controllers)
	cause := n.waitForStop(ctx, serveErrors)
	n.leave(servers)
	stopControllers()
	controllers.Wait()
	_ = n.meter.Close()
	n.logger.Info("node stopped")
	return cause
}

// waitForStop returns when the node must stop, with the cause if it is not ctx.
func (n *Node) waitForStop(ctx context.Context, serveErrors <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-serveErrors:
			return eris.Wrap(err, "a face stopped")
		case <-n.clock.After(endedCheckInterval):
			if err := n.announcer.Ended(); err != nil {
				return err
			}
		}
	}
}

func (n *Node) startControllers(ctx context.Context, group *sync.WaitGroup) {
	for _, controller := range []func(context.Context){
		n.spread.ReadLog, n.spread.Pull, n.join, n.watch.Run, n.claimer.Run, n.borrower.Run, n.snapshotter.Run,
	} {
		group.Go(func() { controller(ctx) })
	}
}

// join announces the node once its upstream has announced itself.
func (n *Node) join(ctx context.Context) {
	for n.upstreamState.Load() == nil {
		if clock.Sleep(ctx, n.clock, pollInterval) != nil {
			return
		}
	}
	n.announcer.Member.Slots = n.upstreamState.Load().Slots
	_ = n.announcer.Join(ctx)
}

// leave hands everything back: first the rate slots, then the place on the
// list; callers are answered for a while longer, and work in flight ends.
func (n *Node) leave(servers []*server) {
	n.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.claimer.ReleaseAll(ctx)
	if err := n.announcer.Leave(ctx); err != nil {
		n.partLogger(logs.PartMember).WithError(err).Warn("leave not recorded; neighbours will notice")
	}
	for _, s := range servers {
		if s.name == "callers" {
			s.httpServer.SetKeepAlivesEnabled(false)
		}
	}
	_ = clock.Sleep(ctx, n.clock, n.settings.Drain)
	n.borrower.GiveBack(ctx)
	for n.hasWorkInFlight() && clock.Sleep(ctx, n.clock, pollInterval) == nil {
		continue
	}
	n.writer.Flush()
	shutDownServers(servers)
}

func (n *Node) hasWorkInFlight() bool {
	return n.callersHandler.InFlight()+n.outboundHandler.InFlight()+int64(n.admission.Load().InFlight) > 0
}

// shutDownServers closes all faces. Answers on their way get a moment; connections that
// were opened and never used do not hold the stop up.
func shutDownServers(servers []*server) {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	for _, s := range servers {
		if s.httpServer.Shutdown(ctx) != nil {
			_ = s.httpServer.Close()
		}
	}
}

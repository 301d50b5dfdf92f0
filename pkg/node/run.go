package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/peer"
	"github.com/plantainramp/plantainramp/pkg/settings"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// headerTimeout is the maximum time to read the headers of a request, and idleTimeout how
	// long a connection may wait for one.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// pollInterval is the interval between checks for calls in flight during a stop, and for
	// the first announcement of the upstream.
	pollInterval = 10 * time.Millisecond
	// endedCheckInterval is the interval at which the node checks whether it was removed
	// from the list of members.
	endedCheckInterval = 500 * time.Millisecond

	// serverCallers, serverCallsOut, serverPeers and serverAdmin are the names of the servers.
	serverCallers, serverCallsOut, serverPeers, serverAdmin = "callers", "callsOut", "peers", "admin"
)

// server is one of the node's HTTP servers with its open listener.
type server struct {
	// name is the key of the server's address in the section [listen] of the settings.
	name       string
	httpServer *http.Server
	listener   net.Listener
	tracker    *connection.Tracker
	// intake is set for the servers that take calls.
	intake *intake
}

// openServers opens the listeners of all servers. If one cannot be opened, it closes the
// others and returns *settings.ListenError. requestCtx is the parent of the contexts of
// all requests.
func (n *Node) openServers(requestCtx context.Context) ([]*server, error) {
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
	if !n.settings.Disabled[settings.MechanismAuth] {
		verifier := &peer.Verifier{Secret: n.settings.PeerSecret, Clock: n.clock, Budgets: n.budgets.peerMessages.tiers()}
		peers = verifier.Handler(peers)
	}
	serverSpecs := []struct {
		name, address string
		handler       http.Handler
		intake        *intake
	}{
		{serverCallers, n.settings.CallersAddress, n.callersHandler, n.callersIntake},
		{serverCallsOut, n.settings.CallsOutAddress, outbound, n.newIntake()},
		{serverPeers, n.settings.PeersAddress, peers, nil},
		{serverAdmin, n.settings.AdminAddress, n.adminAPI.Handler(), nil},
	}
	var servers []*server
	for _, e := range serverSpecs {
		s, err := n.listen(e.name, e.address, e.handler)
		if err != nil {
			closeListeners(servers)
			return nil, err
		}
		s.httpServer.BaseContext = func(net.Listener) context.Context { return requestCtx }
		n.track(s, e.intake)
		servers = append(servers, s)
	}
	return servers, nil
}

func (n *Node) listen(name, address string, handler http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &settings.ListenError{Key: name, Address: address, Cause: err}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{name: name, listener: l, httpServer: &http.Server{
		Handler: handler, Protocols: protocols,
	}}, nil
}

// track makes a server report its connections and bounds them. i may be nil.
func (n *Node) track(s *server, i *intake) {
	tracker := &connection.Tracker{Clock: n.clock}
	if i != nil {
		tracker = &i.tracker
	}
	n.boundConns(tracker, s.name)
	if s.intake = i; i != nil {
		i.watch(s.httpServer)
	} else {
		tracker.Track(s.httpServer)
	}
	n.boundHTTP2(s.httpServer)
	s.tracker = tracker
	s.listener = tracker.Bound(s.listener)
}

func closeListeners(servers []*server) {
	for _, s := range servers {
		_ = s.listener.Close()
	}
}

// Run serves until ctx ends. It then leaves the list of members, finishes the calls in
// flight and returns nil. It returns *settings.ListenError if a listener cannot be
// opened, and *member.EndedError if the fleet has removed the node from the list.
func (n *Node) Run(ctx context.Context) error {
	requestCtx, abortRequests := context.WithCancel(context.Background())
	defer abortRequests()
	servers, err := n.openServers(requestCtx)
	if err != nil {
		return err
	}
	serveErrors := make(chan error, len(servers))
	for _, s := range servers {
		go func() { serveErrors <- s.httpServer.Serve(s.listener) }()
	}
	n.logger.WithField("callers", n.settings.CallersAddress).WithField("peers", n.settings.PeersAddress).Info("node started")
	controllerCtx, stopControllers := context.WithCancel(context.Background())
	var controllers sync.WaitGroup
	n.startControllers(controllerCtx, &controllers)
	cause := n.waitForStop(ctx, serveErrors)
	n.leave(servers, abortRequests)
	stopControllers()
	controllers.Wait()
	_ = n.meter.Close()
	n.logger.Info("node stopped")
	return cause
}

// waitForStop waits until the node must stop. It returns nil if ctx has ended, otherwise
// the error that is the cause.
func (n *Node) waitForStop(ctx context.Context, serveErrors <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-serveErrors:
			return eris.Wrap(err, "an HTTP server stopped")
		case <-n.clock.After(endedCheckInterval):
			if err := n.announcer.Ended(); err != nil {
				return err
			}
		}
	}
}

func (n *Node) startControllers(ctx context.Context, group *sync.WaitGroup) {
	for _, controller := range []func(context.Context){
		n.gossiper.FollowLog, n.gossiper.Pull, n.join, n.failureDetector.Run, n.slotController.Run, n.limiter.Run, n.snapshotter.Run, n.runGauges,
	} {
		group.Go(func() { controller(ctx) })
	}
}

// join adds the node to the list of members once its upstream has announced itself.
func (n *Node) join(ctx context.Context) {
	for n.upstreamState.Load() == nil {
		if clock.Sleep(ctx, n.clock, pollInterval) != nil {
			return
		}
	}
	n.announcer.Member.Slots = n.upstreamState.Load().Slots
	_ = n.announcer.Join(ctx)
}

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
	// closeTimeout bounds the wait for work in flight at a stop.
	closeTimeout = 30 * time.Second
	// answerTimeout bounds the wait for answers that are being written.
	answerTimeout = time.Second
	// pollEvery is the period in which a stop looks for work in flight.
	pollEvery = 10 * time.Millisecond
	// checkEvery is the period in which the node looks for its own end.
	checkEvery = 500 * time.Millisecond
)

// server is one face with its listener.
type server struct {
	name     string
	http     *http.Server
	listener net.Listener
}

func (n *Node) servers() ([]*server, error) {
	callsOut := http.NewServeMux()
	callsOut.HandleFunc("PUT "+AnnouncePath, n.announce)
	out := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == AnnouncePath {
			callsOut.ServeHTTP(w, r)
			return
		}
		n.callsOut.ServeHTTP(w, r)
	})
	var twirp http.Handler = peerrpc.NewPeerServer(n.peers)
	if !n.settings.Off[settings.MechanismAuth] {
		twirp = peer.Verify(n.settings.Secret, twirp)
	}
	faces := []struct {
		name, address string
		handler       http.Handler
	}{
		{"callers", n.settings.Callers, n.callers},
		{"callsOut", n.settings.CallsOut, out},
		{"peers", n.settings.Peers, twirp},
		{"admin", n.settings.Admin, n.admin.Handler()},
	}
	var list []*server
	for _, f := range faces {
		s, err := n.listen(f.name, f.address, f.handler)
		if err != nil {
			closeAll(list)
			return nil, err
		}
		list = append(list, s)
	}
	return list, nil
}

func (n *Node) listen(name, address string, handler http.Handler) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &settings.ListenError{Face: name, Address: address, Cause: err}
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &server{name: name, listener: l, http: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: n.settings.MaxHeader, Protocols: protocols,
	}}, nil
}

func closeAll(list []*server) {
	for _, s := range list {
		_ = s.listener.Close()
	}
}

// Run serves until ctx ends, then leaves, finishes the work in flight and
// returns nil. It returns *settings.ListenError where a face cannot be opened, and
// *member.EndedError where the fleet has taken the node off its list.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.servers()
	if err != nil {
		return err
	}
	failed := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failed <- s.http.Serve(s.listener) }()
	}
	n.logger.WithField("callers", n.settings.Callers).WithField("peers", n.settings.Peers).Info("node started")
	work, stopWork := context.WithCancel(context.Background())
	var controllers sync.WaitGroup
	n.startControllers(work, &controllers)
	cause := n.wait(ctx, failed)
	n.leave(servers)
	stopWork()
	controllers.Wait()
	_ = n.meter.Close()
	n.logger.Info("node stopped")
	return cause
}

// wait returns when the node must stop, with the cause if it is not ctx.
func (n *Node) wait(ctx context.Context, failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return eris.Wrap(err, "a face stopped")
		case <-n.clock.After(checkEvery):
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
		if clock.Sleep(ctx, n.clock, pollEvery) != nil {
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
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	n.claimer.ReleaseAll(ctx)
	if err := n.announcer.Leave(ctx); err != nil {
		n.part(logs.PartMember).WithError(err).Warn("leave not recorded; neighbours will notice")
	}
	for _, s := range servers {
		if s.name == "callers" {
			s.http.SetKeepAlivesEnabled(false)
		}
	}
	_ = clock.Sleep(ctx, n.clock, n.settings.Drain)
	n.borrower.GiveBack(ctx)
	for n.busy() && clock.Sleep(ctx, n.clock, pollEvery) == nil {
		continue
	}
	n.writer.Flush()
	shut(servers)
}

func (n *Node) busy() bool {
	return n.callers.InFlight()+n.callsOut.InFlight()+int64(n.admission.Load().InFlight) > 0
}

// shut closes all faces. Answers on their way get a moment; connections that
// were opened and never used do not hold the stop up.
func shut(servers []*server) {
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	for _, s := range servers {
		if s.http.Shutdown(ctx) != nil {
			_ = s.http.Close()
		}
	}
}

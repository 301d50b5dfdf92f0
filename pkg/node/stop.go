package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

const (
	// stopTimeout bounds each step of a graceful stop that waits for the log and for other
	// nodes, or for calls in flight.
	stopTimeout = 30 * time.Second
	// connectionIdleTime is how long a server that accepts no more connections takes new
	// requests, and how long a connection must have waited for a request before it is
	// closed. The request of the connection that was accepted last arrives within that
	// time, and HTTP/2, which counts a response as written before it flushes it, flushes.
	connectionIdleTime = 100 * time.Millisecond
	// responseTimeout is the time that each closing server gets to write its responses.
	responseTimeout = time.Second
)

// intake controls which requests a server takes while the node stops. Call watch before
// the server serves.
type intake struct {
	tracker connection.Tracker
	// stopping reports whether the node stops. The connections of requests that are read
	// from then on are closed after the response.
	stopping func() bool
	// ended is true once new requests are refused.
	ended  atomic.Bool
	logger *logs.Logger
}

func (n *Node) newIntake() *intake {
	return &intake{tracker: connection.Tracker{Clock: n.clock}, stopping: n.stopping.Load, logger: n.logger}
}

// watch puts the intake in front of the server's handler. A request whose caller has closed
// the connection before it was read is dropped.
func (i *intake) watch(server *http.Server) {
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if connection.PeerClosed(r.Context()) {
			i.logger.WithField("address", r.RemoteAddr).Debug("request dropped: its caller had left before it was read")
			panic(http.ErrAbortHandler)
		}
		if i.stopping() {
			w.Header().Set("Connection", "close")
		}
		if i.ended.Load() {
			problem.New(problem.KindLeaving, "the node has stopped; try another").Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
	i.tracker.Track(server)
}

// leave shuts the node down gracefully. It releases the rate slots, removes the node
// from the list of members, and serves callers for the drain time of the settings. It
// then takes no new requests, waits for the calls in flight, returns borrowed tokens,
// waits for outcomes of actions that are being recorded, and closes the servers.
// abortRequests cancels the contexts of all requests.
func (n *Node) leave(servers []*server, abortRequests context.CancelFunc) {
	n.stopping.Store(true)
	n.withdraw()
	_ = clock.Sleep(context.Background(), n.clock, n.settings.DrainPeriod)
	n.finishCalls(servers, abortRequests)
	n.returnTokens()
	n.writer.Flush()
	shutDownServers(servers)
}

// withdraw releases the rate slots and removes the node from the list of members.
func (n *Node) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.slotController.ReleaseAll(ctx)
	if err := n.announcer.Leave(ctx); err != nil {
		n.componentLogger(logs.ComponentMember).WithError(err).Warn("could not record that the node leaves; other nodes will detect it")
	}
}

// returnTokens returns the borrowed rate tokens.
func (n *Node) returnTokens() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.limiter.ReturnAll(ctx)
}

// finishCalls ends the intake of the servers for calls one after another, the callers'
// first, so that calls in flight at the local upstream can make calls in turn. It cancels
// the calls that are not answered within callsTimeout, and waits up to responseTimeout
// for the errors that their callers get.
func (n *Node) finishCalls(servers []*server, abortRequests context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), n.callsTimeout)
	defer cancel()
	for _, s := range servers {
		if s.intake != nil {
			n.endIntake(ctx, s)
		}
	}
	if ctx.Err() == nil {
		return
	}
	n.logger.Warn("calls in flight are given up: they took too long")
	abortRequests()
	ctx, cancel = context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	for _, s := range servers {
		if s.intake != nil {
			n.awaitAnswers(ctx, s)
		}
	}
}

// endIntake makes a server take no new requests, and waits for the answers to those that
// it took.
func (n *Node) endIntake(ctx context.Context, s *server) {
	_ = s.listener.Close()
	_ = clock.Sleep(ctx, n.clock, connectionIdleTime)
	s.intake.ended.Store(true)
	// This closes idle connections, too, even if a request is just being read. The end of
	// the intake comes first, so that such a request is refused and not executed.
	s.httpServer.SetKeepAlivesEnabled(false)
	n.awaitAnswers(ctx, s)
	_ = clock.Sleep(ctx, n.clock, connectionIdleTime)
	s.intake.tracker.Close()
}

// awaitAnswers waits until a server has answered the requests that it took, and the
// local upstream runs no call, or until ctx ends. It closes connections that wait for a
// request.
func (n *Node) awaitAnswers(ctx context.Context, s *server) {
	s.intake.tracker.CloseWaiting(connectionIdleTime)
	for n.hasWorkInFlight(s) && clock.Sleep(ctx, n.clock, pollInterval) == nil {
		s.intake.tracker.CloseWaiting(connectionIdleTime)
	}
}

// hasWorkInFlight reports whether a server has requests that it has not answered whole,
// or the local upstream runs calls.
func (n *Node) hasWorkInFlight(s *server) bool {
	return s.intake.tracker.Counts().Busy+n.admission.Load().InFlight > 0
}

// shutDownServers closes all servers at the same time. It waits up to responseTimeout for
// responses that are being written or received.
func shutDownServers(servers []*server) {
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	var closing []*connection.Tracker
	for _, s := range servers {
		closing = append(closing, s.tracker)
	}
	connection.Shutdown(ctx, closing)
}

// Package connection tracks the open connections of an HTTP server: which of them wait
// for a request, and which carry one. It closes waiting connections without losing a
// request: one that is read as its connection is closed does not reach the handler.
package connection

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/memory"
)

// Use describes the connection of a request at the moment when the request was read.
// The zero value means that the connection is not tracked.
type Use struct {
	// Requests is the number of requests read from the connection so far, including
	// this one.
	Requests int
	// Idle is how long the connection waited for this request, since it was accepted
	// or since its last response.
	Idle time.Duration
}

// Tracker tracks the connections of one HTTP server. Set Clock, and call Track before
// the server serves. It is safe for concurrent use.
type Tracker struct {
	Clock clock.Clock
	// MaxIdle bounds the connections that wait for a further request. Those that have
	// waited longest are closed first. 0 means no bound.
	MaxIdle int
	// MaxOpen returns the bound of all open connections that Bound applies; nil means no
	// bound.
	MaxOpen func() int
	// OnAcceptError is called with the error of an Accept that is tried again; nil is
	// allowed.
	OnAcceptError func(error)
	// Limits returns the limits of requests on connections that the listener of Bound
	// accepts; nil means those of the server.
	Limits func() Limits
	// Heads bounds the memory for the heads of requests on these connections; nil means no
	// bound.
	Heads *memory.Budget
	// OnClosed is called with the reason for which a connection was closed while a request was
	// read or a response written; nil is allowed. It must not call methods of the tracker.
	OnClosed func(reason string)

	// servesHTTP2 reports whether the server speaks HTTP/2. It is set by Track.
	servesHTTP2 bool
	// server is set by Track.
	server *http.Server
	// lingering holds the closed connections whose callers may not have received all that was
	// sent.
	lingering lingeringConns

	// mu guards the fields below and those of the values of conns.
	mu    sync.Mutex
	conns map[net.Conn]*conn
	// idle holds the *conn that wait for a further request, the longest waiting first.
	idle list.List
	// unused holds the *conn that have carried no request, the longest open first.
	unused list.List
	// reading holds the *conn with memory reserved for a head that is not read whole, the
	// one that began to be read first at the front.
	reading list.List
	// headsTooLarge, headsRefused and headsEvicted are those of Counts.
	headsTooLarge, headsRefused, headsEvicted int
	// closing is the number of values of conns that the tracker has closed.
	closing int
	// evicted is the number of connections closed because of MaxIdle or MaxOpen.
	evicted int
	// stalled is the number of connections closed because their callers made too little
	// progress.
	stalled int
	// shortage says which connections may be closed for new ones.
	shortage shortage
	// slow holds what findSlow found and closeSlow has not closed, dueConns is the number of
	// connections on which something was due from the caller, and lastScan when findSlow last
	// looked.
	slow     []slowConn
	dueConns int
	lastScan time.Time
	// closedReasons holds the reasons that OnClosed has not been called with.
	closedReasons []string
	// closed reports whether Close was called.
	closed  bool
	dropped int
}

// conn is one connection. Its fields other than netConn and raw are guarded by Tracker.mu.
type conn struct {
	// netConn and raw are set when the connection is accepted and not changed. raw is nil
	// for a connection that is no socket.
	netConn net.Conn
	raw     syscall.RawConn
	busy    bool
	// closed reports whether the tracker has closed the connection. It is never busy
	// afterwards.
	closed bool
	// waitingSince is when the connection was accepted or its last response was
	// written. It is not updated while the connection is busy.
	waitingSince time.Time
	use          Use
	// cancel ends the contexts of the requests on the connection. It is not changed.
	cancel context.CancelFunc
	// idle, unused and reading are the elements in the lists of Tracker, or nil.
	idle, unused, reading *list.Element
	// readingSince is when the connection was added to Tracker.reading.
	readingSince time.Time
	// headReserved is the number of bytes reserved from Tracker.Heads.
	headReserved int64
	// progress is that which findSlow last saw.
	progress progress
	// limited is netConn if that applies Limits, or nil.
	limited *limitedConn
}

type contextKey struct{}

// Track makes the server report its connections to the tracker. The server's handler
// must be set already; its ConnContext and ConnState are replaced.
func (t *Tracker) Track(server *http.Server) {
	t.conns, t.server = map[net.Conn]*conn{}, server
	t.servesHTTP2 = server.Protocols != nil && server.Protocols.UnencryptedHTTP2()
	server.ConnContext = t.accept
	server.ConnState = t.observe
	if t.Limits != nil {
		server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = serverTimeout, serverTimeout, serverHeaderBytes
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, tracked := r.Context().Value(contextKey{}).(*conn)
		if tracked && !t.begin(c) {
			panic(http.ErrAbortHandler)
		}
		if tracked && c.limited != nil && c.limited.isOverLimit(r) {
			t.refuseLargeHead(w)
			return
		}
		if tracked && c.limited != nil && c.limited.isHTTP2.Load() {
			reserved, ok := t.reserveHTTP2Head(r)
			if !ok {
				t.refuseHTTP2Head(w)
				return
			}
			defer t.releaseHTTP2Head(reserved)
		}
		next.ServeHTTP(w, r)
	})
}

// Of returns the use of the connection on which the request with this context was read.
func Of(ctx context.Context) Use {
	if c, tracked := ctx.Value(contextKey{}).(*conn); tracked {
		return c.use
	}
	return Use{}
}

func (t *Tracker) accept(ctx context.Context, netConn net.Conn) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	c := &conn{netConn: netConn, raw: rawConn(netConn), cancel: cancel, waitingSince: t.Clock.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[netConn] = c
	c.unused = t.unused.PushBack(c)
	if limited, isLimited := netConn.(*limitedConn); isLimited {
		c.limited, limited.conn = limited, c
	}
	return context.WithValue(ctx, contextKey{}, c)
}

// CloseWaiting closes the connections that have waited for a request for at least
// minWait. It keeps those on which data has arrived that the server has not come to read.
func (t *Tracker) CloseWaiting(minWait time.Duration) {
	now := t.Clock.Now()
	t.closeWaiting(func(c *conn) bool {
		return now.Sub(c.waitingSince) >= minWait && (c.raw == nil || !isUnread(c.raw))
	})
}

// closeWaiting closes the connections that wait for a request and are due.
func (t *Tracker) closeWaiting(due func(c *conn) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.conns {
		if !c.busy && !c.closed && due(c) {
			t.closeConn(c)
		}
	}
}

// closeConn closes a connection that waits for a request, or whose caller makes too little
// progress. The caller holds mu.
func (t *Tracker) closeConn(c *conn) {
	t.forget(c)
	_ = c.netConn.Close()
}

// forget notes that the tracker closes a connection. The caller holds mu.
func (t *Tracker) forget(c *conn) {
	c.closed = true
	t.closing++
	t.leaveLists(c)
	t.releaseHead(c)
}

// leaveLists removes a connection from the lists of those that wait for a request. The
// caller holds mu.
func (t *Tracker) leaveLists(c *conn) {
	if c.idle != nil {
		t.idle.Remove(c.idle)
		c.idle = nil
	}
	if c.unused != nil {
		t.unused.Remove(c.unused)
		c.unused = nil
	}
	if c.reading != nil {
		t.reading.Remove(c.reading)
		c.reading = nil
	}
}

// Close closes all connections that wait for a request. After it returns, no further
// request reaches the handler.
func (t *Tracker) Close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.closeWaiting(func(*conn) bool { return true })
}

// begin marks a connection busy, as a request was read from it. It returns false if the
// connection or the tracker has been closed.
func (t *Tracker) begin(c *conn) bool {
	now := t.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.closed || t.closed {
		t.dropped++
		return false
	}
	c.busy = true
	t.leaveLists(c)
	if c.limited != nil {
		c.limited.handling.Store(true)
	}
	c.use.Requests++
	c.use.Idle = now.Sub(c.waitingSince)
	return true
}

// observe is the ConnState hook of the server.
func (t *Tracker) observe(netConn net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		now := t.Clock.Now()
		t.mu.Lock()
		defer t.mu.Unlock()
		if c := t.conns[netConn]; c != nil && !c.closed {
			c.busy, c.waitingSince = false, now
			t.leaveLists(c)
			t.releaseHead(c)
			if c.limited != nil {
				c.limited.reset()
			}
			c.idle = t.idle.PushBack(c)
		}
		if t.MaxIdle > 0 {
			t.evict(t.idle.Len() - t.MaxIdle)
		}
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		defer t.mu.Unlock()
		if c := t.conns[netConn]; c != nil {
			t.leaveLists(c)
			t.releaseHead(c)
			delete(t.conns, netConn)
			c.cancel()
			if c.closed {
				t.closing--
			}
		}
	}
}

// Shutdown closes the servers of the trackers at the same time, once the responses that are being
// written are complete and no connection lingers, or ctx ends.
func Shutdown(ctx context.Context, trackers []*Tracker) {
	var group sync.WaitGroup
	for _, t := range trackers {
		group.Go(func() { t.shutdown(ctx) })
	}
	group.Wait()
}

func (t *Tracker) shutdown(ctx context.Context) {
	if t.server.Shutdown(ctx) != nil {
		_ = t.server.Close()
	}
	for t.lingering.count() > 0 && clock.Sleep(ctx, t.Clock, shutdownPollInterval) == nil {
		continue
	}
}

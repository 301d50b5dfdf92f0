package entrance

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// dialled returns the connections that were dialled since the last closeConns.
func (tc *testCluster) dialled() []net.Conn {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return append([]net.Conn(nil), tc.conns...)
}

// isClosed reports whether this side closed the connection.
func isClosed(c net.Conn) bool { return c.SetReadDeadline(time.Time{}) != nil }

// startRequest sends a request and returns once it is executed. The returned channel
// receives the response.
func (tc *testCluster) startRequest(t *testing.T) <-chan *httptest.ResponseRecorder {
	t.Helper()
	before := tc.executions.Load()
	response := make(chan *httptest.ResponseRecorder, 1)
	go func() { response <- tc.sendRequest(t.Context()) }()
	for tc.executions.Load() == before {
		time.Sleep(time.Millisecond)
	}
	return response
}

// snapshotOf returns a directory of the nodes of the service.
func snapshotOf(entries ...directory.Entry) *directory.Snapshot {
	s := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{"desk": entries}}
	for _, e := range entries {
		s.Nodes[e.Node] = e
	}
	return s
}

// Guards against a lost response when a node leaves the directory while it executes a
// call. The call must end as if the node had stayed, also if the connection is lost
// meanwhile and the outcome must be queried. Other calls must not be sent to the node,
// and its connection must be closed once no call is left.
func TestCallContinuesWhenItsNodeLeaves(t *testing.T) {
	for name, connectionLost := range map[string]bool{"connection kept": false, "connection lost": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
			cluster.callTime = 500 * time.Millisecond
			started := time.Now()
			response := cluster.startRequest(t)
			cluster.peers.Update(snapshotOf())
			is.Equal(cluster.sendRequest(t.Context()).Code, 503)
			if connectionLost {
				cluster.closeConns()
			}
			var w *httptest.ResponseRecorder
			for w == nil {
				cluster.peers.CheckLiveness()
				select {
				case w = <-response:
				case <-time.After(20 * time.Millisecond):
				}
			}
			is.Equal(w.Code, 200)
			is.True(time.Since(started) < 2*time.Second)
			is.Equal(cluster.executions.Load(), int64(1))
			conns := cluster.dialled()
			is.Equal(len(conns), 1)
			cluster.peers.CheckLiveness()
			is.True(isClosed(conns[0]))
		})
	}
}

// A node that comes back to the directory while a call is pending keeps its connection,
// and further calls use it.
func TestNodeThatComesBackKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	cluster.callTime = 300 * time.Millisecond
	entry := cluster.peers.Targets("desk")[0].Entry
	response := cluster.startRequest(t)
	cluster.peers.Update(snapshotOf())
	cluster.peers.CheckLiveness()
	cluster.peers.Update(snapshotOf(entry))
	is.Equal((<-response).Code, 200)
	cluster.peers.CheckLiveness()
	is.Equal(cluster.sendRequest(t.Context()).Code, 200)
	is.Equal(cluster.executions.Load(), int64(2))
	conns := cluster.dialled()
	is.Equal(len(conns), 1)
	is.True(!isClosed(conns[0]))
}

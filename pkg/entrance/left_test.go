package entrance

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// serveTracked serves the entrance with tracked connections, as a node does.
func serveTracked(t *testing.T, e *Entrance, listener net.Listener) {
	t.Helper()
	server := &http.Server{Handler: e}
	tracker := &connection.Tracker{Clock: clock.System{}}
	tracker.Track(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// Callers send requests and close their connections while the node accepts none. Guards
// against requests that the entrance sends on although the close lies unread behind
// them.
func TestUnreadRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	const callers = 50
	for name, request := range map[string]string{
		"without body":       "GET /x HTTP/1.1\r\nHost: h\r\nId: %d\r\nLeft: 3000\r\n\r\n",
		"with body":          "POST /x HTTP/1.1\r\nHost: h\r\nId: %d\r\nLeft: 3000\r\nContent-Length: 4\r\n\r\nbody",
		"further bytes sent": "GET /x HTTP/1.1\r\nHost: h\r\nId: %d\r\nLeft: 3000\r\n\r\nGET",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
			is.Equal(cluster.sendRequest(t.Context()).Code, http.StatusOK)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			for i := range callers {
				conn, err := net.Dial("tcp", listener.Addr().String())
				is.NoErr(err)
				_, err = fmt.Fprintf(conn, request, i)
				is.NoErr(err)
				is.NoErr(conn.Close())
			}
			serveTracked(t, cluster.entrance, listener)
			time.Sleep(300 * time.Millisecond)
			is.Equal(cluster.executions.Load(), int64(1))
		})
	}
}

// A caller that still waits is not taken for one that has left.
func TestRequestOfWaitingCallerIsSent(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	serveTracked(t, cluster.entrance, listener)
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	for range 2 {
		_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: 3000\r\n\r\n")
		is.NoErr(err)
		is.True(readStatus(t, conn) == http.StatusOK)
	}
}

func readStatus(t *testing.T, conn net.Conn) int {
	t.Helper()
	buffer := make([]byte, 4096)
	n, err := conn.Read(buffer)
	is.New(t).NoErr(err)
	var status int
	_, err = fmt.Sscanf(string(buffer[:n]), "HTTP/1.1 %d", &status)
	is.New(t).NoErr(err)
	return status
}

// Guards against requests for tokens that are sent to further peers after the time to
// borrow them is over.
func TestBorrowingEndsWithItsTime(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 4, routing.Route{MaxAttempts: 1})
	is.NoErr(connectAll(t, cluster))
	limited := &routing.Organisation{ID: "dakar", Rate: 1}
	cluster.entrance.RateLimiter.Update(map[fleet.OrganisationID]quota.Limit{limited.ID: {Rate: 1}}, 1)
	asked := 0
	cluster.entrance.OnBorrowError = func(*Request, *peering.Peer, error) { asked++ }
	// The gates of this cluster answer no request for tokens.
	is.True(!cluster.entrance.takeRateToken(t.Context(), &Request{Organisation: limited}))
	is.Equal(asked, 1)
}

// connectAll opens the connections to all gates.
func connectAll(t *testing.T, tc *testCluster) error {
	t.Helper()
	for range 100 {
		if len(tc.dialled()) == len(tc.gates) {
			return nil
		}
		tc.sendRequest(t.Context())
	}
	return context.DeadlineExceeded
}

// A caller leaves while the connection to the gate that executes its request is lost.
// Guards against an execution that goes on although the gate can be reached again.
func TestExecutionIsCancelledAfterItsCallerLeftDuringAnOutage(t *testing.T) {
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	cluster.callTime = 10 * time.Second
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		// The handler aborts the connection of a caller that left.
		defer func() { _ = recover() }()
		cluster.sendRequest(ctx)
	}()
	awaitRunning(t, cluster, 1, time.Second)
	cluster.unreachable.Store(true)
	cluster.closeConns()
	time.Sleep(50 * time.Millisecond)
	leave()
	time.Sleep(50 * time.Millisecond)
	cluster.unreachable.Store(false)
	awaitRunning(t, cluster, 0, 700*time.Millisecond)
}

func awaitRunning(t *testing.T, tc *testCluster, n int64, timeout time.Duration) {
	t.Helper()
	for began := time.Now(); tc.running.Load() != n; time.Sleep(5 * time.Millisecond) {
		if time.Since(began) > timeout {
			t.Fatalf("%d calls run after %s, want %d", tc.running.Load(), timeout, n)
		}
	}
}

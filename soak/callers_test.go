package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// leavers is the number of callers that leave in one test.
	leavers = 60
	// patience is how long these callers wait.
	patience = 100 * time.Millisecond
	// pauseTime is how long the node is suspended. It is shorter than the time after which
	// peers take a silent node for unresponsive.
	pauseTime = 450 * time.Millisecond
	// settleTime is how long after the pause all requests that will be executed have
	// been.
	settleTime = time.Second
)

// suspend suspends the node's process, or continues it.
func (m *machine) suspend(suspended bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	signal := syscall.SIGCONT
	if suspended {
		signal = syscall.SIGSTOP
	}
	_ = m.process.Process.Signal(signal)
}

// awaitService waits until requests to the path succeed at the node.
func awaitService(t *testing.T, m *machine, path string) {
	t.Helper()
	n := 0
	is.New(t).True(platformtest.Await(15*time.Second, func() bool {
		n++
		return m.ready() && m.send(t.Context(), "GET", path, fmt.Sprintf("warm-%s-%d", m.name, n)).status == http.StatusOK
	}))
}

// sendAndLeave sends a request on a new connection, waits, and closes the connection
// without reading the response.
func sendAndLeave(ctx context.Context, m *machine, path, id string, wait time.Duration) error {
	r, err := m.newRequest(ctx, "GET", path, id)
	if err != nil {
		return err
	}
	conn, err := net.DialTimeout("tcp", m.callers(), requestTimeout)
	if err != nil {
		return err
	}
	err = r.Write(conn)
	time.Sleep(wait)
	_ = conn.Close()
	return err
}

// leaveAll makes all callers send a request to one node and leave, and returns their
// ids, which begin with the label.
func leaveAll(t *testing.T, m *machine, path, label string) []string {
	t.Helper()
	var ids []string
	left := make(chan error, leavers)
	for i := range leavers {
		id := fmt.Sprintf("left-%s-%d", label, i)
		ids = append(ids, id)
		go func() { left <- sendAndLeave(t.Context(), m, path, id, patience) }()
	}
	for range leavers {
		is.New(t).NoErr(<-left)
	}
	return ids
}

// executedOf returns how many of the requests the server has executed.
func executedOf(s *platformtest.Server, ids []string) int {
	n, executions := 0, s.Executions()
	for _, id := range ids {
		n += executions[id]
	}
	return n
}

// Callers leave while the node that has received their requests, or the node beside the
// instance, is suspended. Guards against requests that a node sends on although their
// callers had left before.
func TestRequestsOfCallersThatLeftAreNotExecuted(t *testing.T) {
	c := newCluster(t)
	entrance, gate := c.machines[0], c.machines[4]
	awaitService(t, entrance, "/days/")
	for name, suspended := range map[string]*machine{"unread at the entrance": entrance, "unread at the gate": gate} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			suspended.suspend(true)
			began := time.Now()
			ids := leaveAll(t, entrance, "/days/", suspended.name)
			before := executedOf(c.machines[4].server, ids) + executedOf(c.machines[5].server, ids)
			time.Sleep(pauseTime - time.Since(began))
			suspended.suspend(false)
			time.Sleep(settleTime)
			after := executedOf(c.machines[4].server, ids) + executedOf(c.machines[5].server, ids)
			t.Logf("%d requests executed before their callers left, %d afterwards", before, after-before)
			is.Equal(after-before, 0)
		})
	}
}

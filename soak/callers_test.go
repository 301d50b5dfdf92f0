package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

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
	// transitTime is how long after the close of its caller's connection a request that was
	// on its way by then may reach a server. The pause ends later than that.
	transitTime = 200 * time.Millisecond
	// settleTime is how long after the pause all requests that will reach a server have
	// done so.
	settleTime = time.Second
)

// suspend suspends the node's process and returns once all its threads have stopped: until
// then it goes on reading requests.
func (m *machine) suspend() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.process.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	return awaitStop(m.process.Process.Pid)
}

// awaitStop waits until a child process has been stopped by a signal.
func awaitStop(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// resume continues the node's process.
func (m *machine) resume() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Process.Signal(syscall.SIGCONT)
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
// without reading the response. It returns when it closed the connection.
func sendAndLeave(ctx context.Context, m *machine, path, id string, wait time.Duration) (time.Time, error) {
	r, err := m.newRequest(ctx, "GET", path, id)
	if err != nil {
		return time.Time{}, err
	}
	conn, err := net.DialTimeout("tcp", m.callers(), requestTimeout)
	if err != nil {
		return time.Time{}, err
	}
	err = r.Write(conn)
	time.Sleep(wait)
	_ = conn.Close()
	return time.Now(), err
}

// leaveAll makes all callers send a request to one node and leave. It returns when each
// left, by the ids of the requests, which begin with the label.
func leaveAll(t *testing.T, m *machine, path, label string) map[string]time.Time {
	t.Helper()
	ids, leftAt, errs := make([]string, leavers), make([]time.Time, leavers), make([]error, leavers)
	var group sync.WaitGroup
	for i := range leavers {
		ids[i] = fmt.Sprintf("left-%s-%d", label, i)
		group.Go(func() { leftAt[i], errs[i] = sendAndLeave(t.Context(), m, path, ids[i], patience) })
	}
	group.Wait()
	left := map[string]time.Time{}
	for i, id := range ids {
		is.New(t).NoErr(errs[i])
		left[id] = leftAt[i]
	}
	return left
}

// arrivalsAfter returns how many of the requests reached the server later than the given
// time after their callers left.
func arrivalsAfter(s *platformtest.Server, left map[string]time.Time, limit time.Duration) int {
	n := 0
	for id, arrived := range s.Arrivals() {
		if leftAt, hasLeft := left[id]; hasLeft && arrived.Sub(leftAt) > limit {
			n++
		}
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
			is.NoErr(suspended.suspend())
			began := time.Now()
			left := leaveAll(t, entrance, "/days/", suspended.name)
			time.Sleep(max(pauseTime-time.Since(began), transitTime))
			is.NoErr(suspended.resume())
			time.Sleep(settleTime)
			late := 0
			for _, m := range c.machines[4:6] {
				late += arrivalsAfter(m.server, left, transitTime)
			}
			is.Equal(late, 0) // requests that reached a server long after their callers left
		})
	}
}

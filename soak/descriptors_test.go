package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

const (
	// maxDescriptors is the limit of descriptors of the node in a test.
	maxDescriptors = 300
	// openingTime is the least time between the openings of two connections.
	openingTime = 2 * time.Millisecond
)

// limitDescriptors limits the descriptors of the node's process.
func (m *machine) limitDescriptors(n uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return unix.Prlimit(m.process.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: n}, nil)
}

// Callers keep more connections open, after one request on each, than the node may have
// descriptors. Guards against requests that the node does not read, and against calls that
// find no descriptor for a connection to the instance, while idle connections hold all.
func TestIdleConnectionsLeaveDescriptorsForRequests(t *testing.T) {
	is := is.New(t)
	c := newCluster(t)
	m := c.machines[4]
	awaitService(t, m, "/days/")
	is.NoErr(m.limitDescriptors(maxDescriptors))
	failed := 0
	for i := 0; i < 2*maxDescriptors && failed < 3; i++ {
		k := &keptConnection{machine: m}
		defer k.close()
		if k.send(t.Context(), "GET", "/days/", fmt.Sprintf("idle-%d", i)).status != http.StatusOK {
			failed++
		}
		time.Sleep(openingTime)
	}
	is.Equal(failed, 0)
	is.True(m.ready())
}

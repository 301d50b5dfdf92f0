package connection

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxStallWhenFull is how long a caller may receive nothing of what was sent to it while
	// no connection can be accepted otherwise.
	maxStallWhenFull = time.Second
	// stallScanInterval is the time between two looks at the connections for such callers.
	stallScanInterval = 250 * time.Millisecond
)

// evictStalled closes up to n connections whose callers have received nothing of what was sent
// to them for maxStallWhenFull, and returns their number. It knows of those that it has seen
// before. The caller holds mu.
func (t *Tracker) evictStalled(n int) int {
	now := t.Clock.Now()
	if now.Sub(t.lastStallScan) < stallScanInterval {
		return 0
	}
	t.lastStallScan = now
	count := 0
	for _, c := range t.conns {
		if !c.busy || c.closed || c.raw == nil {
			continue
		}
		received, isWaiting := sendProgress(c.raw)
		switch {
		case !isWaiting:
			c.stalledSince = time.Time{}
		case c.stalledSince.IsZero() || received != c.received:
			c.stalledSince, c.received = now, received
		case count < n && now.Sub(c.stalledSince) >= maxStallWhenFull:
			t.closeConn(c)
			count++
		}
	}
	t.stalled += count
	return count
}

// sendProgress returns the number of bytes that the system of the caller has confirmed, and
// whether others wait for that.
func sendProgress(raw syscall.RawConn) (received uint64, isWaiting bool) {
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			received, isWaiting = info.Bytes_acked, info.Unacked > 0 || info.Notsent_bytes > 0
		}
	})
	return received, isWaiting
}

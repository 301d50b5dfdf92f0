package connection

import (
	"cmp"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minScanInterval is the least time between two looks at the progress of all connections.
	minScanInterval = 25 * time.Millisecond
	// maxScanInterval is the time between two looks after which all measurements begin anew: a
	// connection may have carried other requests in between.
	maxScanInterval = 2 * maxGrace
)

// progress is that of a connection whose caller is to send a body or to receive what was sent
// to it.
type progress struct {
	// since is when the measurement began, or zero while nothing is due from the caller.
	since time.Time
	// sending reports whether it is the caller that sends, and moved how many bytes had been
	// sent and received when the measurement began.
	sending bool
	moved   uint64
}

// slowConn is a connection that made too little progress when it was last looked at.
type slowConn struct {
	conn           *conn
	bytesPerSecond float64
	// requests is conn.use.Requests at that time.
	requests int
}

// closeSlow closes the connection whose caller makes the least progress, if that is less than is
// due. It knows of those that it has seen before. The caller holds mu.
func (t *Tracker) closeSlow(now time.Time) bool {
	if len(t.slow) == 0 || now.Sub(t.lastScan) >= t.shortage.grace() {
		t.findSlow(now)
	}
	for len(t.slow) > 0 {
		s := t.slow[0]
		t.slow = t.slow[1:]
		if s.conn.busy && !s.conn.closed && s.conn.use.Requests == s.requests {
			t.abortConn(s.conn)
			t.stalled++
			t.closedReasons = append(t.closedReasons, slowClosed)
			return true
		}
	}
	return false
}

// findSlow looks at the progress of all connections and lists those that make too little, the
// slowest first. One that makes enough is measured anew. The caller holds mu.
func (t *Tracker) findSlow(now time.Time) {
	sinceScan := now.Sub(t.lastScan)
	if sinceScan < max(t.shortage.grace()/4, minScanInterval) {
		return
	}
	t.lastScan, t.slow, t.dueConns = now, nil, 0
	for _, c := range t.conns {
		if !c.busy || c.closed || c.raw == nil {
			continue
		}
		if sinceScan > maxScanInterval {
			c.progress.since = time.Time{}
		}
		if rate, tooSlow := t.measure(c, now); tooSlow {
			t.slow = append(t.slow, slowConn{conn: c, bytesPerSecond: rate, requests: c.use.Requests})
		}
	}
	slices.SortFunc(t.slow, func(a, b slowConn) int { return cmp.Compare(a.bytesPerSecond, b.bytesPerSecond) })
}

// measure returns the rate at which a caller makes progress, and whether that is too little. The
// caller holds mu.
func (t *Tracker) measure(c *conn, now time.Time) (bytesPerSecond float64, tooSlow bool) {
	sending, moved, due := c.movement()
	if due {
		t.dueConns++
	}
	p := &c.progress
	elapsed := now.Sub(p.since)
	switch {
	case !due:
		p.since = time.Time{}
	case p.since.IsZero() || p.sending != sending:
		*p = progress{since: now, sending: sending, moved: moved}
	case elapsed < t.shortage.grace():
	case t.shortage.isTooSlow(moved-p.moved, elapsed):
		return float64(moved-p.moved) / elapsed.Seconds(), true
	default:
		p.since, p.moved = now, moved
	}
	return 0, false
}

// movement returns the number of bytes of bodies that the caller has sent, or that of the bytes
// that its system has confirmed, and whether more is due from it.
func (c *conn) movement() (sending bool, moved uint64, due bool) {
	if c.limited != nil && c.limited.awaitsBody.Load() {
		return true, uint64(c.limited.bodyBytes.Load()), true
	}
	moved, due = sendProgress(c.raw)
	return false, moved, due
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

// abortConn closes a connection, and discards what its caller has not received: the system would
// keep that until it has. The caller holds mu.
func (t *Tracker) abortConn(c *conn) {
	t.forget(c)
	if a, ok := c.netConn.(interface{ abort() error }); ok {
		_ = a.abort()
		return
	}
	_ = c.netConn.Close()
}

package peer

import (
	"sync"
	"time"
)

// clockWindow is the time after which a better reading of a peer's clock gives way to
// later ones. Readings are used for at most two windows while new ones arrive, so that
// the difference in speed of two clocks does not add up.
const clockWindow = 2 * time.Second

// clockReading relates a peer's clock to the local one: at the time local, the peer's
// clock showed at least peerNanos.
type clockReading struct {
	local     time.Time
	peerNanos int64
}

// at returns what the peer's clock shows at least at the local time t.
func (r *clockReading) at(t time.Time) int64 { return r.peerNanos + int64(t.Sub(r.local)) }

// peerClock converts local times to a peer's clock. It uses the best of the recent
// readings: one that was read late would make all deadlines early by that delay. The
// zero value knows no reading. It is safe for concurrent use.
type peerClock struct {
	// mu guards all fields.
	mu sync.Mutex
	// current is the best reading of the window that began at windowStart, and nil only
	// before the first reading. previous is that of the window before, or nil.
	current, previous *clockReading
	windowStart       time.Time
}

// record adds a reading that the peer took after the local time sent, and that arrived at
// received.
func (c *peerClock) record(sent, received time.Time, peerNanos int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	reading := &clockReading{local: received, peerNanos: peerNanos}
	gap := received.Sub(c.windowStart)
	switch {
	case c.current == nil, gap >= 2*clockWindow, c.shows(sent) > peerNanos:
		// After a suspension of the peer, its clock is behind the earlier readings.
		c.current, c.previous, c.windowStart = reading, nil, received
	case gap >= clockWindow:
		c.current, c.previous, c.windowStart = reading, c.current, received
	case reading.at(received) > c.current.at(received):
		c.current = reading
	}
}

// shows returns what the peer's clock shows at least at the local time t. The caller
// holds mu and has checked that there is a reading.
func (c *peerClock) shows(t time.Time) int64 {
	if c.previous == nil {
		return c.current.at(t)
	}
	return max(c.current.at(t), c.previous.at(t))
}

// convert returns the local time t on the peer's clock, and reports whether there is a
// reading.
func (c *peerClock) convert(t time.Time) (int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == nil {
		return 0, false
	}
	return c.shows(t), true
}

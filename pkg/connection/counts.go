package connection

// Counts is the number of open connections in each state.
type Counts struct {
	// Unused connections have been accepted and have carried no request. Idle ones
	// wait for a further request. Busy ones carry a request that was read and whose
	// response has not been written whole.
	Unused, Idle, Busy int
	// Lingering connections are closed for requests, but their callers may not have received
	// all that was sent.
	Lingering int
	// Dropped is the number of requests that were read as their connection was closed
	// and did not reach the handler.
	Dropped int
	// Evicted is the number of connections without a whole request that were closed because
	// there were too many, and Stalled that of those whose callers made too little progress
	// with a body or a response.
	Evicted, Stalled int
	// ShortageLevel is how often the progress that keeps a connection was doubled, as none could
	// be closed for a new one.
	ShortageLevel int
	// HeadsTooLarge is the number of requests that were refused because their head was over
	// the limit. HeadsRefused and HeadsEvicted are the numbers of connections that were closed
	// because there was no memory for their head, and to make room for that of another.
	HeadsTooLarge, HeadsRefused, HeadsEvicted int
}

// ClosedByReason returns the numbers of connections that were closed, by the value of a label of
// the metrics.
func (c Counts) ClosedByReason() map[string]int {
	return map[string]int{
		"head_too_large": c.HeadsTooLarge, "head_refused": c.HeadsRefused, "head_evicted": c.HeadsEvicted,
		"too_many": c.Evicted, "stalled": c.Stalled,
	}
}

// Counts returns the number of open connections in each state.
func (t *Tracker) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := Counts{Lingering: t.lingering.count(), Dropped: t.dropped, Evicted: t.evicted, Stalled: t.stalled, ShortageLevel: t.shortage.level, HeadsTooLarge: t.headsTooLarge, HeadsRefused: t.headsRefused, HeadsEvicted: t.headsEvicted}
	for _, c := range t.conns {
		switch {
		case c.closed:
		case c.busy:
			counts.Busy++
		case c.use.Requests > 0:
			counts.Idle++
		default:
			counts.Unused++
		}
	}
	return counts
}

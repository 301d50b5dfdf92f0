package topic

import (
	"context"
	"sync"
	"time"
)

const (
	// maxRetainedBatches and maxRetainedBytes bound the records that a follower keeps for
	// its peers.
	maxRetainedBatches = 256
	maxRetainedBytes   = 4 << 20
	// relayWaitFraction is how long a peer holds a question without news, as a fraction of
	// PollWait. A peer that has lost the store is noticed that much later.
	relayWaitFraction = 0.5
	// relayAgeMargin is how much longer than its wait a read of the store by a peer may take.
	relayAgeMargin = 400 * time.Millisecond
)

type (
	// Relayed is what a peer knows of a topic beyond a position.
	Relayed struct {
		Records []Record
		// End is the position after Records.
		End Position
		// Confirmed is when the store confirmed that state, as the time since the question
		// arrived at the peer; negative for a time before.
		Confirmed time.Duration
	}

	// Relay asks a peer that follows the same topic for the records from a position on, and
	// waits up to the given duration for the first. It returns nil if the store must be
	// asked, because this node is the one that reads for others, or no peer knows.
	Relay func(ctx context.Context, from Position, wait time.Duration) *Relayed
)

// history is what a follower keeps for the questions of peers. The zero value is ready to
// use. It is safe for concurrent use.
type history struct {
	// mu guards the fields below.
	mu sync.Mutex
	// known reports whether end and confirmedAt are valid. It is false while the store does
	// not answer.
	known bool
	// end is the position after the newest batch.
	end Position
	// confirmedAt is the uptime at which the read that confirmed end was sent.
	confirmedAt time.Duration
	// batches holds the newest records in order. Each batch begins where the one before
	// ends, and the last one ends at end.
	batches []recordBatch
	bytes   int
	// changed is closed at the next change of known or end; nil while nobody waits.
	changed chan struct{}
}

// recordBatch holds the records of one read, which began at start.
type recordBatch struct {
	start   Position
	records []Record
	bytes   int
}

// reset drops the batches after a read of the newest records, which ended at end.
func (h *history) reset(end Position, confirmedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.batches, h.bytes = nil, 0
	h.known, h.end, h.confirmedAt = true, end, confirmedAt
	h.notify()
}

// add records a read from h.end to end.
func (h *history) add(records []Record, end Position, confirmedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasKnown := h.known
	h.known, h.confirmedAt = true, max(h.confirmedAt, confirmedAt)
	if end == h.end && wasKnown {
		return
	}
	if end != h.end {
		b := recordBatch{start: h.end, records: records}
		for _, r := range records {
			b.bytes += len(r.Key) + len(r.Value)
		}
		h.batches, h.bytes, h.end = append(h.batches, b), h.bytes+b.bytes, end
		for len(h.batches) > maxRetainedBatches || h.bytes > maxRetainedBytes {
			h.bytes -= h.batches[0].bytes
			h.batches = h.batches[1:]
		}
	}
	h.notify()
}

// lose records that the store does not answer.
func (h *history) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = false
	h.notify()
}

// notify wakes those that wait for a change. The caller holds mu.
func (h *history) notify() {
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// since returns what is known beyond a position, and a channel that is closed at the next
// change. It returns nil if nothing can be said of that position.
func (h *history) since(from Position, askedAt time.Duration) (*Relayed, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	if !h.known || from.Era != h.end.Era {
		return nil, h.changed
	}
	r := &Relayed{End: from, Confirmed: h.confirmedAt - askedAt}
	if from.Offset >= h.end.Offset {
		// Who is ahead knows all that the store held when it confirmed end.
		return r, h.changed
	}
	r.End = h.end
	for i := len(h.batches) - 1; i >= 0; i-- {
		if h.batches[i].start.Offset <= from.Offset {
			// Records before the position are applied again, in order.
			for _, b := range h.batches[i:] {
				r.Records = append(r.Records, b.records...)
			}
			return r, h.changed
		}
	}
	return nil, h.changed
}

// follows reports whether the store answers.
func (h *history) follows() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

// Answer returns what this node knows of the topic beyond a position, for a peer. Without
// news it waits up to the given duration for some. It returns nil if it does not know
// enough, and whether that is for lack of the records only: the store answers this node. A
// node that the store does not answer says so, although a peer may lend it its own answers.
// It is safe for concurrent use.
func (f *Follower) Answer(ctx context.Context, from Position, wait time.Duration) (r *Relayed, follows bool) {
	askedAt := f.Uptime()
	if f.storeFailed.Load() {
		return nil, false
	}
	r, changed := f.history.since(from, askedAt)
	if r == nil || r.End != from || wait <= 0 {
		return r, f.history.follows()
	}
	select {
	case <-changed:
	case <-f.Clock.After(min(wait, f.PollWait)):
	case <-ctx.Done():
	}
	r, _ = f.history.since(from, askedAt)
	return r, f.history.follows()
}

// askPeer asks a peer for the records from a position on. It returns nil if the store must
// be read.
func (f *Follower) askPeer(ctx context.Context, from Position) *Relayed {
	if f.Relay == nil || f.interrupted || f.isLate() && !f.failing {
		return nil
	}
	r := f.Relay(ctx, from, time.Duration(relayWaitFraction*float64(f.PollWait)))
	if r == nil || r.End.Era != from.Era || r.End.Offset < from.Offset {
		return nil
	}
	return r
}

// AskedAt returns the uptime at which the newest read was sent that the store has confirmed, to
// this node or to a peer, or that has failed; 0 before the first one. It is safe for concurrent
// use.
func (f *Follower) AskedAt() time.Duration { return time.Duration(f.askedAt.Load()) }

// isLate reports whether the store has not confirmed the topic for longer than the reads
// of a follower that it answers take.
func (f *Follower) isLate() bool {
	age, known := f.Age()
	return !known || age > f.MaxRelayAge()
}

// MaxRelayAge returns the age of the confirmation above which a peer has lost the store. A
// read confirms the time at which it was sent, and the one before it was sent PollWait
// earlier.
func (f *Follower) MaxRelayAge() time.Duration { return 2*f.PollWait + relayAgeMargin }

// relayedAt returns the uptime at which the store confirmed an answer to a question that
// was sent at the given uptime. The question arrived no earlier, so that the state is at
// least that new.
func (f *Follower) relayedAt(sentAt time.Duration, r *Relayed) time.Duration {
	return min(sentAt+r.Confirmed, f.Uptime())
}

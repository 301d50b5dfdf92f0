package gate

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// outcomeRetention is how long an outcome can be asked for after a lost connection.
	outcomeRetention = 2 * time.Second
	// fenceRetention is how long a sealed attempt is refused, longer than any message
	// can be under way.
	fenceRetention = time.Minute
	// maxRetainedBytes bounds the answers that are kept, in bytes.
	maxRetainedBytes = 8 << 20
)

// attempt is one placement of a request at this gate.
type attempt struct {
	done chan struct{}
	// outcome is set before done is closed.
	outcome *linkrpc.Outcome
	cancel  context.CancelFunc
	// waiters counts those who wait for the outcome over another connection.
	waiters int
	// expires is when the attempt leaves the table; zero while it runs.
	expires   time.Time
	bodyBytes int
}

// attemptTable remembers what became of each placement. The zero value works once
// Clock is set.
type attemptTable struct {
	Clock clock.Clock

	mu            sync.Mutex
	byID          map[uint64]*attempt
	expiryOrder   []uint64
	retainedBytes int
}

// begin enters an attempt. It returns false where the attempt is sealed or
// known already.
func (t *attemptTable) begin(id uint64, cancel context.CancelFunc) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[uint64]*attempt{}
	}
	if existing := t.byID[id]; existing != nil {
		return existing, false
	}
	a := &attempt{done: make(chan struct{}), cancel: cancel}
	t.byID[id] = a
	return a, true
}

// end sets the outcome. Answers are kept for a while within a bound.
func (t *attemptTable) end(id uint64, a *attempt, outcome *linkrpc.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.outcome = outcome
	a.bodyBytes = len(outcome.Body)
	t.retainedBytes += a.bodyBytes
	t.retain(id, a, outcomeRetention)
	close(a.done)
}

func (t *attemptTable) retain(id uint64, a *attempt, retention time.Duration) {
	a.expires = t.Clock.Now().Add(retention)
	t.expiryOrder = append(t.expiryOrder, id)
	t.evict()
}

// evict forgets what is old, and the oldest answers beyond the bound.
func (t *attemptTable) evict() {
	now := t.Clock.Now()
	for len(t.expiryOrder) > 0 {
		a := t.byID[t.expiryOrder[0]]
		if a != nil && a.expires.After(now) && t.retainedBytes <= maxRetainedBytes {
			return
		}
		if a != nil {
			t.retainedBytes -= a.bodyBytes
			delete(t.byID, t.expiryOrder[0])
		}
		t.expiryOrder = t.expiryOrder[1:]
	}
}

// findOrFence returns the attempt that runs or has run, or seals one that is not known
// and returns nil.
func (t *attemptTable) findOrFence(id uint64) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.byID[id]; a != nil {
		a.waiters++
		return a
	}
	if t.byID == nil {
		t.byID = map[uint64]*attempt{}
	}
	fenced := &attempt{done: make(chan struct{}), outcome: NotRunOutcome(linkrpc.Reason_REASON_SEALED)}
	close(fenced.done)
	t.byID[id] = fenced
	t.retainFence(id, fenced)
	return nil
}

// retainFence keeps a seal for longer than outcomes are kept, apart from their order.
func (t *attemptTable) retainFence(id uint64, a *attempt) {
	a.expires = t.Clock.Now().Add(fenceRetention)
	t.Clock.AfterFunc(fenceRetention, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byID, id)
	})
}

// hasWaiters tells whether somebody asked for the outcome over another connection.
func (t *attemptTable) hasWaiters(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.waiters > 0
}

// removeWaiter notes that one who asked no longer waits; the last one ends the run.
func (t *attemptTable) removeWaiter(a *attempt) {
	t.mu.Lock()
	a.waiters--
	last := a.waiters == 0 && a.cancel != nil
	t.mu.Unlock()
	if last {
		a.cancel()
	}
}

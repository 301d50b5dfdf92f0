package gate

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// outcomeRetention is how long after the end of an attempt its outcome can be
	// queried by an entrance that lost the connection.
	outcomeRetention = 2 * time.Second
	// fenceRetention is how long a fenced attempt is rejected. It exceeds the time
	// that any message can be in transit.
	fenceRetention = time.Minute
	// maxRetainedBytes bounds the total size of the retained response bodies.
	maxRetainedBytes = 8 << 20
)

// attempt is one attempt of an entrance to run a request at this gate.
type attempt struct {
	done chan struct{}
	// outcome is valid once done is closed.
	outcome *linkrpc.Outcome
	cancel  context.CancelFunc
	// waiters is the number of queries for the outcome that were not cancelled. It
	// is guarded by attemptTable.mu.
	waiters int
	// expires is when the attempt may be removed from the table; zero while it
	// runs.
	expires   time.Time
	bodyBytes int
}

// attemptTable holds the running attempts and the outcomes of recent ones. The
// zero value is ready to use once Clock is set. It is safe for concurrent use.
type attemptTable struct {
	Clock clock.Clock

	mu            sync.Mutex
	byID          map[uint64]*attempt
	expiryOrder   []uint64
	retainedBytes int
}

// begin adds an attempt. It returns false if the id is known already, whether it
// was run or fenced.
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

// cancelRunning cancels the attempts that have not ended.
func (t *attemptTable) cancelRunning() {
	var cancels []context.CancelFunc
	t.mu.Lock()
	for _, a := range t.byID {
		if a.expires.IsZero() {
			cancels = append(cancels, a.cancel)
		}
	}
	t.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

// end sets the outcome of an attempt and retains it for outcomeRetention, or until
// it is evicted because of maxRetainedBytes.
func (t *attemptTable) end(id uint64, a *attempt, outcome *linkrpc.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.outcome = outcome
	a.bodyBytes = len(outcome.Body)
	t.retainedBytes += a.bodyBytes
	t.retain(id, a, outcomeRetention)
	close(a.done)
}

// retain starts the retention of an ended attempt. mu must be held.
func (t *attemptTable) retain(id uint64, a *attempt, retention time.Duration) {
	a.expires = t.Clock.Now().Add(retention)
	t.expiryOrder = append(t.expiryOrder, id)
	t.evict()
}

// evict removes the expired attempts, and the oldest ones while the bodies exceed
// maxRetainedBytes. mu must be held.
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

// findOrFence returns the attempt if it is known, and counts the caller as a
// waiter. Otherwise it fences the id, so that begin rejects it, and returns nil.
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

// retainFence removes a fence after fenceRetention. Fences are not in expiryOrder,
// as they are kept longer than outcomes. mu must be held.
func (t *attemptTable) retainFence(id uint64, a *attempt) {
	a.expires = t.Clock.Now().Add(fenceRetention)
	t.Clock.AfterFunc(fenceRetention, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byID, id)
	})
}

// hasWaiters reports whether a query for the outcome was received and not
// cancelled.
func (t *attemptTable) hasWaiters(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.waiters > 0
}

// removeWaiter removes a waiter whose query was cancelled, and cancels the attempt
// if no other is left.
func (t *attemptTable) removeWaiter(a *attempt) {
	t.mu.Lock()
	a.waiters--
	last := a.waiters == 0 && a.cancel != nil
	t.mu.Unlock()
	if last {
		a.cancel()
	}
}

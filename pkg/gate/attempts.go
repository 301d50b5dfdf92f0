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
	// maxRetainedBytes is the value of Gate.MaxRetainedBytes where none is set.
	maxRetainedBytes = 8 << 20
)

// attemptKey identifies an attempt. An entrance is an incarnation of a node, which gives its
// attempts rising numbers; it is 0 if the node's build does not name it.
type attemptKey struct {
	id, entrance uint64
}

// number returns the number that the entrance gave to the attempt.
func (k attemptKey) number() uint64 { return k.id ^ k.entrance }

// attempt is one attempt of an entrance to run a request at this gate.
type attempt struct {
	key  attemptKey
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
	// fenced reports that the attempt had not arrived when its outcome was queried.
	fenced bool
}

// attemptTable holds the running attempts and the outcomes of recent ones, and how far it
// has forgotten earlier ones. The zero value is ready to use once Clock is set. It is safe
// for concurrent use.
type attemptTable struct {
	Clock clock.Clock
	// MaxRetainedBytes bounds the total size of the retained response bodies; 0 means
	// maxRetainedBytes.
	MaxRetainedBytes int

	mu            sync.Mutex
	byKey         map[attemptKey]*attempt
	expiryOrder   []attemptKey
	retainedBytes int
	forgotten     horizons
}

// begin adds an attempt. If it is known already, or older than a fence that was removed,
// begin returns its outcome instead: it must not run now.
func (t *attemptTable) begin(key attemptKey, cancel context.CancelFunc) (*attempt, *linkrpc.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKey == nil {
		t.byKey = map[attemptKey]*attempt{}
	}
	existing := t.byKey[key]
	switch {
	case existing != nil && existing.fenced:
		return nil, existing.outcome
	case existing != nil:
		return nil, LostOutcome(linkrpc.Reason_REASON_BROKEN)
	case t.forgotten.mayHaveFenced(key):
		return nil, NotRunOutcome(linkrpc.Reason_REASON_SEALED)
	}
	a := &attempt{key: key, done: make(chan struct{}), cancel: cancel}
	t.byKey[key] = a
	return a, nil
}

// cancelRunning cancels the attempts that have not ended.
func (t *attemptTable) cancelRunning() {
	var cancels []context.CancelFunc
	t.mu.Lock()
	for _, a := range t.byKey {
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
// it is evicted because of MaxRetainedBytes.
func (t *attemptTable) end(a *attempt, outcome *linkrpc.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.outcome = outcome
	a.bodyBytes = len(outcome.Body)
	t.retainedBytes += a.bodyBytes
	t.retain(a, outcomeRetention)
	close(a.done)
}

// retain starts the retention of an ended attempt. mu must be held.
func (t *attemptTable) retain(a *attempt, retention time.Duration) {
	a.expires = t.Clock.Now().Add(retention)
	t.expiryOrder = append(t.expiryOrder, a.key)
	t.evict()
}

// evict removes the expired attempts, and the oldest ones while the bodies exceed
// MaxRetainedBytes. mu must be held.
func (t *attemptTable) evict() {
	now := t.Clock.Now()
	limit := t.MaxRetainedBytes
	if limit == 0 {
		limit = maxRetainedBytes
	}
	for len(t.expiryOrder) > 0 {
		a := t.byKey[t.expiryOrder[0]]
		if a != nil && a.expires.After(now) && t.retainedBytes <= limit {
			return
		}
		if a != nil {
			t.retainedBytes -= a.bodyBytes
			t.forgotten.noteAttempt(a.key)
			delete(t.byKey, t.expiryOrder[0])
		}
		t.expiryOrder = t.expiryOrder[1:]
	}
}

// findOrFence returns the attempt if it is known, and counts the caller as a
// waiter. Otherwise it fences the attempt, so that begin rejects it, and returns the
// outcome: it has not run, or may have been forgotten.
func (t *attemptTable) findOrFence(key attemptKey) (*attempt, *linkrpc.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.byKey[key]; a != nil {
		a.waiters++
		return a, nil
	}
	if t.byKey == nil {
		t.byKey = map[attemptKey]*attempt{}
	}
	fence := &attempt{key: key, done: make(chan struct{}), outcome: NotRunOutcome(linkrpc.Reason_REASON_SEALED), fenced: true}
	if t.forgotten.mayHaveRun(key) {
		fence.outcome = LostOutcome(linkrpc.Reason_REASON_FORGOTTEN)
	}
	close(fence.done)
	t.byKey[key] = fence
	t.retainFence(fence)
	return nil, fence.outcome
}

// retainFence removes a fence after fenceRetention. Fences are not in expiryOrder,
// as they are kept longer than outcomes. mu must be held.
func (t *attemptTable) retainFence(fence *attempt) {
	fence.expires = t.Clock.Now().Add(fenceRetention)
	t.Clock.AfterFunc(fenceRetention, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.forgotten.noteFence(fence.key)
		delete(t.byKey, fence.key)
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

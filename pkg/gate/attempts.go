package gate

import (
	"context"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// keepOutcome is how long an outcome can be asked for after a lost connection.
	keepOutcome = 2 * time.Second
	// keepSeal is how long a sealed attempt is refused, longer than any message
	// can be under way.
	keepSeal = time.Minute
	// keepBytes bounds the answers that are kept, in bytes.
	keepBytes = 8 << 20
)

// attempt is one placement of a request at this gate.
type attempt struct {
	done chan struct{}
	// outcome is set before done is closed.
	outcome *linkrpc.Outcome
	cancel  context.CancelFunc
	// asked counts those who wait for the outcome over another connection.
	asked int
	// forget is when the attempt leaves the table; zero while it runs.
	forget time.Time
	bytes  int
}

// attempts remembers what became of each placement. The zero value works once
// Clock is set.
type attempts struct {
	Clock clock.Clock

	mu    sync.Mutex
	byID  map[uint64]*attempt
	order []uint64
	bytes int
}

// begin enters an attempt. It returns false where the attempt is sealed or
// known already.
func (t *attempts) begin(id uint64, cancel context.CancelFunc) (*attempt, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[uint64]*attempt{}
	}
	if old := t.byID[id]; old != nil {
		return old, false
	}
	a := &attempt{done: make(chan struct{}), cancel: cancel}
	t.byID[id] = a
	return a, true
}

// end sets the outcome. Answers are kept for a while within a bound.
func (t *attempts) end(id uint64, a *attempt, outcome *linkrpc.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.outcome = outcome
	a.bytes = len(outcome.Body)
	t.bytes += a.bytes
	t.keep(id, a, keepOutcome)
	close(a.done)
}

func (t *attempts) keep(id uint64, a *attempt, d time.Duration) {
	a.forget = t.Clock.Now().Add(d)
	t.order = append(t.order, id)
	t.sweep()
}

// sweep forgets what is old, and the oldest answers beyond the bound.
func (t *attempts) sweep() {
	now := t.Clock.Now()
	for len(t.order) > 0 {
		a := t.byID[t.order[0]]
		if a != nil && a.forget.After(now) && t.bytes <= keepBytes {
			return
		}
		if a != nil {
			t.bytes -= a.bytes
			delete(t.byID, t.order[0])
		}
		t.order = t.order[1:]
	}
}

// ask returns the attempt that runs or has run, or seals one that is not known
// and returns nil.
func (t *attempts) ask(id uint64) *attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.byID[id]; a != nil {
		a.asked++
		return a
	}
	if t.byID == nil {
		t.byID = map[uint64]*attempt{}
	}
	sealed := &attempt{done: make(chan struct{}), outcome: NotRun(linkrpc.Reason_REASON_SEALED)}
	close(sealed.done)
	t.byID[id] = sealed
	t.seals(id, sealed)
	return nil
}

// seals keeps a seal for longer than outcomes are kept, apart from their order.
func (t *attempts) seals(id uint64, a *attempt) {
	a.forget = t.Clock.Now().Add(keepSeal)
	t.Clock.AfterFunc(keepSeal, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.byID, id)
	})
}

// wanted tells whether somebody asked for the outcome over another connection.
func (t *attempts) wanted(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return a.asked > 0
}

// leave notes that one who asked no longer waits; the last one ends the run.
func (t *attempts) leave(a *attempt) {
	t.mu.Lock()
	a.asked--
	last := a.asked == 0 && a.cancel != nil
	t.mu.Unlock()
	if last {
		a.cancel()
	}
}

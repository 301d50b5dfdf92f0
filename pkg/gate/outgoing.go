package gate

import (
	"sync"
	"time"
)

// OutgoingCalls records the calls that the local instance makes, so that a failure of the
// instance can be told from one of a service that it calls. Which call belongs to which
// execution is not known: only an execution during which none of them failed or was
// still running can have failed through the fault of the instance for certain. The zero
// value has seen no calls. It is safe for concurrent use.
type OutgoingCalls struct {
	mu sync.Mutex
	// running maps the calls that run to when they began.
	running map[any]time.Time
	// lastFailure is when the last call ended that failed.
	lastFailure time.Time
}

// Begin records the start of a call, which is identified by any comparable value.
func (o *OutgoingCalls) Begin(call any, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.running == nil {
		o.running = map[any]time.Time{}
	}
	o.running[call] = now
}

// End records the end of a call, before its response is sent to the instance. Begin need
// not have been called for it.
func (o *OutgoingCalls) End(call any, now time.Time, succeeded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.running, call)
	if !succeeded {
		o.lastFailure = now
	}
}

// mayExplain reports whether an execution that began at a time and has failed now may have
// failed because of a call that it made.
func (o *OutgoingCalls) mayExplain(began time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.lastFailure.IsZero() && !o.lastFailure.Before(began) {
		return true
	}
	for _, start := range o.running {
		if !start.Before(began) {
			return true
		}
	}
	return false
}

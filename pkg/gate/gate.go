// Package gate controls admission to the local instance of a node. Every call to
// that instance passes its gate, so only the gate knows the number of calls in
// flight there.
package gate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/recovery"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// OrphanTimeout is how long a call whose connection was lost continues without
	// a query for its outcome.
	OrphanTimeout = 1500 * time.Millisecond
	// responseMargin is how long the gate waits for a response after the deadline
	// that it sends to the instance.
	responseMargin = 150 * time.Millisecond
	// usableSlotFraction is the fraction of an instance's slots that the gate
	// uses: many instances slow down when they are nearly full.
	usableSlotFraction = 0.945
	// minRemaining is the shortest remaining time with which a call is still
	// started.
	minRemaining = time.Millisecond
)

// Headers holds the names of the request headers that the gate sets for the
// instance.
type Headers struct {
	Deadline, ExpectedInstance, Organisation, CallerService string
}

// LocalInstance describes the local instance of a node. It is immutable once
// passed to SetLocalInstance.
type LocalInstance struct {
	ID      fleet.InstanceName
	Service fleet.ServiceName
	Slots   int
	// StartUnixMs tells apart two starts under the same id; 0 if it is not known.
	StartUnixMs int64
	// Open reports whether the instance accepts new calls.
	Open bool
	// ColdUntil is when the instance stops being cold by its last heartbeat; zero if it is
	// warm.
	ColdUntil time.Time
	// Leaving reports whether the instance has said that it leaves. It is not open then, and
	// does not open again before it has started anew.
	Leaving bool
}

// Incarnation returns the start of the instance.
func (l *LocalInstance) Incarnation() fleet.Incarnation {
	return fleet.Incarnation{Instance: l.ID, StartUnixMs: l.StartUnixMs}
}

// Gate admits calls to the local instance and runs them there. Set the exported
// fields before calling Init. Run, QueryOutcome and the methods that return its
// state are safe for concurrent use.
type Gate struct {
	Clock    clock.Clock
	Headers  Headers
	Instance *instance.Client
	// View returns the active configuration, or nil.
	View func() *routing.View
	// Region is the region of the instance's data centre; empty if it is not known.
	Region fleet.Region
	// OutOfDate reports whether the node may not know yet that the instance must get no calls.
	// They are returned as not run then; nil means that it knows.
	OutOfDate func() bool
	// OnStart is called for each call that got a slot, with the time at which the
	// call expires. The function that it returns is called when the call ends.
	// OnStart may be nil.
	OnStart func(run *linkrpc.Run, expires time.Time) (ended func())
	// OnDecision is called at the end of each call; nil is allowed.
	OnDecision func(d *Decision)
	// OnRateLimit is called when the instance names another rate limit than before, with
	// the limit in force, in calls per second, or 0, and when it names one that cannot be
	// read. It may be nil.
	OnRateLimit func(a instance.Announcement, rate float64)
	// OnLeaving is called for each response in which the instance says that it leaves. It
	// closes the gate before it returns. It may be nil.
	OnLeaving func(a instance.Announcement)
	// ColdRate returns the calls per second that a cold instance takes, or 0, and whether that
	// limit applies to a warm one too; nil means that there is no such limit.
	ColdRate func() (rate float64, evenIfWarm bool)
	// ColdBound bounds the calls to a cold instance.
	ColdBound ColdBound
	// SlowStart limits the rate of an instance that says that it is cold, whose gate opens
	// again, or whose named limit has ended, to what it takes by how it responds.
	SlowStart bool
	// OnColdUnknown is called when a health check is to tell whether the instance is cold. It
	// may be nil, must not block and must not call methods of the gate.
	OnColdUnknown func()

	// Outgoing is told of the calls that the instance makes.
	Outgoing OutgoingCalls
	// MaxRetainedBytes bounds the bodies of the retained outcomes; 0 means
	// maxRetainedBytes.
	MaxRetainedBytes int

	Slots    Slots
	results  resultMeter
	limit    rateLimit
	attempts attemptTable
	local    atomic.Pointer[LocalInstance]
	draining atomic.Bool
	// suspended is set by SetSuspended.
	suspended atomic.Bool
	// slotsMu is held while the slots are opened or closed, so that an older state of the
	// gate is not applied last.
	slotsMu sync.Mutex
	// givenUp is set by GiveUp.
	givenUp atomic.Bool
}

// Decision describes a call that has ended at the gate.
type Decision struct {
	Run     *linkrpc.Run
	Outcome *linkrpc.Outcome
	// Waited is how long the call waited for a slot, and Ran how long it held one.
	Waited, Ran time.Duration
	// Cause is the error of a call that the instance did not answer, or nil.
	Cause error
	// Arrived is when the gate began to handle the call. SentAt is when the call was
	// first sent to the instance, and CancelledAt when the node read that its caller had
	// left; they are zero for a call that was not sent, or not cancelled.
	Arrived, SentAt, CancelledAt time.Time
}

// SentCancelled reports whether the call was sent although its caller was known to have
// left.
func (d *Decision) SentCancelled() bool {
	return !d.SentAt.IsZero() && !d.CancelledAt.IsZero() && d.CancelledAt.Before(d.SentAt)
}

// Init prepares the gate. It must be called once, before any other method.
func (g *Gate) Init() {
	g.Slots.Clock = g.Clock
	g.attempts.Clock, g.attempts.MaxRetainedBytes = g.Clock, g.MaxRetainedBytes
	if g.SlowStart {
		g.limit.slots = g.expectedRun
	}
	g.limit.coldRate, g.limit.bound = g.ColdRate, g.ColdBound
	g.Instance.OnAnnouncement, g.Instance.BeforeSend, g.Instance.OnBroken = g.handleAnnouncement, g.checkSend, g.handleBroken
}

// handleAnnouncement applies what the instance says of itself in a response.
func (g *Gate) handleAnnouncement(a instance.Announcement) {
	local := g.local.Load()
	if local == nil || string(local.ID) != a.Instance {
		return
	}
	if a.Leaving && g.OnLeaving != nil {
		g.OnLeaving(a)
	}
	if (g.limit.observe(a) || a.Err != nil) && g.OnRateLimit != nil {
		g.OnRateLimit(a, g.limit.namedRate())
	}
}

// LocalInstance returns the instance, or nil before SetLocalInstance.
func (g *Gate) LocalInstance() *LocalInstance { return g.local.Load() }

// SetLocalInstance sets the state of the instance. If it is closed, no further
// call is admitted after this returns.
func (g *Gate) SetLocalInstance(local *LocalInstance) {
	previous := g.local.Swap(local)
	if previous == nil || previous.Incarnation() != local.Incarnation() {
		g.limit.reset(g.Clock.Now())
		g.limit.begin(ColdReport{Incarnation: local.Incarnation(), Known: true, Until: local.ColdUntil, At: g.Clock.Now()})
		g.results.reset()
	}
	if previous != nil && local.Open && !previous.Open && !previous.Leaving {
		g.limit.reopen()
	}
	g.Slots.SetLimit(max(1, int(float64(local.Slots)*usableSlotFraction)))
	g.updateSlots()
}

// Drain closes the gate permanently, for the shutdown of the node. Running calls
// continue.
func (g *Gate) Drain() {
	g.draining.Store(true)
	g.updateSlots()
}

// GiveUp cancels the running calls for the end of the node; call Drain before. They end
// as lost, not as expired, so that the entrance learns at once that they may have run.
func (g *Gate) GiveUp() {
	g.givenUp.Store(true)
	g.attempts.cancelRunning()
}

// SetSuspended closes the gate until it is called again with false, whatever the state of
// the instance. Calls that wait are returned as not run; running ones continue. It reports
// whether that is a change.
func (g *Gate) SetSuspended(suspended bool) bool {
	if g.suspended.Swap(suspended) == suspended {
		return false
	}
	g.updateSlots()
	return true
}

func (g *Gate) updateSlots() {
	g.slotsMu.Lock()
	defer g.slotsMu.Unlock()
	if g.IsOpen() {
		g.Slots.Open()
	} else {
		g.Slots.Close()
	}
}

// IsOpen reports whether the gate accepts new calls.
func (g *Gate) IsOpen() bool {
	local := g.local.Load()
	return local != nil && local.Open && !g.draining.Load() && !g.suspended.Load()
}

// Load returns the current load as the message that peers receive.
func (g *Gate) Load() *linkrpc.Load {
	slots := g.Slots.Load()
	load := &linkrpc.Load{
		InFlight: uint32(max(slots.InFlight, 0)), Limit: uint32(max(slots.Limit, 0)), Queued: uint32(slots.Queued),
		RunUs: uint32(slots.MeanSlotTime.Microseconds()), Closed: !g.IsOpen(),
	}
	if local := g.local.Load(); local != nil && local.Leaving {
		load.LeavingInstance, load.LeavingStartUnixMs = string(local.ID), local.StartUnixMs
	}
	g.limit.applyTo(load, g.Clock.Now(), slots.MeanSlotTime)
	g.results.applyTo(load, g.Clock.Now())
	return load
}

// Pace returns the rate at which calls are sent at most, in calls per second, or 0 for no limit.
func (g *Gate) Pace() float64 { return g.limit.rateAt(g.Clock.Now()) }

// RateLimit returns the rate limit that the instance names in calls per second, or 0.
func (g *Gate) RateLimit() float64 { return g.limit.namedRate() }

// NotRunOutcome returns the outcome of a call that was not run and never will be.
func NotRunOutcome(reason linkrpc.Reason) *linkrpc.Outcome {
	return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_NOT_RUN, Reason: reason}
}

// LostOutcome returns the outcome of a call that was sent to the instance and may
// have run.
func LostOutcome(reason linkrpc.Reason) *linkrpc.Outcome {
	return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_LOST, Reason: reason}
}

// Run runs a call and returns its outcome. When wanted ends, the caller no longer waits,
// and the call is not sent to the instance any more, or aborted. When connection ends,
// the outcome cannot be returned. The call then continues for OrphanTimeout, so that the
// entrance can query its outcome over a new connection. The memory for the body stays reserved
// until ReleaseBody.
func (g *Gate) Run(wanted, connection context.Context, run *linkrpc.Run) *linkrpc.Outcome {
	ctx, cancel := context.WithCancel(wanted)
	defer cancel()
	a, rejected := g.attempts.begin(attemptKey{id: run.Attempt, entrance: run.Entrance}, cancel)
	if rejected != nil {
		return rejected
	}
	stopWatching := context.AfterFunc(connection, func() { g.handleOrphan(a, cancel) })
	defer stopWatching()
	outcome := g.process(ctx, run)
	outcome.Load = g.Load()
	g.attempts.end(a, outcome)
	return outcome
}

// ReleaseBody ends the reservation for the body of an outcome that Run has returned.
func (g *Gate) ReleaseBody(outcome *linkrpc.Outcome) { g.Instance.ReleaseBody(outcome.Body) }

// handleOrphan cancels a call whose connection was lost after OrphanTimeout, unless a
// query waits for its outcome.
func (g *Gate) handleOrphan(a *attempt, cancel context.CancelFunc) {
	g.Clock.AfterFunc(OrphanTimeout, func() {
		if !g.attempts.hasWaiters(a) {
			cancel()
		}
	})
}

// QueryOutcome returns the outcome of an attempt and waits for it while the
// attempt runs. An unknown attempt is fenced, so that it is never run if it
// arrives later; its outcome is "not run" only if the gate cannot have forgotten it, and
// "lost" otherwise. QueryOutcome returns nil if ctx ends first.
func (g *Gate) QueryOutcome(ctx context.Context, query *linkrpc.Ask) *linkrpc.Outcome {
	a, outcome := g.attempts.findOrFence(attemptKey{id: query.Attempt, entrance: query.Entrance})
	if a == nil {
		return outcome
	}
	select {
	case <-a.done:
		return a.outcome
	case <-ctx.Done():
		g.attempts.removeWaiter(a)
		return nil
	}
}

// process admits a call, runs it and reports its outcome to OnDecision.
func (g *Gate) process(ctx context.Context, run *linkrpc.Run) *linkrpc.Outcome {
	d := &Decision{Run: run, Arrived: g.Clock.Now()}
	var started time.Time
	d.Outcome, started = g.admit(ctx, run, d.Arrived)
	d.Waited = started.Sub(d.Arrived)
	if d.Outcome == nil {
		if err := recovery.Run("the execution of a call", func() { d.Outcome, d.Cause = g.execute(ctx, d) }); err != nil {
			d.Outcome, d.Cause = LostOutcome(linkrpc.Reason_REASON_BROKEN), err
		}
		d.Ran = g.Clock.Now().Sub(started)
		g.Slots.Release(g.measure(ctx, d))
		if d.SentAt.IsZero() {
			g.limit.giveBack()
		}
	}
	g.learnFrom(d, errors.Is(ctx.Err(), context.Canceled))
	if g.OnDecision != nil {
		var cancelled *link.CancelledError
		if errors.As(context.Cause(ctx), &cancelled) {
			d.CancelledAt = cancelled.At
		}
		g.OnDecision(d)
	}
	return d.Outcome
}

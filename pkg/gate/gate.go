// Package gate decides what runs on the instance beside a node. Every call for
// that instance passes its gate, which alone knows what is in flight there.
package gate

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/waitqueue"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

const (
	// orphanTime is how long a run whose connection is lost goes on before
	// somebody asks for it.
	orphanTime = 1500 * time.Millisecond
	// deadlineMargin is how much longer than the instance a gate waits for an answer.
	deadlineMargin = 150 * time.Millisecond
	// usedSlots is the part of its slots that an instance is given: many slow down
	// when they are nearly full.
	usedSlots = 0.945
	// leastTime is the least time worth starting a call for.
	leastTime = time.Millisecond
)

// Headers names the headers that the gate sets towards the instance.
type Headers struct {
	Deadline, Expected, Organisation, CallerService string
}

// Self is the instance beside the node. It never changes once published.
type Self struct {
	ID      fleet.InstanceName
	Service fleet.ServiceName
	Slots   int
	// Open tells whether the instance takes new calls.
	Open bool
}

// Gate guards one instance. Set the exported fields before use.
type Gate struct {
	Clock    clock.Clock
	Headers  Headers
	Instance *instance.Client
	// View returns the configuration in force, or nil.
	View func() *routing.View
	// Started is told of each call that gets a slot and when it expires; what it
	// returns is called when the call ends. Nil is allowed.
	Started func(run *linkrpc.Run, expires time.Time) (ended func())
	// Decided is told of each outcome; nil is allowed.
	Decided func(run *linkrpc.Run, outcome *linkrpc.Outcome, waited, ran time.Duration, cause error)

	Slots    Slots
	attempts attempts
	self     atomic.Pointer[Self]
	leaving  atomic.Bool
}

// Init prepares the parts. Call it once, after the fields are set.
func (g *Gate) Init() {
	g.Slots.Clock = g.Clock
	g.attempts.Clock = g.Clock
}

// Self returns the instance, or nil before it announced itself.
func (g *Gate) Self() *Self { return g.self.Load() }

// Announce takes what the instance says of itself. A closed instance gets no
// call that has not started, from the moment this returns.
func (g *Gate) Announce(s *Self) {
	g.self.Store(s)
	g.Slots.SetLimit(max(1, int(float64(s.Slots)*usedSlots)))
	g.update()
}

// Leave closes the gate for good: the node stops.
func (g *Gate) Leave() {
	g.leaving.Store(true)
	g.update()
}

func (g *Gate) update() {
	if s := g.self.Load(); s != nil && s.Open && !g.leaving.Load() {
		g.Slots.Open()
	} else {
		g.Slots.Close()
	}
}

// Open tells whether the gate takes new calls.
func (g *Gate) Open() bool {
	s := g.self.Load()
	return s != nil && s.Open && !g.leaving.Load()
}

// Load returns the load in the form that peers read.
func (g *Gate) Load() *linkrpc.Load {
	l := g.Slots.Load()
	return &linkrpc.Load{
		InFlight: uint32(max(l.InFlight, 0)), Limit: uint32(max(l.Limit, 0)), Queued: uint32(l.Queued),
		RunUs: uint32(l.MeanSlotTime.Microseconds()), Closed: !g.Open(),
	}
}

// NotRun is the outcome of a call that has not run and never will.
func NotRun(reason linkrpc.Reason) *linkrpc.Outcome {
	return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_NOT_RUN, Reason: reason}
}

// Lost is the outcome of a call that was sent and may have run.
func Lost(reason linkrpc.Reason) *linkrpc.Outcome {
	return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_LOST, Reason: reason}
}

// Run runs a call of a peer. When ctx ends because the connection is lost, the
// run goes on for a while for an entrance that asks.
func (g *Gate) Run(ctx context.Context, run *linkrpc.Run) *linkrpc.Outcome {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	a, fresh := g.attempts.begin(run.Attempt, cancel)
	if !fresh {
		return NotRun(linkrpc.Reason_REASON_SEALED)
	}
	stop := context.AfterFunc(ctx, func() { g.orphan(ctx, a, cancel) })
	defer stop()
	outcome := g.decide(work, run)
	outcome.Load = g.Load()
	g.attempts.end(run.Attempt, a, outcome)
	return outcome
}

// orphan ends a run that nobody waits for: at once where the peer said so,
// after a while where the connection was lost.
func (g *Gate) orphan(ctx context.Context, a *attempt, cancel context.CancelFunc) {
	var cancelled *link.CancelledError
	if errors.As(context.Cause(ctx), &cancelled) {
		cancel()
		return
	}
	g.Clock.AfterFunc(orphanTime, func() {
		if !g.attempts.wanted(a) {
			cancel()
		}
	})
}

// Ask returns what became of an attempt, waiting while it runs. An attempt that
// has not arrived is sealed: it never runs.
func (g *Gate) Ask(ctx context.Context, ask *linkrpc.Ask) *linkrpc.Outcome {
	a := g.attempts.ask(ask.Attempt)
	if a == nil {
		return NotRun(linkrpc.Reason_REASON_SEALED)
	}
	select {
	case <-a.done:
		return a.outcome
	case <-ctx.Done():
		g.attempts.leave(a)
		return nil
	}
}

// decide admits a call and runs it.
func (g *Gate) decide(ctx context.Context, run *linkrpc.Run) *linkrpc.Outcome {
	arrived := g.Clock.Now()
	outcome, started, cause := g.admit(ctx, run, arrived)
	waited := started.Sub(arrived)
	ran := time.Duration(0)
	if outcome == nil {
		outcome, cause = g.execute(ctx, run, arrived)
		ran = g.Clock.Now().Sub(started)
		held := ran
		if outcome.Fate != linkrpc.Fate_FATE_ANSWERED {
			held = 0
		}
		g.Slots.Release(held)
	}
	if g.Decided != nil {
		g.Decided(run, outcome, waited, ran, cause)
	}
	return outcome
}

// admit returns nil once the call holds a slot, or the outcome of a call that
// was turned away.
func (g *Gate) admit(ctx context.Context, run *linkrpc.Run, arrived time.Time) (*linkrpc.Outcome, time.Time, error) {
	if reason := g.refuse(run); reason != linkrpc.Reason_REASON_NONE {
		return NotRun(reason), arrived, nil
	}
	patience := time.Duration(min(run.PatienceUs, run.RemainingUs)) * time.Microsecond
	verdict := g.Slots.Take(ctx, waitqueue.RankOf(arrived, patience, run.Priority), patience)
	now := g.Clock.Now()
	switch verdict {
	case waitqueue.VerdictFull:
		return NotRun(linkrpc.Reason_REASON_FULL), now, nil
	case waitqueue.VerdictClosed:
		return NotRun(linkrpc.Reason_REASON_CLOSED), now, nil
	case waitqueue.VerdictCancelled:
		return NotRun(linkrpc.Reason_REASON_CANCELLED), now, nil
	}
	// What the call was admitted by may have changed while it waited.
	if reason := g.refuse(run); reason != linkrpc.Reason_REASON_NONE {
		g.Slots.Release(0)
		return NotRun(reason), now, nil
	}
	return nil, now, nil
}

// refuse returns why a call must not run here, or REASON_NONE.
func (g *Gate) refuse(run *linkrpc.Run) linkrpc.Reason {
	s := g.self.Load()
	switch {
	case !g.Open():
		return linkrpc.Reason_REASON_CLOSED
	case string(s.Service) != run.Service, run.Instance != "" && string(s.ID) != run.Instance:
		return linkrpc.Reason_REASON_NOT_HERE
	case !g.allowed(run):
		return linkrpc.Reason_REASON_STALE
	}
	return linkrpc.Reason_REASON_NONE
}

// allowed checks a call that was decided by an older configuration against the
// one in force here.
func (g *Gate) allowed(run *linkrpc.Run) bool {
	view := g.View()
	if view == nil || uint64(view.Version) <= run.ConfigVersion {
		return true
	}
	path := pathOf(run.Target)
	route := view.Lookup(run.Host, path)
	if route == nil || !route.RoutesTo(fleet.ServiceName(run.Service)) {
		return false
	}
	if !view.NeedsKey(route) {
		return true
	}
	if len(run.Key) != len(routing.KeyDigest{}) {
		return false
	}
	holder := view.OrganisationByKey(routing.KeyDigest(run.Key))
	return holder != nil && string(holder.ID) == run.Organisation
}

func pathOf(target string) string {
	for i := range len(target) {
		if target[i] == '?' {
			return target[:i]
		}
	}
	return target
}

// execute sends the call to the instance.
func (g *Gate) execute(ctx context.Context, run *linkrpc.Run, arrived time.Time) (*linkrpc.Outcome, error) {
	left := time.Duration(run.RemainingUs)*time.Microsecond - g.Clock.Now().Sub(arrived)
	if left < leastTime {
		return NotRun(linkrpc.Reason_REASON_EXPIRED), nil
	}
	ctx, cancel := context.WithTimeout(ctx, left+deadlineMargin)
	defer cancel()
	if g.Started != nil {
		defer g.Started(run, g.Clock.Now().Add(left))()
	}
	s := g.self.Load()
	call := &instance.Call{
		Method: run.Method, Target: run.Target, Host: run.Host, Body: run.Body,
		Idempotent: run.Idempotent, RequestID: run.Request, ExpectedInstance: string(s.ID), Headers: g.headers(run, s, left),
	}
	answer, err := g.Instance.Do(ctx, call)
	var unsent *instance.NotSentError
	var rejected *instance.RejectedError
	switch {
	case err == nil:
		return &linkrpc.Outcome{
			Fate: linkrpc.Fate_FATE_ANSWERED, Status: uint32(answer.Status), Headers: answer.Headers, Body: answer.Body,
		}, nil
	case errors.As(err, &unsent):
		return NotRun(linkrpc.Reason_REASON_BROKEN), err
	case errors.As(err, &rejected):
		return NotRun(linkrpc.Reason_REASON_REJECTED), err
	case ctx.Err() != nil:
		return Lost(linkrpc.Reason_REASON_EXPIRED), err
	}
	return Lost(linkrpc.Reason_REASON_BROKEN), err
}

// headers adds what the instance is told by the node itself.
func (g *Gate) headers(run *linkrpc.Run, s *Self, left time.Duration) []string {
	list := make([]string, len(run.Headers), len(run.Headers)+8)
	copy(list, run.Headers)
	list = append(list, g.Headers.Deadline, strconv.FormatInt(left.Milliseconds(), 10),
		g.Headers.Expected, string(s.ID), g.Headers.CallerService, run.CallerService)
	if run.Organisation != "" {
		list = append(list, g.Headers.Organisation, run.Organisation)
	}
	return list
}

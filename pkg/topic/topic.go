// Package topic follows compacted topics of the platform's log, in which the newest
// record of each key replaces all earlier ones: the configuration, and the
// directory of instances.
package topic

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/recovery"
	"github.com/plantainramp/plantainramp/pkg/uptime"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed read, which
	// doubles with each failure.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

type (
	// Offset numbers the records of a topic. After the log was restored from a copy, the
	// offsets of lost records are assigned again.
	Offset int64
	// Era rises by one each time the log is restored from a copy.
	Era int64
	// Position is a place in a topic. An offset alone is one only within one era.
	Position struct {
		Era    Era
		Offset Offset
	}
	// Record sets the value of a key. An empty value deletes the key.
	Record struct {
		Key   string
		Value []byte
	}
	// Source reads one topic. Its functions return *TruncatedError when the
	// requested records have been removed from the log, and *RestoredError when the
	// log is of another era than the position or the earlier part of the result.
	Source struct {
		// Newest returns the newest record of each key, and the position from which
		// to read on: all records before it are reflected in the result.
		Newest func(ctx context.Context) ([]Record, Position, error)
		// Read returns the records from a position on, and the position after them.
		// Without any, it waits up to the given duration for the first to arrive.
		Read func(ctx context.Context, from Position, wait time.Duration) ([]Record, Position, error)
	}
)

// TruncatedError reports a read of records that have been removed from the log.
type TruncatedError struct {
	// From is the offset at which the read began.
	From Offset
}

// Error implements error.
func (e *TruncatedError) Error() string { return "requested records have been removed from the topic" }

// RestoredError reports a read at a position of one era from a log of another, in which
// the position has no meaning.
type RestoredError struct {
	// From is the era of the position, and Now that of the log.
	From, Now Era
}

// Error implements error.
func (e *RestoredError) Error() string {
	return fmt.Sprintf("the log has been restored from a copy: it is in era %d, the read began in era %d", e.Now, e.From)
}

// InterruptedError reports a read that Follower.Interrupt cancelled.
type InterruptedError struct{}

// Error implements error.
func (e *InterruptedError) Error() string { return "the read was interrupted" }

// Follower passes the records of a topic to Apply as they are written. Set the
// exported fields before Run.
type Follower struct {
	Source Source
	Clock  clock.Clock
	Uptime uptime.Source
	Logger *logs.Logger
	// PollWait bounds how long one read waits for records. It is also the interval
	// at which Age is reset while nothing is written to the topic.
	PollWait time.Duration
	// PollMargin is how much longer than PollWait a read may take before it fails.
	PollMargin time.Duration
	// BatchDelay is the delay after a read that returned records, so that the next
	// one returns several records at once; 0 means none.
	BatchDelay time.Duration
	// Apply receives records in order. If full is true, they are the newest records
	// of all keys in the topic and replace everything applied before.
	Apply func(records []Record, full bool)
	// StartDelay is the delay after the newest records were read, in which the nodes that
	// start at the same time become known, so that a peer can be asked; 0 means none.
	StartDelay time.Duration
	// Relay asks peers before the store; nil means that only the store is read.
	Relay Relay
	// OnFailure is called at the first of consecutive failed reads, OnRecovery at
	// the next successful one; nil is allowed.
	OnFailure, OnRecovery func()
	// OnRestore is called when the log was found restored from a copy, before its newest
	// records are applied; nil is allowed.
	OnRestore func()

	// history is what peers may ask for.
	history history
	// confirmedAt is the uptime, in nanoseconds, at which the store has confirmed the
	// applied records: when the last successful read was sent, or earlier if a peer
	// answered it. It is valid once synced is set.
	confirmedAt atomic.Int64
	// askedAt is the uptime, in nanoseconds, at which the newest read with a result was sent.
	askedAt atomic.Int64
	// failedAt is the uptime, in nanoseconds, of the last failed read of the store; it is
	// valid while storeFailed is set: no read of the store has succeeded since.
	failedAt    atomic.Int64
	storeFailed atomic.Bool
	// synced reports whether any read has succeeded.
	synced atomic.Bool
	// failing reports whether the last read failed, and interrupted whether Interrupt was
	// called since it began; only Run uses them.
	failing, interrupted bool
	// interruptWanted is set by Interrupt until the next read begins.
	interruptWanted atomic.Bool
	// cancelRead cancels the read in progress.
	cancelRead atomic.Pointer[context.CancelCauseFunc]
}

// Age returns how far the applied records may lag behind the topic: the time since
// the last successful read of the store, by this node or by the peer that it asked, was
// sent. It returns false before the first one. It is
// safe for concurrent use.
func (f *Follower) Age() (time.Duration, bool) {
	if !f.synced.Load() {
		return 0, false
	}
	return f.Uptime() - time.Duration(f.confirmedAt.Load()), true
}

// StoreFailedWithin reports whether the last read of the store by this node failed, not
// longer ago than the given time. It is safe for concurrent use.
func (f *Follower) StoreFailedWithin(d time.Duration) bool {
	return f.storeFailed.Load() && f.Uptime()-time.Duration(f.failedAt.Load()) < d
}

// Interrupt cancels the read in progress, whose connection may be unresponsive, so
// that Run reads again. It is safe for concurrent use.
func (f *Follower) Interrupt() {
	f.interruptWanted.Store(true)
	if cancel := f.cancelRead.Load(); cancel != nil {
		(*cancel)(&InterruptedError{})
	}
}

// Run follows the topic until ctx ends. It starts with the newest record of each
// key, and again whenever the records to read next have been removed or the log has
// been restored from a copy.
func (f *Follower) Run(ctx context.Context) {
	defer f.history.lose()
	next, hasSnapshot, hasReadOn := Position{}, false, false
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		sentAt := f.Uptime()
		result, err := f.poll(ctx, next, hasSnapshot)
		end := result.end
		if ctx.Err() != nil {
			return
		}
		var interrupted *InterruptedError
		switch {
		case errors.As(err, &interrupted):
		case hasSnapshot && needsSnapshot(err):
			f.Logger.WithError(err).WithField("era", next.Era).WithField("from", next.Offset).Info("the log cannot be read on; reading the newest record of each key")
			hasSnapshot = false
			if hasReadOn {
				continue
			}
			// The log could not be read on after a snapshot either.
			if clock.Sleep(ctx, f.Clock, retryDelay) != nil {
				return
			}
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case err != nil:
			f.recordFailure(err, sentAt)
			if clock.Sleep(ctx, f.Clock, retryDelay) != nil {
				return
			}
			retryDelay = min(2*retryDelay, maxRetryDelay)
		default:
			pause := time.Duration(0)
			switch {
			case !hasSnapshot:
				pause = f.StartDelay
			case end != next:
				pause = f.BatchDelay
			}
			if hasReadOn = hasSnapshot; hasReadOn {
				retryDelay = minRetryDelay
			}
			f.remember(result, hasSnapshot, sentAt)
			next, hasSnapshot = end, true
			f.recordSuccess(result, sentAt)
			if pause > 0 && clock.Sleep(ctx, f.Clock, pause) != nil {
				return
			}
		}
	}
}

// needsSnapshot reports whether a read failed because its position is no longer one in
// the log.
func needsSnapshot(err error) bool {
	var truncated *TruncatedError
	var restored *RestoredError
	return errors.As(err, &truncated) || errors.As(err, &restored)
}

// readResult is the result of a successful read.
type readResult struct {
	records []Record
	end     Position
	// relayed is the answer of the peer that was asked, or nil if it was the store.
	relayed *Relayed
}

// confirmedBy returns the uptime at which the store confirmed a result.
func (f *Follower) confirmedBy(result readResult, sentAt time.Duration) time.Duration {
	if result.relayed == nil {
		return sentAt
	}
	return f.relayedAt(sentAt, result.relayed)
}

// remember keeps a result for the questions of peers.
func (f *Follower) remember(result readResult, hasSnapshot bool, sentAt time.Duration) {
	if hasSnapshot {
		f.history.add(result.records, result.end, f.confirmedBy(result, sentAt))
		return
	}
	f.history.reset(result.end, sentAt)
}

// poll makes one read and applies its records.
func (f *Follower) poll(ctx context.Context, next Position, hasSnapshot bool) (readResult, error) {
	ctx, interrupt := context.WithCancelCause(ctx)
	defer interrupt(nil)
	f.cancelRead.Store(&interrupt)
	f.interrupted = f.interruptWanted.Swap(false)
	result, err := f.read(ctx, next, hasSnapshot)
	var interrupted *InterruptedError
	if err != nil && errors.As(context.Cause(ctx), &interrupted) {
		return result, interrupted
	}
	return result, err
}

func (f *Follower) read(ctx context.Context, next Position, hasSnapshot bool) (readResult, error) {
	if !hasSnapshot {
		ctx, cancel := context.WithTimeout(ctx, f.PollWait+f.PollMargin)
		defer cancel()
		records, end, err := f.Source.Newest(ctx)
		if err == nil {
			f.applySnapshot(records, end.Era != next.Era)
		}
		return readResult{end: end}, err
	}
	started := f.Uptime()
	if r := f.askPeer(ctx, next); r != nil {
		f.applyBatch(r.Records)
		return readResult{records: r.Records, end: r.End, relayed: r}, nil
	}
	wait := max(f.PollWait-(f.Uptime()-started), 0)
	if f.failing || f.interrupted || f.isLate() {
		// The response shows at once whether the store answers, and its era.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+f.PollMargin)
	defer cancel()
	records, end, err := f.Source.Read(ctx, next, wait)
	if err == nil {
		f.applyBatch(records)
	}
	return readResult{records: records, end: end}, err
}

func (f *Follower) applyBatch(records []Record) {
	if len(records) > 0 {
		f.apply(records, false)
	}
}

// apply passes records to Apply. Records on which it panics are left out.
func (f *Follower) apply(records []Record, full bool) {
	err := recovery.Run("the records of a topic", func() { f.Apply(records, full) })
	var panicked *recovery.PanicError
	if errors.As(err, &panicked) {
		f.Logger.WithError(err).WithField("stack", string(panicked.Stack)).Error("records left out")
	}
}

// recordSuccess updates the age after a read that was sent at sentAt. Whether the store
// answers this node is known only if it was asked.
func (f *Follower) recordSuccess(result readResult, sentAt time.Duration) {
	confirmedAt := f.confirmedBy(result, sentAt)
	// A peer may know of an older confirmation than this node.
	if !f.synced.Load() || confirmedAt > time.Duration(f.confirmedAt.Load()) {
		f.confirmedAt.Store(int64(confirmedAt))
	}
	f.askedAt.Store(max(f.askedAt.Load(), int64(confirmedAt)))
	f.synced.Store(true)
	if f.failing && result.relayed == nil {
		f.failing = false
		f.storeFailed.Store(false)
		f.Logger.WithField("era", result.end.Era).WithField("offset", result.end.Offset).Info("the store answers again")
		if f.OnRecovery != nil {
			f.OnRecovery()
		}
	}
}

// applySnapshot applies the newest record of each key. newEra reports whether the log is
// in another era than that of the records applied before, if there were any.
func (f *Follower) applySnapshot(records []Record, newEra bool) {
	if newEra && f.synced.Load() && f.OnRestore != nil {
		f.OnRestore()
	}
	f.apply(records, true)
}

func (f *Follower) recordFailure(err error, sentAt time.Duration) {
	f.askedAt.Store(int64(sentAt))
	f.failedAt.Store(int64(f.Uptime()))
	f.storeFailed.Store(true)
	if f.failing {
		return
	}
	f.failing = true
	f.history.lose()
	f.Logger.WithError(err).Warn("the store does not answer")
	if f.OnFailure != nil {
		f.OnFailure()
	}
}

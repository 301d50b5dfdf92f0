// Package keyed follows topics of the platform's log in which the newest record
// of each key counts: the configuration, and the directory of instances.
package topic

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/uptime"
)

const (
	// minRetryDelay and retryMost bound the pause after a failed read.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 600 * time.Millisecond
)

type (
	// Offset numbers the records of a topic.
	Offset int64
	// Record is the value of a key; an empty value drops the key.
	Record struct {
		Key   string
		Value []byte
	}
	// Source reads one topic. Its functions return *GoneError where the
	// records asked for are no longer kept.
	Source struct {
		// Newest returns the newest record of each key, and an offset such that
		// everything before it is covered.
		Newest func(ctx context.Context) ([]Record, Offset, error)
		// Read returns the records from an offset, waiting for the first up to
		// a time, and the offset that follows them.
		Read func(ctx context.Context, from Offset, wait time.Duration) ([]Record, Offset, error)
	}
)

// TruncatedError reports that records were asked for that are no longer kept.
type TruncatedError struct {
	From Offset
}

// Error implements error.
func (e *TruncatedError) Error() string { return "records of the topic are no longer kept" }

// Follower keeps up with a topic. Set its fields before Run.
type Follower struct {
	Source Source
	Clock  clock.Clock
	Uptime uptime.Source
	Logger *logs.Logger
	// PollWait bounds how long one read waits for records; it is also how often
	// the knowledge of a quiet topic is confirmed.
	PollWait time.Duration
	// PollMargin is what a read may take beyond its wait.
	PollMargin time.Duration
	// BatchDelay is the pause after records were read, in which more may come.
	BatchDelay time.Duration
	// Apply receives records in order. All tells that they are the newest of
	// every key that the topic holds.
	Apply func(records []Record, full bool)
	// OnFailure and OnRecovery are called when reads begin to fail and succeed; nil is allowed.
	OnFailure, OnRecovery func()

	// confirmedAt is the uptime, in nanoseconds, at which the last successful read was sent.
	confirmedAt atomic.Int64
	synced      atomic.Bool
	failing     bool
	// cancelRead ends the read that is under way.
	cancelRead atomic.Pointer[context.CancelFunc]
}

// Age returns how old the knowledge of the topic may be, and false where the
// topic has never been read.
func (f *Follower) Age() (time.Duration, bool) {
	if !f.synced.Load() {
		return 0, false
	}
	return f.Uptime() - time.Duration(f.confirmedAt.Load()), true
}

// Interrupt ends the read that is under way, whose connection may have gone
// silent, and has it made again.
func (f *Follower) Interrupt() {
	if cancel := f.cancelRead.Load(); cancel != nil {
		(*cancel)()
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next, hasSnapshot := Offset(0), false
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		sentAt := f.Uptime()
		end, err := f.poll(ctx, next, hasSnapshot)
		if ctx.Err() != nil {
			return
		}
		var truncated *TruncatedError
		switch {
		case errors.As(err, &truncated):
			f.Logger.WithField("from", truncated.From).Info("records are gone; reading the newest of each key")
			hasSnapshot = false
		case err != nil:
			f.recordFailure(err)
			if clock.Sleep(ctx, f.Clock, retryDelay) != nil {
				return
			}
			retryDelay = min(2*retryDelay, maxRetryDelay)
		default:
			batch := hasSnapshot && end != next
			next, hasSnapshot, retryDelay = end, true, minRetryDelay
			f.recordSuccess(sentAt)
			if batch && f.BatchDelay > 0 && clock.Sleep(ctx, f.Clock, f.BatchDelay) != nil {
				return
			}
		}
	}
}

func (f *Follower) poll(ctx context.Context, next Offset, hasSnapshot bool) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, f.PollWait+f.PollMargin)
	defer cancel()
	f.cancelRead.Store(&cancel)
	if !hasSnapshot {
		records, end, err := f.Source.Newest(ctx)
		if err == nil {
			f.Apply(records, true)
		}
		return end, err
	}
	records, end, err := f.Source.Read(ctx, next, f.PollWait)
	if err == nil && len(records) > 0 {
		f.Apply(records, false)
	}
	return end, err
}

func (f *Follower) recordSuccess(sentAt time.Duration) {
	f.confirmedAt.Store(int64(sentAt))
	f.synced.Store(true)
	if f.failing {
		f.failing = false
		f.Logger.Info("the store answers again")
		if f.OnRecovery != nil {
			f.OnRecovery()
		}
	}
}

func (f *Follower) recordFailure(err error) {
	if f.failing {
		return
	}
	f.failing = true
	f.Logger.WithError(err).Warn("the store does not answer")
	if f.OnFailure != nil {
		f.OnFailure()
	}
}

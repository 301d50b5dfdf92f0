// Package keyed follows topics of the platform's log in which the newest record
// of each key counts: the configuration, and the directory of instances.
package keyed

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
	// retryLeast and retryMost bound the pause after a failed read.
	retryLeast = 150 * time.Millisecond
	retryMost  = 600 * time.Millisecond
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

// GoneError reports that records were asked for that are no longer kept.
type GoneError struct {
	From Offset
}

// Error implements error.
func (e *GoneError) Error() string { return "records of the topic are no longer kept" }

// Follower keeps up with a topic. Set its fields before Run.
type Follower struct {
	Source Source
	Clock  clock.Clock
	Uptime uptime.Source
	Logger *logs.Logger
	// Wait bounds how long one read waits for records; it is also how often
	// the knowledge of a quiet topic is confirmed.
	Wait time.Duration
	// Slack is what a read may take beyond its wait.
	Slack time.Duration
	// Settle is the pause after records were read, in which more may come.
	Settle time.Duration
	// Apply receives records in order. All tells that they are the newest of
	// every key that the topic holds.
	Apply func(records []Record, all bool)
	// Lost and Regained are called when reads begin to fail and succeed; nil is allowed.
	Lost, Regained func()

	// confirmed is the uptime, in nanoseconds, at which the last successful read was sent.
	confirmed atomic.Int64
	known     atomic.Bool
	failing   bool
	// interrupt ends the read that is under way.
	interrupt atomic.Pointer[context.CancelFunc]
}

// Age returns how old the knowledge of the topic may be, and false where the
// topic has never been read.
func (f *Follower) Age() (time.Duration, bool) {
	if !f.known.Load() {
		return 0, false
	}
	return f.Uptime() - time.Duration(f.confirmed.Load()), true
}

// Interrupt ends the read that is under way, whose connection may have gone
// silent, and has it made again.
func (f *Follower) Interrupt() {
	if cancel := f.interrupt.Load(); cancel != nil {
		(*cancel)()
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	next, whole := Offset(0), false
	pause := retryLeast
	for ctx.Err() == nil {
		sent := f.Uptime()
		end, err := f.step(ctx, next, whole)
		if ctx.Err() != nil {
			return
		}
		var gone *GoneError
		switch {
		case errors.As(err, &gone):
			f.Logger.WithField("from", gone.From).Info("records are gone; reading the newest of each key")
			whole = false
		case err != nil:
			f.noteFailure(err)
			if clock.Sleep(ctx, f.Clock, pause) != nil {
				return
			}
			pause = min(2*pause, retryMost)
		default:
			settle := whole && end != next
			next, whole, pause = end, true, retryLeast
			f.noteSuccess(sent)
			if settle && f.Settle > 0 && clock.Sleep(ctx, f.Clock, f.Settle) != nil {
				return
			}
		}
	}
}

func (f *Follower) step(ctx context.Context, next Offset, whole bool) (Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+f.Slack)
	defer cancel()
	f.interrupt.Store(&cancel)
	if !whole {
		records, end, err := f.Source.Newest(ctx)
		if err == nil {
			f.Apply(records, true)
		}
		return end, err
	}
	records, end, err := f.Source.Read(ctx, next, f.Wait)
	if err == nil && len(records) > 0 {
		f.Apply(records, false)
	}
	return end, err
}

func (f *Follower) noteSuccess(sent time.Duration) {
	f.confirmed.Store(int64(sent))
	f.known.Store(true)
	if f.failing {
		f.failing = false
		f.Logger.Info("the store answers again")
		if f.Regained != nil {
			f.Regained()
		}
	}
}

func (f *Follower) noteFailure(err error) {
	if f.failing {
		return
	}
	f.failing = true
	f.Logger.WithError(err).Warn("the store does not answer")
	if f.Lost != nil {
		f.Lost()
	}
}

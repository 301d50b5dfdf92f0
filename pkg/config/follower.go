// Package config follows the config stream: it folds records from the log or
// from peers into a state and publishes each state as an immutable view.
package config

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/state"
)

const (
	// RecordSnapshot marks snapshots in their stream.
	RecordSnapshot platformlog.Kind = "snapshot"
	// maxBatchRecords is the number of records asked for at once.
	maxBatchRecords = 512
	// maxRecentRecords bounds the records kept for peers that lag.
	maxRecentRecords = 4096
)

// Snapshot is the body of a snapshot record.
type Snapshot struct {
	NextOffset platformlog.Offset `json:"next"`
	// Digest is of the state's canonical form.
	Digest string `json:"digest"`
	// State is packed.
	State []byte `json:"state"`
}

// Follower holds the folded state. It needs Log, Clock and Logger.
type Follower struct {
	Log    *platformlog.Client
	Clock  clock.Clock
	Logger *logs.Logger
	// OnChange, where set, is called after each new view.
	OnChange func(*View)

	view atomic.Pointer[View]
	// lastLogRead is when the last successful read of the log began.
	lastLogRead atomic.Pointer[time.Time]
	// mu orders folds; readers of the view take no lock.
	mu     sync.Mutex
	recent []platformlog.Record
	// recentFrom is the offset of recent[0]; recent ends at the view's Next.
	recentFrom       platformlog.Offset
	snapshotsWritten atomic.Int64
}

// View returns the current view, never nil.
func (f *Follower) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	f.view.CompareAndSwap(nil, newView(state.New()))
	return f.view.Load()
}

// LastLogRead returns when the last successful read of the log began; zero for
// never.
func (f *Follower) LastLogRead() time.Time {
	if t := f.lastLogRead.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// ApplyRecords folds records that start at offset from and returns the offset that is
// wanted next. Records that are already folded are skipped; a gap folds none.
func (f *Follower) ApplyRecords(from platformlog.Offset, records []platformlog.Record) platformlog.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.View().State
	skip := current.NextOffset - from
	if skip < 0 || int(skip) >= len(records) {
		return current.NextOffset
	}
	newRecords := records[skip:]
	s := current.Clone()
	for _, record := range newRecords {
		if err := s.Apply(s.NextOffset, record); err != nil {
			f.Logger.WithError(err).Error("record not folded")
			return current.NextOffset
		}
	}
	f.appendRecent(current.NextOffset, newRecords)
	f.publish(s)
	return s.NextOffset
}

func (f *Follower) appendRecent(from platformlog.Offset, records []platformlog.Record) {
	if f.recentFrom+platformlog.Offset(len(f.recent)) != from {
		f.recent, f.recentFrom = nil, from
	}
	f.recent = append(f.recent, records...)
	if extra := len(f.recent) - maxRecentRecords; extra > 0 {
		f.recent = append([]platformlog.Record(nil), f.recent[extra:]...)
		f.recentFrom += platformlog.Offset(extra)
	}
}

func (f *Follower) publish(s *state.State) {
	v := newView(s)
	f.view.Store(v)
	if f.OnChange != nil {
		f.OnChange(v)
	}
}

// Install takes over a whole state if it is newer than the current one.
func (f *Follower) Install(s *state.State) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.NextOffset <= f.View().State.NextOffset {
		return false
	}
	f.recent, f.recentFrom = nil, s.NextOffset
	f.publish(s)
	return true
}

// RecordsFrom returns kept records from an offset on, at most limit bytes of
// bodies but at least one record; none where the offset is not kept.
func (f *Follower) RecordsFrom(from platformlog.Offset, limitBytes int) []platformlog.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	start := from - f.recentFrom
	if start < 0 || int(start) >= len(f.recent) {
		return nil
	}
	end, size := int(start), 0
	for end < len(f.recent) && (size == 0 || size+len(f.recent[end].Body) <= limitBytes) {
		size += len(f.recent[end].Body)
		end++
	}
	return f.recent[start:end:end]
}

// ReadLog reads the log once, waiting up to wait for news, and folds what it
// finds. Where records have expired it loads a snapshot instead of skipping.
func (f *Follower) ReadLog(ctx context.Context, wait time.Duration) error {
	started := f.Clock.Now()
	from := f.View().State.NextOffset
	batch, err := f.Log.Read(ctx, platformlog.StreamConfig, from, maxBatchRecords, wait)
	var gap *platformlog.GapError
	if eris.As(err, &gap) {
		f.lastLogRead.Store(&started)
		return f.LoadSnapshot(ctx, gap.FirstOffset)
	}
	if err != nil {
		return err
	}
	f.ApplyRecords(batch.From, batch.Records)
	if f.View().State.NextOffset >= batch.NextOffset {
		f.lastLogRead.Store(&started)
	}
	return nil
}

// NoSnapshotError reports that the log holds no snapshot that covers a gap.
type NoSnapshotError struct {
	NeededOffset platformlog.Offset
}

// Error implements error.
func (e *NoSnapshotError) Error() string {
	return "the log holds no snapshot that closes the gap of expired records"
}

// LoadSnapshot installs the newest snapshot of the log that reaches at least
// to the offset needed. It returns *NoSnapshotError where there is none.
func (f *Follower) LoadSnapshot(ctx context.Context, neededOffset platformlog.Offset) error {
	bounds, err := f.Log.Bounds(ctx, platformlog.StreamSnapshots)
	if err != nil {
		return err
	}
	for offset := bounds.NextOffset - 1; offset >= bounds.FirstOffset; offset-- {
		s, err := f.snapshotAt(ctx, offset)
		if err != nil {
			f.Logger.WithError(err).Warn("snapshot not usable")
			continue
		}
		if s.NextOffset >= neededOffset && f.Install(s) {
			f.Logger.WithField("next", s.NextOffset).Info("snapshot loaded")
			return nil
		}
	}
	return &NoSnapshotError{NeededOffset: neededOffset}
}

func (f *Follower) snapshotAt(ctx context.Context, offset platformlog.Offset) (*state.State, error) {
	batch, err := f.Log.Read(ctx, platformlog.StreamSnapshots, offset, 1, 0)
	if err != nil {
		return nil, err
	}
	if len(batch.Records) == 0 {
		return nil, &NoSnapshotError{NeededOffset: offset}
	}
	var body Snapshot
	if err := json.Unmarshal(batch.Records[0].Body, &body); err != nil {
		return nil, eris.Wrap(err, "decode snapshot record")
	}
	return state.Unpack(body.State, body.Digest)
}

// WriteSnapshot appends the current state to the snapshot stream.
func (f *Follower) WriteSnapshot(ctx context.Context) error {
	s := f.View().State
	packed, sum, err := s.Pack()
	if err != nil {
		return err
	}
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), RecordSnapshot, Snapshot{NextOffset: s.NextOffset, Digest: sum, State: packed})
	if err != nil {
		return err
	}
	if _, err := f.Log.Append(ctx, platformlog.StreamSnapshots, record); err != nil {
		return err
	}
	f.snapshotsWritten.Add(1)
	f.Logger.WithField("next", s.NextOffset).Info("snapshot written")
	return nil
}

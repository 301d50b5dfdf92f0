// Package config follows the config stream. It applies records from the platform
// log or from peers to a state and publishes each new state as an immutable view.
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
	// RecordSnapshot is the kind of records in the snapshot stream.
	RecordSnapshot platformlog.Kind = "snapshot"
	// maxBatchRecords is the highest number of records in one read of the log.
	maxBatchRecords = 512
	// maxRecentRecords limits the number of records kept in memory for peers whose
	// state is older.
	maxRecentRecords = 4096
)

// Snapshot is the body of a snapshot record.
type Snapshot struct {
	// NextOffset is the offset of the first record that is not in the snapshot.
	NextOffset platformlog.Offset `json:"next"`
	// Digest is the digest of the canonical form of the state.
	Digest string `json:"digest"`
	// State is the packed state, as returned by state.State.Pack.
	State []byte `json:"state"`
}

// Follower maintains the current state and its view. Log, Clock and Logger must be
// set. Its methods are safe for concurrent use.
type Follower struct {
	Log    *platformlog.Client
	Clock  clock.Clock
	Logger *logs.Logger
	// OnChange, if set, is called with each new view while the follower is locked.
	// It must not call methods of the follower other than View and LastLogRead.
	OnChange func(*View)

	view atomic.Pointer[View]
	// lastLogRead is the start time of the last successful read of the log, or nil.
	lastLogRead atomic.Pointer[time.Time]
	// mu serialises changes of the view and guards recent and recentFrom. View does
	// not need it.
	mu sync.Mutex
	// recent holds the latest applied records, up to NextOffset of the view.
	recent []platformlog.Record
	// recentFrom is the offset of recent[0].
	recentFrom       platformlog.Offset
	snapshotsWritten atomic.Int64
}

// View returns the current view. It is never nil.
func (f *Follower) View() *View {
	if v := f.view.Load(); v != nil {
		return v
	}
	f.view.CompareAndSwap(nil, newView(state.New()))
	return f.view.Load()
}

// LastLogRead returns the start time of the last successful read of the log, or the
// zero time if there was none.
func (f *Follower) LastLogRead() time.Time {
	if t := f.lastLogRead.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// ApplyRecords applies records that start at offset from and returns the next offset
// of the resulting state. It skips records that are already applied. If records are
// missing before from, it applies none.
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
			f.Logger.WithError(err).Error("cannot apply config records")
			return current.NextOffset
		}
	}
	f.appendRecent(current.NextOffset, newRecords)
	f.publish(s)
	return s.NextOffset
}

// appendRecent adds applied records that start at offset from to the recent records
// and drops the oldest of these beyond maxRecentRecords.
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

// Install replaces the current state with s if s is newer, and reports whether it
// did.
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

// RecordsFrom returns recent records from offset from on. Their bodies have at most
// limitBytes in total, but at least one record is returned. If the record at from is
// no longer held or does not exist yet, RecordsFrom returns none.
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

// ReadLog reads the log once, waits up to wait for new records, and applies them. If
// records that it needs have expired, it loads a snapshot instead.
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

// NoSnapshotError reports that the log has no snapshot that covers expired records.
type NoSnapshotError struct {
	NeededOffset platformlog.Offset
}

// Error implements error.
func (e *NoSnapshotError) Error() string {
	return "no snapshot in the platform log covers the expired config records"
}

// LoadSnapshot installs the newest usable snapshot that covers all records before
// neededOffset. It returns *NoSnapshotError if the log has none that is newer than
// the current state.
func (f *Follower) LoadSnapshot(ctx context.Context, neededOffset platformlog.Offset) error {
	bounds, err := f.Log.Bounds(ctx, platformlog.StreamSnapshots)
	if err != nil {
		return err
	}
	for offset := bounds.NextOffset - 1; offset >= bounds.FirstOffset; offset-- {
		s, err := f.snapshotAt(ctx, offset)
		if err != nil {
			f.Logger.WithError(err).Warn("cannot use snapshot; trying the previous one")
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

// WriteSnapshot appends a snapshot of the current state to the snapshot stream.
func (f *Follower) WriteSnapshot(ctx context.Context) error {
	s := f.View().State
	packed, digest, err := s.Pack()
	if err != nil {
		return err
	}
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), RecordSnapshot, Snapshot{NextOffset: s.NextOffset, Digest: digest, State: packed})
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

package config

import (
	"context"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
)

const (
	// snapshotsPerRetention is the number of snapshots written in one retention
	// period of the log.
	snapshotsPerRetention = 4
	// maxRank is the rank at which the wait of a member before it writes a snapshot
	// stops growing.
	maxRank = 8
)

// Snapshotter writes snapshots several times in each retention period of the log, so
// that one exists when records expire. It runs on all members. The member ranked
// first by rendezvous hashing writes; the others wait longer the lower their rank, and
// write only if no snapshot has appeared by then. All exported fields must be set.
type Snapshotter struct {
	Self     fleet.MemberID
	Follower *Follower
	// Retention is how long the log keeps records.
	Retention time.Duration

	// nextOffset is the known next offset of the snapshot stream.
	nextOffset platformlog.Offset
	// lastSnapshotAt is when this member last found or wrote a new snapshot, or the
	// start of Run.
	lastSnapshotAt time.Time
}

// Run writes snapshots when they are due, until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	period := s.Retention / (snapshotsPerRetention * maxRank)
	s.lastSnapshotAt = s.Follower.Clock.Now()
	clock.Every(ctx, s.Follower.Clock, clock.FixedPeriod(max(period, 50*time.Millisecond)), s.writeIfDue)
}

func (s *Snapshotter) writeIfDue(ctx context.Context) {
	v := s.Follower.View()
	now := s.Follower.Clock.Now()
	if !v.Ready() || now.Sub(s.lastSnapshotAt) < s.dueAge(v) {
		return
	}
	bounds, err := s.Follower.Log.Bounds(ctx, platformlog.StreamSnapshots)
	if err != nil {
		return
	}
	if bounds.NextOffset > s.nextOffset {
		s.nextOffset, s.lastSnapshotAt = bounds.NextOffset, now
		return
	}
	if err := s.Follower.WriteSnapshot(ctx); err != nil {
		s.Follower.Logger.WithError(err).Warn("cannot write snapshot; will retry")
		return
	}
	s.nextOffset, s.lastSnapshotAt = bounds.NextOffset+1, now
}

// dueAge returns the age of the last snapshot at which this member writes the next
// one.
func (s *Snapshotter) dueAge(v *View) time.Duration {
	ownScore := fleet.RendezvousScore("snapshot", s.Self)
	rank := 0
	for _, m := range v.Members {
		if m.ID != s.Self && fleet.RendezvousScore("snapshot", m.ID) > ownScore {
			rank++
		}
	}
	interval := s.Retention / snapshotsPerRetention
	return interval + interval*time.Duration(min(rank, maxRank))/maxRank
}

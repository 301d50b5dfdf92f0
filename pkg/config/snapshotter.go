package config

import (
	"context"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
)

const (
	// snapshotsPerRetention is the number of snapshots in one retention period.
	snapshotsPerRetention = 4
	// maxRank bounds how long the last member holds its snapshot back.
	maxRank = 8
)

// Snapshotter writes snapshots well inside the log's retention. Any member may;
// the first-ranked does unless it fails to. All exported fields must be set.
type Snapshotter struct {
	Self      fleet.MemberID
	Follower  *Follower
	Retention time.Duration

	nextOffset     platformlog.Offset
	lastSnapshotAt time.Time
}

// Run writes snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	period := s.Retention / (snapshotsPerRetention * maxRank)
	s.lastSnapshotAt = s.Follower.Clock.Now()
	clock.Every(ctx, s.Follower.Clock, clock.Fixed(max(period, 50*time.Millisecond)), s.writeIfDue)
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
		s.Follower.Logger.WithError(err).Warn("snapshot not written yet")
		return
	}
	s.nextOffset, s.lastSnapshotAt = bounds.NextOffset+1, now
}

// dueAge returns the age of the last snapshot at which this member writes one.
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

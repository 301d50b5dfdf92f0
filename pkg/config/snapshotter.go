package config

import (
	"context"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
)

const (
	// snapshotParts is the number of snapshots in one retention period.
	snapshotParts = 4
	// maxRank bounds how long the last member holds its snapshot back.
	maxRank = 8
)

// Snapshotter writes snapshots well inside the log's retention. Any member may;
// the first-ranked does unless it fails to. All exported fields must be set.
type Snapshotter struct {
	Self      fleet.MemberID
	Follower  *Follower
	Retention time.Duration

	seen   platformlog.Offset
	seenAt time.Time
}

// Run writes snapshots until ctx ends.
func (s *Snapshotter) Run(ctx context.Context) {
	period := s.Retention / (snapshotParts * maxRank)
	s.seenAt = s.Follower.Clock.Now()
	clock.Every(ctx, s.Follower.Clock, clock.FixedPeriod(max(period, 50*time.Millisecond)), s.round)
}

func (s *Snapshotter) round(ctx context.Context) {
	v := s.Follower.View()
	now := s.Follower.Clock.Now()
	if !v.Ready() || now.Sub(s.seenAt) < s.due(v) {
		return
	}
	bounds, err := s.Follower.Log.Tail(ctx, platformlog.StreamSnapshots)
	if err != nil {
		return
	}
	if bounds.Next > s.seen {
		s.seen, s.seenAt = bounds.Next, now
		return
	}
	if err := s.Follower.WriteSnapshot(ctx); err != nil {
		s.Follower.Logger.WithError(err).Warn("snapshot not written yet")
		return
	}
	s.seen, s.seenAt = bounds.Next+1, now
}

// due returns the age of the last snapshot at which this member writes one.
func (s *Snapshotter) due(v *View) time.Duration {
	own := fleet.Score("snapshot", s.Self)
	rank := 0
	for _, m := range v.All {
		if m.ID != s.Self && fleet.Score("snapshot", m.ID) > own {
			rank++
		}
	}
	part := s.Retention / snapshotParts
	return part + part*time.Duration(min(rank, maxRank))/maxRank
}

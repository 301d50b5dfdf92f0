package connection

import "time"

const (
	// maxGrace is how long a connection is kept in any case before it has to show progress, and
	// minGrace what is left of that in a lasting shortage: several round trips.
	maxGrace = time.Second
	minGrace = 50 * time.Millisecond
	// minDueBytesPerSecond is what a caller must send of a body, or receive of a response, to
	// keep its connection at the beginning of a shortage.
	minDueBytesPerSecond = 32 << 10
	// maxLevel bounds the level of a shortage. The rate that is due there, 1 MB/s, is one that a
	// caller reaches within minGrace over a connection of 16 ms round trip that has just been
	// opened.
	maxLevel = 5
	// raiseInterval is the time without a connection that may be closed after which the level
	// rises, and relaxInterval that without need of the level after which it falls.
	raiseInterval = 100 * time.Millisecond
	relaxInterval = time.Second
)

// shortage decides how much progress a connection must make to be kept while new ones need
// room. It answers more callers than there may be connections that keep theirs and make little
// progress: the longer nothing can be closed for a new connection, the more is asked of the open
// ones, so that each new one is accepted in the end. Connections whose callers wait for a response
// are not concerned. The zero value is the state without a shortage. It is not safe for
// concurrent use.
type shortage struct {
	// level is how often the demand was doubled, from 0 to maxLevel.
	level int
	// failingSince is since when no connection could be closed, or zero. It moves on when the
	// level rises.
	failingSince time.Time
	// neededAt is when the level was last needed or lowered; it has no meaning at level 0.
	neededAt time.Time
}

// grace returns how long a connection may go without the progress that is due.
func (s *shortage) grace() time.Duration { return max(maxGrace>>s.level, minGrace) }

// dueRate returns the bytes per second that are due.
func (s *shortage) dueRate() float64 { return float64(int(minDueBytesPerSecond) << s.level) }

// isTooSlow reports whether a caller that has moved a number of bytes in a time has made too
// little progress.
func (s *shortage) isTooSlow(moved uint64, elapsed time.Duration) bool {
	return float64(moved) < s.dueRate()*elapsed.Seconds()
}

// handleFailure records that there is a new connection and none that may be closed for it.
// raisable reports whether there is one that may be closed at a higher level.
func (s *shortage) handleFailure(now time.Time, raisable bool) {
	s.neededAt = now
	switch {
	case s.failingSince.IsZero() || !raisable:
		s.failingSince = now
	case now.Sub(s.failingSince) >= raiseInterval:
		s.failingSince = now
		s.level = min(s.level+1, maxLevel)
	}
}

// handleClose records that a connection was closed for a new one.
func (s *shortage) handleClose(now time.Time) {
	s.failingSince, s.neededAt = time.Time{}, now
}

// relax lowers the level by one for each relaxInterval in which it was not needed.
func (s *shortage) relax(now time.Time) {
	if s.level == 0 {
		return
	}
	steps := int(now.Sub(s.neededAt) / relaxInterval)
	s.level = max(0, s.level-steps)
	s.neededAt = s.neededAt.Add(time.Duration(steps) * relaxInterval)
}

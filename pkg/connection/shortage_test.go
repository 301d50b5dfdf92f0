package connection

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Connections that make some progress take all the room. Guards against new ones that wait until
// these have ended.
func TestLastingShortageAsksForMoreProgress(t *testing.T) {
	is := is.New(t)
	s := &shortage{}
	now := time.Unix(1, 0)
	is.Equal(s.grace(), time.Second)
	is.True(s.isTooSlow(32<<10-1, time.Second))
	is.True(!s.isTooSlow(32<<10, time.Second))
	for range 11 {
		s.handleFailure(now, true)
		now = now.Add(raiseInterval / 5)
	}
	is.Equal(s.level, 2)
	is.Equal(s.grace(), 250*time.Millisecond)
	is.True(s.isTooSlow(32<<10, time.Second))
	for range 100 {
		s.handleFailure(now, true)
		now = now.Add(raiseInterval)
	}
	is.Equal(s.level, maxLevel)
	is.Equal(s.grace(), minGrace)
	is.True(!s.isTooSlow(1<<20, time.Second))
}

// Guards against a level that stays high when nothing is short any more, and against one that
// falls while connections are closed for new ones.
func TestShortageRelaxes(t *testing.T) {
	is := is.New(t)
	s := &shortage{level: 4}
	now := time.Unix(1, 0)
	for range 10 {
		s.handleClose(now)
		now = now.Add(relaxInterval / 2)
		s.relax(now)
	}
	is.Equal(s.level, 4)
	s.relax(now.Add(relaxInterval))
	is.Equal(s.level, 3)
	s.relax(now.Add(time.Minute))
	is.Equal(s.level, 0)
}

// Guards against a level that rises although connections can be closed now and then.
func TestShortageRisesOnlyWhileNothingCanBeClosed(t *testing.T) {
	is := is.New(t)
	s := &shortage{}
	now := time.Unix(1, 0)
	for range 100 {
		s.handleFailure(now, true)
		now = now.Add(raiseInterval / 2)
		s.handleFailure(now, true)
		s.handleClose(now)
		now = now.Add(raiseInterval / 2)
	}
	is.Equal(s.level, 0)
}

// All connections carry requests that wait for the instance. Guards against a level that rises
// without need, and is then in force for those that receive their responses.
func TestShortageDoesNotRiseWhereThatCannotHelp(t *testing.T) {
	is := is.New(t)
	s := &shortage{}
	now := time.Unix(1, 0)
	for range 100 {
		s.handleFailure(now, false)
		now = now.Add(raiseInterval)
	}
	is.Equal(s.level, 0)
}

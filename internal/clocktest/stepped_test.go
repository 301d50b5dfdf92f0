package clocktest

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStepChangesOnlyTheWallClock(t *testing.T) {
	is := is.New(t)
	s := &Stepped{}
	before := s.Now()
	s.Step(-40 * time.Minute)
	after := s.Now()
	is.True(after.UnixNano() < before.UnixNano()-int64(39*time.Minute))
	is.True(after.Sub(before) >= 0)
	is.True(after.Sub(before) < time.Second)
	s.Step(40 * time.Minute)
	is.True(s.Now().UnixNano() >= before.UnixNano())
}

// Package clocktest has clocks that tests need beside clock.Fake.
package clocktest

import (
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// wallSecondsShift is where the seconds of the time of day stand in the first word of
// a time.Time that also has a monotonic reading.
const wallSecondsShift = 30

// Stepped is the clock of the machine with a time of day that jumps, as it does
// when a clock is set. What passes between two readings is not affected. Its
// zero value works.
type Stepped struct {
	clock.System
	offsetSeconds atomic.Int64
}

// Step sets the time of day forward, or back for a negative duration, by whole seconds.
func (s *Stepped) Step(d time.Duration) { s.offsetSeconds.Add(int64(d / time.Second)) }

// Now implements clock.Clock.
func (s *Stepped) Now() time.Time {
	t := s.System.Now()
	*(*uint64)(unsafe.Pointer(&t)) += uint64(s.offsetSeconds.Load()) << wallSecondsShift
	return t
}

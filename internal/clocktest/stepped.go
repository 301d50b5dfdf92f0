// Package clocktest provides test clocks in addition to clock.Fake.
package clocktest

import (
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// wallSecondsShift is the bit offset of the wall-clock seconds in the first word of a
// time.Time that has a monotonic clock reading.
const wallSecondsShift = 30

// Stepped is a clock.Clock that returns the system time with an adjustable wall clock. It
// simulates an operator who sets the time of a machine. The monotonic clock is not
// adjusted, so the duration between two readings stays correct. The zero value is ready to
// use.
type Stepped struct {
	clock.System
	// offsetSeconds is the sum of all steps, which Now adds to the wall clock.
	offsetSeconds atomic.Int64
}

// Step adds d, truncated to whole seconds, to the wall clock. A negative d sets it back.
func (s *Stepped) Step(d time.Duration) { s.offsetSeconds.Add(int64(d / time.Second)) }

// Now implements clock.Clock. It changes the wall-clock seconds in the internal
// representation of time.Time, as time.Time.Add would also change the monotonic reading.
func (s *Stepped) Now() time.Time {
	t := s.System.Now()
	*(*uint64)(unsafe.Pointer(&t)) += uint64(s.offsetSeconds.Load()) << wallSecondsShift
	return t
}

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

// Stepped is the system clock with a wall clock that can be stepped, as when an operator
// sets the time. Steps do not affect the monotonic clock, and therefore not the time
// measured between two readings. The zero value is ready to use.
type Stepped struct {
	clock.System
	// offsetSeconds is the sum of all steps.
	offsetSeconds atomic.Int64
}

// Step moves the wall clock forward by d, or backward if d is negative. It truncates d to
// whole seconds.
func (s *Stepped) Step(d time.Duration) { s.offsetSeconds.Add(int64(d / time.Second)) }

// Now implements clock.Clock.
func (s *Stepped) Now() time.Time {
	t := s.System.Now()
	*(*uint64)(unsafe.Pointer(&t)) += uint64(s.offsetSeconds.Load()) << wallSecondsShift
	return t
}

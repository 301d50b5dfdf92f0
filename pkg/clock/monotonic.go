package clock

import "time"

// Monotonic is a time as the nanoseconds since the process began. Jumps of the
// time of day do not move it, so that it can be kept in an atomic integer and
// compared, which the nanoseconds of a time.Time cannot.
type Monotonic int64

// processStart has a monotonic reading, which the difference to it is taken by.
var processStart = time.Now()

// MonotonicOf returns the moment of a time that a Clock told.
func MonotonicOf(t time.Time) Monotonic { return Monotonic(t.Sub(processStart)) }

// Add returns the moment that follows d later.
func (m Monotonic) Add(d time.Duration) Monotonic { return m + Monotonic(d) }

// Sub returns the time from another moment to this one.
func (m Monotonic) Sub(other Monotonic) time.Duration { return time.Duration(m - other) }

package clock

import "time"

// Monotonic is a monotonic timestamp in nanoseconds since the start of the process. It
// can be stored in an atomic integer and compared. The Unix nanoseconds of a time.Time
// are not suitable for that, as they jump when the wall clock is adjusted.
type Monotonic int64

// processStart has a monotonic clock reading, so that differences to it do not depend
// on the wall clock.
var processStart = time.Now()

// MonotonicOf returns the monotonic timestamp of a time that a Clock returned.
func MonotonicOf(t time.Time) Monotonic { return Monotonic(t.Sub(processStart)) }

// Add returns m+d.
func (m Monotonic) Add(d time.Duration) Monotonic { return m + Monotonic(d) }

// Sub returns the duration m-other.
func (m Monotonic) Sub(other Monotonic) time.Duration { return time.Duration(m - other) }

// Package uptime reads a clock that advances while the machine is suspended. It is used
// to measure the age of data and the duration of leases.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Source returns the time since the machine was booted. Tests replace it.
type Source func() time.Duration

// SinceBoot returns the time since the machine was booted, from CLOCK_BOOTTIME. If the
// kernel does not support that clock, it returns the longest duration, which is meant to
// make all data count as expired.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}

// Package uptime reads a clock that also counts the time during which the
// machine was suspended. Leases and the age of knowledge are judged by it.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Source returns the time since the machine started. Tests replace it.
type Source func() time.Duration

// SinceBoot reads CLOCK_BOOTTIME. Where the kernel lacks it, the process stops
// trusting what it knows: the result is the largest duration.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}

package connection

import (
	"math"

	"golang.org/x/sys/unix"
)

// MaxDescriptors returns the number of descriptors that the process may have: the one that its
// settings name, or the limit of the system if that is 0.
func MaxDescriptors(named int) int {
	if named > 0 {
		return named
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

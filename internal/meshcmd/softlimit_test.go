package meshcmd

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a limit above the memory of the process, one that ordinary callers raise, and
// one that leaves no room for what callers outside the limits make the node hold.
func TestSoftLimitFitsMemory(t *testing.T) {
	const mb = 1 << 20
	cases := []struct {
		name               string
		memory, held, want int64
	}{
		{"ordinary", 284 * mb, 0, 96 * mb},
		{"some held", 284 * mb, 5 * mb, 112 * mb},
		{"much held", 184 * mb, 100 * mb, 129 * mb},
		{"small machine", 64 * mb, 0, 45 * mb},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var limits []int64
			l := softLimit{memoryBytes: c.memory, set: func(bytes int64) { limits = append(limits, bytes) }}
			l.update(c.held)
			l.update(c.held)
			is.Equal(len(limits), 1)
			is.True(limits[0] <= c.want && limits[0] > c.want-mb)
		})
	}
}

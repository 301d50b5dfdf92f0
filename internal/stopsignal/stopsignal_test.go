package stopsignal

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A second signal arrives while the process ends. Guards against its default effect, which
// ends the process at once.
func TestFurtherSignalsAreHandled(t *testing.T) {
	is := is.New(t)
	ctx := Context()
	is.NoErr(ctx.Err())
	for range 3 {
		is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
		select {
		case <-ctx.Done():
		case <-time.After(5 * time.Second):
			t.Fatal("the context does not end")
		}
	}
}

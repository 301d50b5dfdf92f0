package recovery

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestRun(t *testing.T) {
	is := is.New(t)
	is.NoErr(Run("sums", func() {}))
	err := Run("sums", func() {
		var counts map[string]int
		counts["a"]++
	})
	var panicked *PanicError
	is.True(errors.As(err, &panicked))
	is.Equal(panicked.Work, "sums")
	is.True(strings.Contains(string(panicked.Stack), "recovery_test.go"))
	is.True(strings.Contains(err.Error(), "nil map"))
}

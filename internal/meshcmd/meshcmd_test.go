package meshcmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

func TestCommandLine(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
		says string
	}{
		{"unknown flag", []string{"--nothing"}, ExitSettings, "--help"},
		{"no such file", []string{"--settings", "/nonexistent"}, ExitSettings, "cannot read"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var out, errOut bytes.Buffer
			is.Equal(Main(c.args, &out, &errOut), c.code)
			is.True(strings.Contains(errOut.String(), c.says))
		})
	}
}

// After SIGHUP, an invalid settings file is reported in the log.
func TestHangup(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	is.NoErr(os.WriteFile(path, []byte("[node]\n"), 0o600))
	out := &iostreams.Buffer{}
	logger, err := logs.New(out, "info", logs.FormatJSON, "node")
	is.NoErr(err)
	hangups := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go watchHangups(ctx, hangups, path, logger)
	hangups <- syscall.SIGHUP
	deadline := time.Now().Add(2 * time.Second)
	for !out.Contains("settings not reloaded") && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(out.Contains("settings not reloaded"))
}

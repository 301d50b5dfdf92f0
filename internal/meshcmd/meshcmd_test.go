package meshcmd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

// mainVariable makes the test binary run Main in place of the tests.
const mainVariable = "MESHCMD_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

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

// SIGHUP and further SIGTERM arrive all through a stop. Guards against one that ends the
// process before its stop is complete: its last log lines are lost, and it does not exit
// with 0.
func TestSignalsDuringAStopChangeNothing(t *testing.T) {
	const rounds, parallel = 40, 4
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	is.NoErr(os.WriteFile(path, []byte(stopSettings), 0o600))
	var group sync.WaitGroup
	for range parallel {
		group.Go(func() {
			for range rounds / parallel {
				if state := stopWithSignals(t, path); state != "exit status 0" {
					t.Errorf("the process ended with %s", state)
				}
			}
		})
	}
	group.Wait()
}

// stopSettings are settings of a node whose store and instance do not exist. All ports are
// chosen by the kernel.
const stopSettings = `[node]
name = n
service = desk
dataCentre = a
[listen]
callers = 127.0.0.1:0
heartbeats = 127.0.0.1:0
readiness = 127.0.0.1:0
peers = 127.0.0.1:0
[instance]
address = 127.0.0.1:1
[store]
address = 127.0.0.1:1
[bounds]
grace = 200ms
`

// stopWithSignals starts a node, stops it while more signals arrive, and returns how it
// ended.
func stopWithSignals(t *testing.T, settingsPath string) string {
	t.Helper()
	process := exec.Command(os.Args[0], "--settings", settingsPath)
	process.Env = append(os.Environ(), mainVariable+"=1")
	output, err := process.StdoutPipe()
	if err != nil {
		t.Error(err)
		return ""
	}
	if err := process.Start(); err != nil {
		t.Error(err)
		return ""
	}
	started := false
	for lines := bufio.NewScanner(output); !started && lines.Scan(); {
		started = strings.Contains(lines.Text(), "node started")
	}
	ended := make(chan struct{})
	var signals sync.WaitGroup
	signals.Go(func() {
		for {
			select {
			case <-ended:
				return
			default:
				_ = process.Process.Signal(syscall.SIGTERM)
				_ = process.Process.Signal(syscall.SIGHUP)
			}
		}
	})
	_, _ = io.Copy(io.Discard, output)
	_ = process.Wait()
	close(ended)
	signals.Wait()
	return process.ProcessState.String()
}

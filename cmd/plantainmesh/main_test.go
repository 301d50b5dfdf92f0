package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// mainVariable makes the test binary run main in place of the tests.
const mainVariable = "PLANTAINMESH_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// Guards against a node that a signal ends while its packages are being initialised: those
// that take time must follow the one that handles signals.
func TestSignalsAreHandledBeforeOtherPackagesAreInitialised(t *testing.T) {
	is := is.New(t)
	process := exec.Command(os.Args[0], "-test.run=^$")
	process.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, err := process.CombinedOutput()
	is.NoErr(err)
	before, _, found := strings.Cut(string(trace), "init github.com/plantainramp/plantainramp/internal/stopsignal/early ")
	is.True(found)
	for _, slow := range []string{"init google.golang.org/protobuf/", "init github.com/prometheus/", "init encoding/gob "} {
		is.True(strings.Contains(string(trace), slow))
		is.True(!strings.Contains(before, slow))
	}
}

// The node waits for its settings, which come from a pipe, while signals arrive. Guards
// against signals that are handled only once the settings have been read.
func TestSignalsAreHandledBeforeSettingsAreRead(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(signal.String(), func(t *testing.T) {
			process := startAndSignal(t, signal, "no settings", nil)
			_ = process.Wait()
			is.New(t).Equal(process.ProcessState.String(), "exit status 2") // settings are not valid
		})
	}
}

// startAndSignal starts a node, sends it a signal while it waits for its settings, and then
// gives it these.
func startAndSignal(t *testing.T, signal syscall.Signal, settings string, log *os.File) *exec.Cmd {
	t.Helper()
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.ini")
	is.NoErr(unix.Mkfifo(path, 0o600))
	process := exec.Command(os.Args[0], "--settings", path)
	process.Env = append(os.Environ(), mainVariable+"=1")
	if log != nil {
		process.Stdout = log
	}
	is.NoErr(process.Start())
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the node opens it
	is.NoErr(err)
	is.NoErr(process.Process.Signal(signal))
	_, err = pipe.WriteString(settings)
	is.NoErr(err)
	is.NoErr(pipe.Close())
	return process
}

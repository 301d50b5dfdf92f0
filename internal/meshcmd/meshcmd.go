// Package meshcmd implements the command line of plantainmesh, the daemon of a mesh
// node.
package meshcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/build"
	"github.com/plantainramp/plantainramp/internal/stopsignal"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/mesh"
	"github.com/plantainramp/plantainramp/pkg/uptime"
	"github.com/plantainramp/plantainramp/platform"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

// gcPercent lets the heap grow to twice the live heap between garbage collections.
// Nodes run beside instances on small machines: a higher value saves little processor
// time and doubles the memory.
const gcPercent = 100

// Main runs the daemon until SIGTERM or SIGINT and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	ctx := stopsignal.Context()
	// SIGHUP is handled until the process has ended: its default effect would cut a start or
	// the end of a stop short.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	app := kingpin.New("plantainmesh", "Run a mesh node on a platform that provides a store and whose instances send heartbeats.")
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(nil)
	app.Version(build.Version)
	path := app.Flag("settings", "Settings file.").PlaceHolder("FILE").Envar("PLANTAINRAMP_CONFIG").String()
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintf(errOut, "plantainmesh: %s; see plantainmesh --help\n", err)
		return ExitSettings
	}
	s, err := mesh.LoadSettings(*path)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	debug.SetGCPercent(gcPercent)
	if err := serve(ctx, hangups, *path, s, out); err != nil {
		_, _ = fmt.Fprintf(errOut, "plantainmesh: %s\n", err)
		return ExitFailed
	}
	return ExitOK
}

func serve(ctx context.Context, hangups <-chan os.Signal, path string, s *mesh.Settings, out io.Writer) error {
	logWriter := logs.NewAsyncWriter(out, clock.System{})
	defer logWriter.Close()
	logger, err := logs.New(logWriter, s.LogLevel, s.LogFormat, s.NodeName)
	if err != nil {
		return err
	}
	go watchHangups(ctx, hangups, path, logger)
	node := mesh.New(s, platform.New(platform.NewStore(s.StoreAddress)), clock.System{}, uptime.SinceBoot, logger)
	limit := softLimit{memoryBytes: s.MemoryBytes, set: func(bytes int64) { debug.SetMemoryLimit(bytes) }}
	limit.update(0)
	node.OnHeldBytes(limit.update)
	err = node.Run(ctx)
	if dropped := logWriter.Dropped(); dropped > 0 {
		logger.WithField("lines", dropped).Warn("log lines were dropped because the log output was too slow")
	}
	return err
}

// watchHangups parses the settings file at each SIGHUP and logs whether it is valid,
// until ctx ends. The running node keeps its settings; those in the file take effect
// with the next start.
func watchHangups(ctx context.Context, hangups <-chan os.Signal, path string, logger *logs.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := mesh.LoadSettings(path); err != nil {
			logger.WithError(err).Warn("settings not reloaded; the current ones stay in effect")
			continue
		}
		logger.Info("settings are valid; they take effect with the next start")
	}
}

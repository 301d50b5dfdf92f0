// Package meshcmd is the command line of the node daemon on a platform with a
// store and heartbeats.
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

const (
	// gcPercent lets the heap grow between collections: a node holds little.
	gcPercent = 400
	// maxMemoryBytes is the heap, in bytes, from which collections come sooner.
	maxMemoryBytes = 96 << 20
)

// Main runs the daemon until SIGTERM or SIGINT and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	app := kingpin.New("plantainmesh", "The node of plantainramp on a platform with a store and heartbeats.")
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
	debug.SetMemoryLimit(maxMemoryBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, *path, s, out); err != nil {
		_, _ = fmt.Fprintf(errOut, "plantainmesh: %s\n", err)
		return ExitFailed
	}
	return ExitOK
}

func serve(ctx context.Context, path string, s *mesh.Settings, out io.Writer) error {
	logWriter := logs.NewAsyncWriter(out)
	defer logWriter.Close()
	logger, err := logs.New(logWriter, s.LogLevel, s.LogFormat, s.NodeName)
	if err != nil {
		return err
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go watchHangups(ctx, hangups, path, logger)
	node := mesh.New(s, platform.New(platform.NewStore(s.StoreAddress)), clock.System{}, uptime.SinceBoot, logger)
	err = node.Run(ctx)
	if dropped := logWriter.Dropped(); dropped > 0 {
		logger.WithField("lines", dropped).Warn("log lines were dropped for a slow reader")
	}
	return err
}

// watchHangups reads the settings anew at each hang-up. What is listened on stays as
// it was until a restart; a file that cannot be used changes nothing.
func watchHangups(ctx context.Context, hangups <-chan os.Signal, path string, logger *logs.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := mesh.LoadSettings(path); err != nil {
			logger.WithError(err).Warn("settings not reloaded; the former ones stay in force")
			continue
		}
		logger.Info("settings read again; addresses change with the next start")
	}
}

// Package nodecmd is the command line of the node daemon.
package nodecmd

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"github.com/plantainramp/plantainramp/internal/build"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/member"
	"github.com/plantainramp/plantainramp/pkg/node"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitSettings = 2
)

const (
	// gcPercent lets the heap grow further than usual between collections:
	// a node holds little and has a budget of 128 MB.
	gcPercent = 200
	// memoryLimitBytes is the heap, in bytes, from which collections come sooner.
	memoryLimitBytes = 80 << 20
)

// Main runs the daemon until SIGTERM or SIGINT and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	app := kingpin.New("plantainnode", "The node of plantainramp beside one upstream instance.")
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(nil)
	app.Version(build.Version)
	settingsPath := app.Flag("settings", "Settings file.").PlaceHolder("FILE").String()
	printExample := app.Flag("example-settings", "Print commented settings that pass the check, and stop.").Bool()
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintf(errOut, "plantainnode: %s; see plantainnode --help\n", err)
		return ExitSettings
	}
	if *printExample {
		_, _ = io.WriteString(out, settings.Example)
		return ExitOK
	}
	if *settingsPath == "" {
		_, _ = fmt.Fprintln(errOut, "plantainnode: name the settings with --settings FILE; --example-settings prints some")
		return ExitSettings
	}
	s, err := settings.Load(*settingsPath)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimitBytes)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := serve(ctx, s, out); err != nil {
		_, _ = fmt.Fprintf(errOut, "plantainnode: %s\n", err)
		return ExitFailed
	}
	return ExitOK
}

// serve runs nodes one after another: a node that the fleet has taken off its
// list starts anew under a new id.
func serve(ctx context.Context, s *settings.Settings, out io.Writer) error {
	logger, err := logs.New(out, s.LogLevel, s.LogFormat, string(s.Instance))
	if err != nil {
		return err
	}
	for {
		injector := do.New()
		do.ProvideValue(injector, s)
		do.ProvideValue(injector, logger)
		do.ProvideValue[clock.Clock](injector, clock.System{})
		do.ProvideNamedValue(injector, "version", build.Version)
		do.Provide(injector, node.New)
		n, err := do.Invoke[*node.Node](injector)
		if err != nil {
			return err
		}
		err = n.Run(ctx)
		var ended *member.EndedError
		if !eris.As(err, &ended) {
			return err
		}
		logs.Part(logger, logs.PartNode).WithError(ended).Warn("node starts anew")
	}
}

// Package nodecmd implements the command line of the node daemon plantainnode.
package nodecmd

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"
	"github.com/samber/do/v2"

	"github.com/plantainramp/plantainramp/internal/build"
	"github.com/plantainramp/plantainramp/internal/stopsignal"
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
	// gcPercent lets the heap grow further between garbage collections than the default
	// of 100, since a node's live heap is small compared with its memory budget of 128 MB.
	gcPercent = 200
	// memoryLimitFraction is the fraction of the memory of the node above which garbage
	// collections become more frequent.
	memoryLimitFraction = 0.625
)

// Main runs the daemon until SIGTERM or SIGINT and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	app := kingpin.New("plantainnode", "Node daemon of plantainramp for one upstream instance.")
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(nil)
	app.Version(build.Version)
	settingsPath := app.Flag("settings", "Settings file.").PlaceHolder("FILE").String()
	printExample := app.Flag("example-settings", "Print valid example settings with comments, and exit.").Bool()
	if _, err := app.Parse(args); err != nil {
		_, _ = fmt.Fprintf(errOut, "plantainnode: %s; see plantainnode --help\n", err)
		return ExitSettings
	}
	if *printExample {
		_, _ = io.WriteString(out, settings.Example)
		return ExitOK
	}
	if *settingsPath == "" {
		_, _ = fmt.Fprintln(errOut, "plantainnode: flag --settings FILE is required; --example-settings prints an example")
		return ExitSettings
	}
	s, err := settings.Load(*settingsPath)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return ExitSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(s.MemoryBytes)))
	if err := serve(stopsignal.Context(), s, out); err != nil {
		_, _ = fmt.Fprintf(errOut, "plantainnode: %s\n", err)
		return ExitFailed
	}
	return ExitOK
}

// serve runs a node until ctx ends. If the fleet removes the node from the list of
// members, serve starts a new node with a new member id.
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
		logs.WithComponent(logger, logs.ComponentNode).WithError(ended).Warn("node was removed from the list of members; starting it under a new member id")
	}
}

// Package root assembles the commands of plantainramp, the command line for operators.
package root

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/clock"
	configcheck "github.com/plantainramp/plantainramp/pkg/cmd/config/check"
	"github.com/plantainramp/plantainramp/pkg/cmd/explain"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/cmd/key/newkey"
	"github.com/plantainramp/plantainramp/pkg/cmd/load/compare"
	"github.com/plantainramp/plantainramp/pkg/cmd/load/emulate"
	"github.com/plantainramp/plantainramp/pkg/cmd/load/run"
	"github.com/plantainramp/plantainramp/pkg/cmd/log/filter"
	"github.com/plantainramp/plantainramp/pkg/cmd/log/plot"
	"github.com/plantainramp/plantainramp/pkg/cmd/log/tail"
	memberlist "github.com/plantainramp/plantainramp/pkg/cmd/member/list"
	"github.com/plantainramp/plantainramp/pkg/cmd/settings/check"
	stateshow "github.com/plantainramp/plantainramp/pkg/cmd/state/show"
	"github.com/plantainramp/plantainramp/pkg/cmd/ticket/file"
	ticketlist "github.com/plantainramp/plantainramp/pkg/cmd/ticket/list"
	ticketshow "github.com/plantainramp/plantainramp/pkg/cmd/ticket/show"
	"github.com/plantainramp/plantainramp/pkg/cmd/version"
)

const help = `Operate plantainramp: file change tickets and show the configuration in effect.

Exit codes: 0 success, 1 failure, 2 invalid command line or input file, 3 ticket refused, 4 undecided: repeat the command.`

// Main runs the command line and returns its exit code.
func Main(args []string, streams *iostreams.IOStreams) int {
	f := &factory.Factory{Streams: streams, Clock: clock.System{}}
	app := New(f)
	terminated := false
	app.Terminate(func(int) { terminated = true })
	_, err := app.Parse(args)
	if terminated || err == nil {
		return factory.ExitOK
	}
	_, _ = fmt.Fprintf(streams.ErrOut, "plantainramp: %s\n", err)
	code := factory.ExitCode(err)
	if code == factory.ExitUsage {
		_, _ = fmt.Fprintln(streams.ErrOut, "See plantainramp --help.")
	}
	return code
}

// New returns the application with all commands.
func New(f *factory.Factory) *kingpin.Application {
	app := kingpin.New("plantainramp", help)
	app.UsageWriter(f.Streams.Out).ErrorWriter(f.Streams.ErrOut)
	app.Flag("node", "URL of the admin API of any node.").Envar("PLANTAINRAMP_NODE").Default("http://127.0.0.1:7003").StringVar(&f.NodeURL)
	app.Flag("log", "URL of the platform's log.").Envar("PLANTAINRAMP_LOG").Default("http://127.0.0.1:6000").StringVar(&f.LogURL)
	ticket := app.Command("ticket", "File and show change tickets.")
	file.NewCmdFile(f, ticket, nil)
	ticketlist.NewCmdList(f, ticket, nil)
	ticketshow.NewCmdShow(f, ticket, nil)
	stateshow.NewCmdShow(f, app.Command("state", "Show the configuration in effect."), nil)
	memberlist.NewCmdList(f, app.Command("member", "Show the list of members."), nil)
	check.NewCmdCheck(f, app.Command("settings", "Check settings."), nil)
	configcheck.NewCmdCheck(f, app.Command("config", "Check configurations of plantainmesh."), nil)
	newkey.NewCmdNew(f, app.Command("key", "Create callers' keys."), nil)
	load := app.Command("load", "Run and compare experiments.")
	run.NewCmdRun(f, load, nil)
	compare.NewCmdCompare(f, load, nil)
	emulate.NewCmdEmulate(f, load, nil)
	log := app.Command("log", "Read the nodes' logs.")
	filter.NewCmdFilter(f, log, nil)
	tail.NewCmdTail(f, log, nil)
	plot.NewCmdPlot(f, log, nil)
	explain.NewCmdExplain(f, app, nil)
	version.NewCmdVersion(f, app)
	return app
}

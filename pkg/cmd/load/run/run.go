// Package run implements the command plantainramp load run.
package run

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/load"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Clock   clock.Clock

	ScenarioPath string
	MeshPath     string
	JSON         bool
}

// NewCmdRun adds the command to its parent. runF, if not nil, runs in place of the
// command.
func NewCmdRun(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Clock: f.Clock}
	cmd := parent.Command("run", "Run a scenario against a running fleet and print its measures.\n\nExamples:\n  plantainramp load run scenarios/teranga-slow.ini --mesh out/mesh.ini")
	cmd.Arg("scenario", "Scenario file.").Required().StringVar(&opts.ScenarioPath)
	cmd.Flag("mesh", "File that lists the nodes, the stand-ins and the callers' keys.").Required().StringVar(&opts.MeshPath)
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, loadRun))
}

func loadRun(opts *Options) error {
	text, err := readFile(opts.ScenarioPath)
	if err != nil {
		return err
	}
	scenario, err := load.ParseScenario(opts.ScenarioPath, text)
	if err != nil {
		return err
	}
	if text, err = readFile(opts.MeshPath); err != nil {
		return err
	}
	mesh, err := load.ParseMesh(opts.MeshPath, text)
	if err != nil {
		return err
	}
	runner := &load.Runner{Clock: opts.Clock}
	if opts.Streams.Terminal {
		runner.Progress = func(at time.Duration, succeeded, all int) {
			_, _ = fmt.Fprintf(opts.Streams.ErrOut, "\r%6s  %d of %d succeeded ", at.Truncate(time.Second), succeeded, all)
		}
	}
	outcomes, err := runner.Run(context.Background(), scenario, mesh)
	if err != nil {
		return err
	}
	return printResults(opts, load.ComputeResults(scenario, mesh.Policy, outcomes))
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &settings.FileError{Path: path, Cause: err}
	}
	return text, nil
}

func printResults(opts *Options, results *load.Results) error {
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, results)
	}
	_, _ = fmt.Fprintf(opts.Streams.Out, "%s, policy %s, scale %s, seed %d\n", results.Scenario, results.Policy, results.Scale, results.Seed)
	metricTable := tableprinter.New(opts.Streams, "MEASURE", "VALUE")
	for _, f := range load.Metrics {
		metricTable.Add(f.Name, fmt.Sprintf("%.4g", f.Value(results)))
	}
	if err := metricTable.Render(); err != nil {
		return err
	}
	classTable := tableprinter.New(opts.Streams, "ORGANISATION", "CLASS", "ARRIVALS", "WHOLE", "GOODPUT/S", "TRIES", "P50 MS", "P99 MS")
	for _, r := range results.ByClass {
		classTable.Add(r.Organisation, r.Class, r.Arrivals, r.Succeeded, fmt.Sprintf("%.1f", r.Goodput), fmt.Sprintf("%.2f", r.TriesPerArrival), r.P50Ms, r.P99Ms)
	}
	return classTable.Render()
}

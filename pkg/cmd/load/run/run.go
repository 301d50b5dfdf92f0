// Package run implements plantainramp load run.
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

// Options of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Clock   clock.Clock

	Scenario string
	Mesh     string
	JSON     bool
}

// NewCmdRun adds the command to its parent.
func NewCmdRun(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Clock: f.Clock}
	cmd := parent.Command("run", "Play a scenario against a running fleet and print the four measures.\n\nExamples:\n  plantainramp load run scenarios/teranga-slow.ini --mesh out/mesh.ini")
	cmd.Arg("scenario", "Scenario file.").Required().StringVar(&opts.Scenario)
	cmd.Flag("mesh", "File that names the nodes, stand-ins and keys.").Required().StringVar(&opts.Mesh)
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, loadRun))
}

func loadRun(opts *Options) error {
	text, err := read(opts.Scenario)
	if err != nil {
		return err
	}
	scenario, err := load.Parse(opts.Scenario, text)
	if err != nil {
		return err
	}
	if text, err = read(opts.Mesh); err != nil {
		return err
	}
	mesh, err := load.ParseMesh(opts.Mesh, text)
	if err != nil {
		return err
	}
	runner := &load.Runner{Clock: opts.Clock}
	if opts.Streams.Terminal {
		runner.Progress = func(at time.Duration, whole, all int) {
			_, _ = fmt.Fprintf(opts.Streams.ErrOut, "\r%6s  %d of %d whole ", at.Truncate(time.Second), whole, all)
		}
	}
	outcomes, err := runner.Run(context.Background(), scenario, mesh)
	if err != nil {
		return err
	}
	return show(opts, load.Measure(scenario, mesh.Policy, outcomes))
}

func read(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &settings.FileError{Path: path, Cause: err}
	}
	return text, nil
}

func show(opts *Options, m *load.Measures) error {
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, m)
	}
	_, _ = fmt.Fprintf(opts.Streams.Out, "%s, policy %s, scale %s, seed %d\n", m.Scenario, m.Policy, m.Scale, m.Seed)
	figures := tableprinter.New(opts.Streams, "MEASURE", "VALUE")
	for _, f := range load.Figures {
		figures.Add(f.Name, fmt.Sprintf("%.4g", f.Of(m)))
	}
	if err := figures.Render(); err != nil {
		return err
	}
	rows := tableprinter.New(opts.Streams, "ORGANISATION", "CLASS", "ARRIVALS", "WHOLE", "GOODPUT/S", "TRIES", "P50 MS", "P99 MS")
	for _, r := range m.Rows {
		rows.Add(r.Organisation, r.Class, r.Arrivals, r.Whole, fmt.Sprintf("%.1f", r.Goodput), fmt.Sprintf("%.2f", r.Tries), r.P50Ms, r.P99Ms)
	}
	return rows.Render()
}

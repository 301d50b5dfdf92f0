// Package plot implements the command plantainramp log plot.
package plot

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/cmd/log/shared"
	"github.com/plantainramp/plantainramp/pkg/logview"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Input   shared.Input
	// Create creates the output file.
	Create  func(path string) (io.WriteCloser, error)
	OutPath string
}

// NewCmdPlot adds the command to its parent. runF, if not nil, runs in place of the
// command.
func NewCmdPlot(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{
		Streams: f.Streams, Input: shared.Input{Stdin: f.Streams.In, Open: shared.OpenFile},
		Create: func(path string) (io.WriteCloser, error) { return os.Create(path) },
	}
	cmd := parent.Command("plot", "Plot refusals, fullness of services and age of the configuration over time, as SVG.\n\nExamples:\n  plantainramp log plot node-*.log --out window.svg --from 2026-04-22T18:45:00Z --until 2026-04-22T18:46:00Z")
	cmd.Arg("log", "Log files; standard input if none is given.").StringsVar(&opts.Input.Paths)
	cmd.Flag("out", "Output file.").Default("timeline.svg").StringVar(&opts.OutPath)
	opts.Input.AddFlags(cmd)
	cmd.Action(factory.Run(opts, runF, plotRun))
}

func plotRun(opts *Options) error {
	timeline := &logview.Timeline{}
	if err := opts.Input.Scan(timeline.Add); err != nil {
		return err
	}
	if timeline.Empty() {
		return &logview.NoLinesError{}
	}
	file, err := opts.Create(opts.OutPath)
	if err != nil {
		return &settings.FileError{Path: opts.OutPath, Cause: err}
	}
	err = timeline.Write(file)
	if closeErr := file.Close(); err == nil && closeErr != nil {
		err = &settings.FileError{Path: opts.OutPath, Cause: closeErr}
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(opts.Streams.Out, "%s: %s\n", opts.OutPath, timeline)
	return err
}

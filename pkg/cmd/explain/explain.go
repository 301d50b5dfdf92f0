// Package explain implements the command plantainramp explain.
package explain

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/logview"
	"github.com/plantainramp/plantainramp/pkg/requesttrace"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Open    func(path string) (io.ReadCloser, error)

	RequestID string
	Paths     []string
	JSON      bool
}

// NewCmdExplain adds the command to the application. runF, if not nil, runs in place of
// the command.
func NewCmdExplain(f *factory.Factory, parent *kingpin.Application, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Open: func(path string) (io.ReadCloser, error) { return os.Open(path) }}
	cmd := parent.Command("explain", "Explain from the nodes' logs how a request ended, and why.\n\nExamples:\n  plantainramp explain 9c41d07be2a35f68 node-*.log\n  cat *.log | plantainramp explain 9c41d07be2a35f68")
	cmd.Arg("request", "Id of the request.").Required().StringVar(&opts.RequestID)
	cmd.Arg("log", "Log files; standard input if none is given.").StringsVar(&opts.Paths)
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, explainRun))
}

func explainRun(opts *Options) error {
	collector := &requesttrace.Collector{RequestID: opts.RequestID}
	if len(opts.Paths) == 0 {
		if err := collector.ReadLog(opts.Streams.In); err != nil {
			return err
		}
	}
	for _, path := range opts.Paths {
		if err := readFile(opts, collector, path); err != nil {
			return err
		}
	}
	trace := collector.Trace()
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, trace)
	}
	return printTrace(opts.Streams.Out, trace)
}

func readFile(opts *Options, collector *requesttrace.Collector, path string) error {
	file, err := opts.Open(path)
	if err != nil {
		return &settings.FileError{Path: path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	return collector.ReadLog(file)
}

func printTrace(out io.Writer, trace *requesttrace.Trace) error {
	for i := range trace.Lines {
		if err := logview.WriteLine(out, &trace.Lines[i]); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "cause: %s\n", trace.Cause)
	return err
}

// Package filter implements the command plantainramp log filter.
package filter

import (
	"encoding/json"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/cmd/log/shared"
	"github.com/plantainramp/plantainramp/pkg/logview"
	"github.com/plantainramp/plantainramp/pkg/requesttrace"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Input   shared.Input
	JSON    bool
}

// NewCmdFilter adds the command to its parent. runF, if not nil, runs in place of the
// command.
func NewCmdFilter(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Input: shared.Input{Stdin: f.Streams.In, Open: shared.OpenFile}}
	cmd := parent.Command("filter", "Print the lines of the nodes' logs that match.\n\nExamples:\n  plantainramp log filter --message \"request refused\" --reason shed node-*.log\n  cat *.log | plantainramp log filter --organisation oaxaca --json")
	cmd.Arg("log", "Log files; standard input if none is given.").StringsVar(&opts.Input.Paths)
	cmd.Flag("json", "Print JSON, one event per line.").BoolVar(&opts.JSON)
	opts.Input.AddFlags(cmd)
	cmd.Action(factory.Run(opts, runF, filterRun))
}

func filterRun(opts *Options) error {
	var writeErr error
	encoder := json.NewEncoder(opts.Streams.Out)
	err := opts.Input.Scan(func(l requesttrace.LogLine) {
		if writeErr != nil {
			return
		}
		if opts.JSON {
			writeErr = encoder.Encode(l)
		} else {
			writeErr = logview.WriteLine(opts.Streams.Out, &l)
		}
	})
	if err != nil {
		return err
	}
	return writeErr
}

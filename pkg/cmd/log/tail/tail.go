// Package tail implements the command plantainramp log tail.
package tail

import (
	"bufio"
	"context"
	"errors"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/cmd/log/shared"
	"github.com/plantainramp/plantainramp/pkg/logview"
	"github.com/plantainramp/plantainramp/pkg/requesttrace"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// pollInterval is how often the file is checked for new lines.
const pollInterval = 200 * time.Millisecond

// Options holds the arguments and dependencies of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Clock   clock.Clock
	Input   shared.Input
	Path    string
}

// NewCmdTail adds the command to its parent. runF, if not nil, runs in place of the
// command.
func NewCmdTail(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Clock: f.Clock, Input: shared.Input{Open: shared.OpenFile}}
	cmd := parent.Command("tail", "Print the matching lines of one log file, and those that are appended, until interrupted.\n\nExamples:\n  plantainramp log tail node-1.log --message \"request refused\"")
	cmd.Arg("log", "Log file.").Required().StringVar(&opts.Path)
	opts.Input.AddFlags(cmd)
	cmd.Action(factory.Run(opts, runF, func(opts *Options) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		return tailRun(ctx, opts)
	}))
}

// tailRun prints matching lines of the log until ctx ends.
func tailRun(ctx context.Context, opts *Options) error {
	if err := opts.Input.ParseTimes(); err != nil {
		return err
	}
	file, err := opts.Input.Open(opts.Path)
	if err != nil {
		return &settings.FileError{Path: opts.Path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	reader := bufio.NewReader(file)
	var partialLine []byte
	for {
		text, err := reader.ReadBytes('\n')
		partialLine = append(partialLine, text...)
		switch {
		case err == nil:
			if err := printLine(opts, partialLine); err != nil {
				return err
			}
			partialLine = nil
		case !errors.Is(err, io.EOF):
			return &settings.FileError{Path: opts.Path, Cause: err}
		case clock.Sleep(ctx, opts.Clock, pollInterval) != nil:
			// An interrupt is the normal end of the command.
			return nil
		}
	}
}

func printLine(opts *Options, text []byte) error {
	line, ok := requesttrace.ParseLine(text)
	if !ok || !opts.Input.Filter.Matches(&line) {
		return nil
	}
	return logview.WriteLine(opts.Streams.Out, &line)
}

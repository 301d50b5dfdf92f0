// Package tail implements plantainramp log tail.
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

// lookEvery is how often the file is looked at for new lines.
const lookEvery = 200 * time.Millisecond

// Options of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Clock   clock.Clock
	Input   shared.Input
	Log     string
}

// NewCmdTail adds the command to its parent.
func NewCmdTail(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Clock: f.Clock, Input: shared.Input{Open: shared.OpenFile}}
	cmd := parent.Command("tail", "Print the lines of one log that fit, and those that are added, until interrupted.\n\nExamples:\n  plantainramp log tail node-1.log --message \"request refused\"")
	cmd.Arg("log", "Log file.").Required().StringVar(&opts.Log)
	opts.Input.Flags(cmd)
	cmd.Action(factory.Run(opts, runF, func(opts *Options) error {
		ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer stop()
		return tailRun(ctx, opts)
	}))
}

// tailRun follows the log until ctx ends.
func tailRun(ctx context.Context, opts *Options) error {
	if err := opts.Input.Times(); err != nil {
		return err
	}
	file, err := opts.Input.Open(opts.Log)
	if err != nil {
		return &settings.FileError{Path: opts.Log, Cause: err}
	}
	defer func() { _ = file.Close() }()
	reader := bufio.NewReader(file)
	var begun []byte
	for {
		text, err := reader.ReadBytes('\n')
		begun = append(begun, text...)
		switch {
		case err == nil:
			if err := show(opts, begun); err != nil {
				return err
			}
			begun = nil
		case !errors.Is(err, io.EOF):
			return &settings.FileError{Path: opts.Log, Cause: err}
		case clock.Sleep(ctx, opts.Clock, lookEvery) != nil:
			// Being interrupted is how the command ends.
			return nil
		}
	}
}

func show(opts *Options, text []byte) error {
	l, ok := requesttrace.ParseLine(text)
	if !ok || !opts.Input.Filter.Wants(&l) {
		return nil
	}
	return logview.Write(opts.Streams.Out, &l)
}

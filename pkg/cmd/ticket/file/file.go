// Package file implements the command plantainramp ticket file.
package file

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/adminclient"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/settings"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

const (
	// pollInterval is the interval between requests for the verdict.
	pollInterval = 100 * time.Millisecond
	// appendRetryDelay is the delay before a failed append is retried.
	appendRetryDelay = 500 * time.Millisecond
)

// Options holds the options of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Clock   clock.Clock
	Log     func() *platformlog.Client
	Node    func() *adminclient.Client

	// Path is the path of the ticket file; "-" or "" means standard input.
	Path string
	// Timeout is the time limit for filing the ticket and reading its verdict.
	Timeout time.Duration
	JSON    bool
}

// RefusedError reports that a ticket was refused.
type RefusedError struct {
	Number          fleet.TicketNumber
	RejectionReason string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("ticket %d was refused: %s", e.Number, e.RejectionReason)
}

// ExitCode implements factory.Coder.
func (e *RefusedError) ExitCode() int { return factory.ExitRefused }

// UndecidedError reports that no verdict on a ticket could be read before the timeout.
type UndecidedError struct {
	Number fleet.TicketNumber
	Cause  error
}

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("no verdict on ticket %d yet: %s; the ticket may still take effect, so run the same command again", e.Number, e.Cause)
}

// ExitCode implements factory.Coder.
func (e *UndecidedError) ExitCode() int { return factory.ExitUndecided }

// NewCmdFile adds the command to its parent. If runF is not nil, it replaces the
// implementation of the command.
func NewCmdFile(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Clock: f.Clock, Log: f.Log, Node: f.Node}
	cmd := parent.Command("file", "File a change ticket and print its verdict.\n\nExamples:\n  plantainramp ticket file 12.ticket\n  plantainramp ticket file - < 12.ticket")
	cmd.Arg("file", "Path of the ticket; - reads it from standard input.").Required().StringVar(&opts.Path)
	cmd.Flag("timeout", "Time limit for filing the ticket and reading its verdict.").Default("30s").DurationVar(&opts.Timeout)
	cmd.Flag("json", "Print the verdict as JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, fileRun))
}

func fileRun(opts *Options) error {
	text, err := readInput(opts)
	if err != nil {
		return err
	}
	t, err := ticket.Parse(opts.Path, text)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), opts.Timeout)
	defer cancel()
	if err := appendTicket(ctx, opts, t); err != nil {
		return err
	}
	verdict, err := awaitVerdict(ctx, opts, t)
	if err != nil {
		return err
	}
	return printVerdict(opts, verdict)
}

func readInput(opts *Options) ([]byte, error) {
	// kingpin passes a single dash as an empty argument.
	if opts.Path == "-" || opts.Path == "" {
		opts.Path = "standard input"
		text, err := io.ReadAll(opts.Streams.In)
		return text, eris.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(opts.Path)
	if err != nil {
		return nil, &settings.FileError{Path: opts.Path, Cause: err}
	}
	return text, nil
}

// appendTicket appends the ticket to the log and retries until the log confirms it.
// Retries are safe because every attempt appends the same record. It returns
// *UndecidedError if ctx ends first.
func appendTicket(ctx context.Context, opts *Options, t *ticket.Ticket) error {
	record, err := t.Record()
	if err != nil {
		return err
	}
	for {
		_, err := opts.Log().Append(ctx, platformlog.StreamConfig, record)
		if err == nil {
			return nil
		}
		if clock.Sleep(ctx, opts.Clock, appendRetryDelay) != nil {
			return &UndecidedError{Number: t.Number, Cause: err}
		}
	}
}

// awaitVerdict polls the node until it returns the verdict on the ticket. It returns
// *UndecidedError if ctx ends first.
func awaitVerdict(ctx context.Context, opts *Options, t *ticket.Ticket) (state.Verdict, error) {
	for {
		verdict, err := opts.Node().Ticket(ctx, t.Number, t.Digest())
		if err == nil {
			return verdict, nil
		}
		if clock.Sleep(ctx, opts.Clock, pollInterval) != nil {
			return verdict, &UndecidedError{Number: t.Number, Cause: err}
		}
	}
}

// printVerdict prints the verdict. It returns *RefusedError if the ticket was refused.
func printVerdict(opts *Options, verdict state.Verdict) error {
	if opts.JSON {
		if err := tableprinter.JSON(opts.Streams, verdict); err != nil {
			return err
		}
	}
	if !verdict.Accepted {
		return &RefusedError{Number: verdict.Number, RejectionReason: verdict.RejectionReason}
	}
	if !opts.JSON {
		_, _ = fmt.Fprintf(opts.Streams.Out, "ticket %d accepted at offset %d\n", verdict.Number, verdict.Offset)
	}
	return nil
}

// Package factory makes what commands need: streams, clock and clients.
package factory

import (
	"errors"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/adminclient"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/inifile"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Exit codes of plantainramp.
const (
	ExitOK = 0
	// ExitFailed: the command could not do its work.
	ExitFailed = 1
	// ExitUsage: the command line or an input file is not valid.
	ExitUsage = 2
	// ExitRefused: a ticket was refused.
	ExitRefused = 3
	// ExitUndecided: the log or a node did not answer in time; repeat the command.
	ExitUndecided = 4
)

// Factory makes what commands need.
type Factory struct {
	Streams *iostreams.IOStreams
	Clock   clock.Clock
	// NodeURL and LogURL are set from global flags.
	NodeURL, LogURL string
}

// Node returns the client of the node named by the flags.
func (f *Factory) Node() *adminclient.Client { return &adminclient.Client{URL: f.NodeURL} }

// Log returns the client of the log named by the flags.
func (f *Factory) Log() *platformlog.Client { return &platformlog.Client{URL: f.LogURL} }

// RunError wraps the error of a command's run, as opposed to one of its command
// line.
type RunError struct {
	Cause error
}

// Error implements error.
func (e *RunError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Cause }

// Run returns the action of a command: override where it is set, else run.
func Run[O any](opts *O, override, run func(*O) error) kingpin.Action {
	if override != nil {
		run = override
	}
	return func(*kingpin.ParseContext) error {
		if err := run(opts); err != nil {
			return &RunError{Cause: err}
		}
		return nil
	}
}

// ExitCoder is an error that names its exit code.
type ExitCoder interface {
	ExitCode() int
}

// ExitCode returns the exit code for the outcome of a command; an error that is
// no *RunError is one of the command line.
func ExitCode(err error) int {
	var runErr *RunError
	var exitCoder ExitCoder
	var invalidErr *inifile.InvalidError
	var fileErr *settings.FileError
	switch {
	case err == nil:
		return ExitOK
	case !errors.As(err, &runErr):
		return ExitUsage
	case errors.As(err, &exitCoder):
		return exitCoder.ExitCode()
	case errors.As(err, &invalidErr), errors.As(err, &fileErr):
		return ExitUsage
	default:
		return ExitFailed
	}
}

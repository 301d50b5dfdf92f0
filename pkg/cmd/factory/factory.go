// Package factory provides what the commands of plantainramp share: streams, clock,
// clients and exit codes.
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
	// ExitFailed means that the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line or an input file is not valid.
	ExitUsage = 2
	// ExitRefused means that a ticket was refused.
	ExitRefused = 3
	// ExitUndecided means that the log or a node did not respond in time, so that the
	// command should be repeated.
	ExitUndecided = 4
)

// Factory provides the dependencies of commands.
type Factory struct {
	Streams *iostreams.IOStreams
	Clock   clock.Clock
	// NodeURL and LogURL are the values of the global flags --node and --log.
	NodeURL, LogURL string
}

// Node returns a client of the admin API at NodeURL.
func (f *Factory) Node() *adminclient.Client { return &adminclient.Client{URL: f.NodeURL} }

// Log returns a client of the log at LogURL.
func (f *Factory) Log() *platformlog.Client { return &platformlog.Client{URL: f.LogURL} }

// RunError wraps an error that a command returned, as opposed to an error in the command
// line.
type RunError struct {
	Cause error
}

// Error implements error.
func (e *RunError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *RunError) Unwrap() error { return e.Cause }

// Run returns an action that calls override, or run if override is nil, and wraps its
// error in *RunError.
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

// ExitCoder is an error that determines the exit code.
type ExitCoder interface {
	ExitCode() int
}

// ExitCode returns the exit code for the result of parsing and running a command line.
// Any error without a *RunError in its chain is an error in the command line.
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

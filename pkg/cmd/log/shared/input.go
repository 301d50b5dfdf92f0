// Package shared holds what the commands about logs have in common.
package shared

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/pkg/logview"
	"github.com/plantainramp/plantainramp/pkg/requesttrace"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// InvalidTimeError reports a time on the command line that cannot be read.
type InvalidTimeError struct {
	Text string
}

// Error implements error.
func (e *InvalidTimeError) Error() string {
	return fmt.Sprintf("%q is no time; write it as log lines do, such as 2026-04-22T18:45:11.555Z", e.Text)
}

// Input is the lines that a command reads.
type Input struct {
	Stdin io.Reader
	Open  func(path string) (io.ReadCloser, error)

	Paths []string
	// From and Until are as on the command line.
	From, Until string
	Filter      logview.Filter
}

// OpenFile opens a file to read.
func OpenFile(path string) (io.ReadCloser, error) { return os.Open(path) }

// AddFlags adds the flags of the filter.
func (i *Input) AddFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("message", "Begin of the message, such as \"request refused\".").StringVar(&i.Filter.MessagePrefix)
	cmd.Flag("instance", "Instance whose node wrote the line.").StringVar(&i.Filter.Instance)
	cmd.Flag("reason", "Reason of a refusal or a call handed back.").StringVar(&i.Filter.Reason)
	cmd.Flag("route", "Name of a route.").StringVar(&i.Filter.Route)
	cmd.Flag("organisation", "Id of an organisation.").StringVar(&i.Filter.Organisation)
	cmd.Flag("request", "Begin of the id of a request; its calls are shown too.").StringVar(&i.Filter.RequestPrefix)
	cmd.Flag("from", "Time of the first line.").StringVar(&i.From)
	cmd.Flag("until", "Time that the last line is before.").StringVar(&i.Until)
}

// ParseTimes reads the bounds of time. It returns *BadTimeError.
func (i *Input) ParseTimes() error {
	for text, at := range map[string]*time.Time{i.From: &i.Filter.From, i.Until: &i.Filter.Until} {
		if text == "" {
			continue
		}
		var err error
		if *at, err = time.Parse(time.RFC3339Nano, text); err != nil {
			return &InvalidTimeError{Text: text}
		}
	}
	return nil
}

// Scan hands on the lines that are wanted, of all files or of the standard
// input. It returns *settings.FileError, *BadTimeError or the error of a log.
func (i *Input) Scan(handle func(requesttrace.LogLine)) error {
	if err := i.ParseTimes(); err != nil {
		return err
	}
	handleMatching := func(l requesttrace.LogLine) {
		if i.Filter.Matches(&l) {
			handle(l)
		}
	}
	if len(i.Paths) == 0 {
		return requesttrace.ScanLog(i.Stdin, handleMatching)
	}
	for _, path := range i.Paths {
		if err := i.scanFile(path, handleMatching); err != nil {
			return err
		}
	}
	return nil
}

func (i *Input) scanFile(path string, handle func(requesttrace.LogLine)) error {
	file, err := i.Open(path)
	if err != nil {
		return &settings.FileError{Path: path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	return requesttrace.ScanLog(file, handle)
}

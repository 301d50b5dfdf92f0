// Package shared holds the input flags and the file reading that the log commands have
// in common.
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

// InvalidTimeError reports a time on the command line that is not in RFC 3339 format.
type InvalidTimeError struct {
	Text string
}

// Error implements error.
func (e *InvalidTimeError) Error() string {
	return fmt.Sprintf("%q is not a valid time; write it as log lines do, such as 2026-04-22T18:45:11.555Z", e.Text)
}

// Input selects the log lines that a command reads.
type Input struct {
	Stdin io.Reader
	Open  func(path string) (io.ReadCloser, error)

	// Paths are the log files to read; if empty, Scan reads Stdin.
	Paths []string
	// From and Until are the texts of the flags; ParseTimes sets Filter from them.
	From, Until string
	Filter      logview.Filter
}

// OpenFile opens a file for reading.
func OpenFile(path string) (io.ReadCloser, error) { return os.Open(path) }

// AddFlags adds the filter flags to a command.
func (i *Input) AddFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("message", "Prefix of the message, such as \"request refused\".").StringVar(&i.Filter.MessagePrefix)
	cmd.Flag("instance", "Instance whose node wrote the line.").StringVar(&i.Filter.Instance)
	cmd.Flag("reason", "Reason why a request was refused or a call was handed back.").StringVar(&i.Filter.Reason)
	cmd.Flag("route", "Name of a route.").StringVar(&i.Filter.Route)
	cmd.Flag("organisation", "Id of an organisation.").StringVar(&i.Filter.Organisation)
	cmd.Flag("request", "Prefix of the request id; calls made for the request match too.").StringVar(&i.Filter.RequestPrefix)
	cmd.Flag("from", "Show only lines at or after this time.").StringVar(&i.From)
	cmd.Flag("until", "Show only lines before this time.").StringVar(&i.Until)
}

// ParseTimes parses From and Until into the filter. It returns *InvalidTimeError.
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

// Scan calls handle with each line that matches the filter, from all files or from
// standard input. It returns *settings.FileError, *InvalidTimeError or the read error of
// a log.
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

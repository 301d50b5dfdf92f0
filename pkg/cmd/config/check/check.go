// Package check implements the command plantainramp config check.
package check

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/configcheck"
	"github.com/plantainramp/plantainramp/pkg/settings"
	"github.com/plantainramp/plantainramp/platform"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Streams *iostreams.IOStreams
	// Read reads a file.
	Read func(path string) ([]byte, error)
	// Decode decodes a configuration.
	Decode func(body []byte) (*configcheck.Config, error)

	Path, Against string
	JSON          bool
}

// ProblemsError reports a configuration with errors.
type ProblemsError struct {
	Path   string
	Errors int
}

// Error implements error.
func (e *ProblemsError) Error() string { return fmt.Sprintf("%s has %d errors", e.Path, e.Errors) }

// result is what the command prints as JSON.
type result struct {
	Findings    []configcheck.Finding    `json:"findings"`
	Differences []configcheck.Difference `json:"differences"`
}

// NewCmdCheck adds the command to its parent. If runF is not nil, it replaces the
// implementation of the command.
func NewCmdCheck(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Read: os.ReadFile, Decode: platform.DescribeManifest}
	cmd := parent.Command("check", "Check a configuration of plantainmesh before it is sent: errors, entries that can never match, limits that contradict each other, and what differs from another version.\n\nExamples:\n  plantainramp config check next.json --against inForce.json")
	cmd.Arg("file", "Configuration as it would be written to the store.").Required().StringVar(&opts.Path)
	cmd.Flag("against", "Configuration in force.").PlaceHolder("FILE").StringVar(&opts.Against)
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, checkRun))
}

func checkRun(opts *Options) error {
	config, err := load(opts, opts.Path)
	if err != nil {
		return err
	}
	r := result{Findings: configcheck.Check(config)}
	if opts.Against != "" {
		before, err := load(opts, opts.Against)
		if err != nil {
			return err
		}
		r.Differences = configcheck.Compare(before, config)
		if config.Version <= before.Version {
			r.Findings = append(r.Findings, configcheck.Finding{
				Severity: configcheck.SeverityError, Entry: "version",
				Problem: fmt.Sprintf("%d is not above %d, which is in force, so that nodes ignore it", config.Version, before.Version),
			})
		}
	}
	if err := r.print(opts); err != nil {
		return err
	}
	errorCount := 0
	for _, f := range r.Findings {
		if f.Severity == configcheck.SeverityError {
			errorCount++
		}
	}
	if errorCount > 0 {
		return &ProblemsError{Path: opts.Path, Errors: errorCount}
	}
	return nil
}

func load(opts *Options, path string) (*configcheck.Config, error) {
	body, err := opts.Read(path)
	if err != nil {
		return nil, &settings.FileError{Path: path, Cause: err}
	}
	config, err := opts.Decode(body)
	if err != nil {
		return nil, &settings.FileError{Path: path, Cause: err}
	}
	return config, nil
}

func (r *result) print(opts *Options) error {
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, r)
	}
	table := tableprinter.New(opts.Streams, "KIND", "ENTRY", "WHAT")
	for _, f := range r.Findings {
		table.Add(f.Severity, f.Entry, f.Problem)
	}
	for _, d := range r.Differences {
		table.Add(d.Kind, d.Entry, d.Detail)
	}
	return table.Render()
}

// Package check implements plantainramp settings check.
package check

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Options of the command.
type Options struct {
	Streams *iostreams.IOStreams

	Path string
}

// NewCmdCheck adds the command to its parent.
func NewCmdCheck(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams}
	cmd := parent.Command("check", "Check a node's settings and print every problem.\n\nExamples:\n  plantainramp settings check node.ini")
	cmd.Arg("file", "Settings file.").Required().StringVar(&opts.Path)
	cmd.Action(factory.Run(opts, runF, checkRun))
}

func checkRun(opts *Options) error {
	if _, err := settings.Load(opts.Path); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.Streams.Out, "%s is valid\n", opts.Path)
	return nil
}

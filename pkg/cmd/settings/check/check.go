// Package check implements the command plantainramp settings check.
package check

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/inifile"
	"github.com/plantainramp/plantainramp/pkg/mesh"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// meshSection is a section that only the settings of plantainmesh have.
const meshSection = "store"

// Options holds the options of the command.
type Options struct {
	Streams *iostreams.IOStreams

	Path string
}

// NewCmdCheck adds the command to its parent. If runF is not nil, it replaces the
// implementation of the command.
func NewCmdCheck(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams}
	cmd := parent.Command("check", "Check the settings of plantainmesh or plantainnode and print every problem.\n\nExamples:\n  plantainramp settings check node.ini")
	cmd.Arg("file", "Settings file.").Required().StringVar(&opts.Path)
	cmd.Action(factory.Run(opts, runF, checkRun))
}

func checkRun(opts *Options) error {
	text, err := os.ReadFile(opts.Path)
	if err != nil {
		return &settings.FileError{Path: opts.Path, Cause: err}
	}
	parsed, err := inifile.Parse(opts.Path, text)
	if err != nil {
		return err
	}
	if parsed.Section(meshSection).Present() {
		_, err = mesh.ParseSettings(opts.Path, text)
	} else {
		_, err = settings.Load(opts.Path)
	}
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(opts.Streams.Out, "%s is valid\n", opts.Path)
	return nil
}

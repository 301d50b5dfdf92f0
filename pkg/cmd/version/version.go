// Package version implements the command plantainramp version.
package version

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/build"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
)

// NewCmdVersion adds the command to the application.
func NewCmdVersion(f *factory.Factory, app *kingpin.Application) {
	cmd := app.Command("version", "Print the version.\n\nExamples:\n  plantainramp version")
	cmd.Action(func(*kingpin.ParseContext) error {
		_, _ = fmt.Fprintln(f.Streams.Out, "plantainramp "+build.Version)
		return nil
	})
}

// Package newkey implements the command plantainramp key new.
package newkey

import (
	"fmt"
	"regexp"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-zA-Z0-9.-]{0,62}$`)

// Options holds the options of the command.
type Options struct {
	Streams *iostreams.IOStreams

	ID   string
	JSON bool
}

// IDError reports that a key id is not valid.
type IDError struct {
	ID string
}

// Error implements error.
func (e *IDError) Error() string {
	return fmt.Sprintf(`key id %q is not valid; use up to 63 letters, digits, "." and "-", starting with a lower-case letter or digit`, e.ID)
}

// ExitCode implements factory.Coder.
func (e *IDError) ExitCode() int { return factory.ExitUsage }

// Output is the JSON form of a new key.
type Output struct {
	ID     fleet.KeyID      `json:"id"`
	Key    string           `json:"key"`
	Digest ticket.KeyDigest `json:"digest"`
}

// NewCmdNew adds the command to its parent. If runF is not nil, it replaces the
// implementation of the command.
func NewCmdNew(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams}
	cmd := parent.Command("new", "Create a caller's key and its digest. Give the key to the caller, and put only the digest into a ticket.\n\nExamples:\n  plantainramp key new dakar-1")
	cmd.Arg("id", "Id of the key in tickets.").Required().StringVar(&opts.ID)
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, newRun))
}

func newRun(opts *Options) error {
	if !idPattern.MatchString(opts.ID) {
		return &IDError{ID: opts.ID}
	}
	key, digest := ticket.NewKey(fleet.KeyID(opts.ID))
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, Output{ID: fleet.KeyID(opts.ID), Key: key, Digest: digest})
	}
	table := tableprinter.New(opts.Streams, "FIELD", "VALUE")
	table.Add("key", key)
	table.Add("digest", digest)
	return table.Render()
}

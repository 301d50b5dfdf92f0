// Package list implements the command plantainramp ticket list.
package list

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/adminclient"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
)

// Options holds the options of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Node    func() *adminclient.Client

	JSON bool
}

// NewCmdList adds the command to its parent. If runF is not nil, it replaces the
// implementation of the command.
func NewCmdList(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Node: f.Node}
	cmd := parent.Command("list", "List tickets with their verdicts.\n\nExamples:\n  plantainramp ticket list\n  plantainramp ticket list --json")
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, listRun))
}

func listRun(opts *Options) error {
	verdicts, err := opts.Node().Tickets(context.Background())
	if err != nil {
		return err
	}
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, verdicts)
	}
	table := tableprinter.New(opts.Streams, "NUMBER", "VERDICT", "AUTHOR", "REASON", "WHY")
	for _, v := range verdicts {
		verdict := "accepted"
		if !v.Accepted {
			verdict = "refused"
		}
		table.Add(v.Number, verdict, v.Author, v.Reason, v.RejectionReason)
	}
	return table.Render()
}

// Package show implements the command plantainramp ticket show.
package show

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/adminclient"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// Options holds the options of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Node    func() *adminclient.Client

	Number uint64
	JSON   bool
}

// NewCmdShow adds the command to its parent. If runF is not nil, it replaces the
// implementation of the command.
func NewCmdShow(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Node: f.Node}
	cmd := parent.Command("show", "Show the verdict on a ticket.\n\nExamples:\n  plantainramp ticket show 12")
	cmd.Arg("number", "Number of the ticket.").Required().Uint64Var(&opts.Number)
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, showRun))
}

func showRun(opts *Options) error {
	v, err := opts.Node().Ticket(context.Background(), fleet.TicketNumber(opts.Number), "")
	if err != nil {
		return err
	}
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, v)
	}
	table := tableprinter.New(opts.Streams, "FIELD", "VALUE")
	table.Add("number", v.Number)
	table.Add("accepted", v.Accepted)
	if v.RejectionReason != "" {
		table.Add("why", v.RejectionReason)
	}
	table.Add("author", v.Author)
	table.Add("reason", v.Reason)
	table.Add("offset", v.Offset)
	for _, ref := range v.Objects {
		table.Add("touches", formatRef(ref))
	}
	return table.Render()
}

func formatRef(ref ticket.Ref) string { return fmt.Sprintf("%s %s", ref.Kind, ref.Name) }

// Package list implements the command plantainramp member list.
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
	cmd := parent.Command("list", "List the members of the fleet that a node knows.\n\nExamples:\n  plantainramp member list --node http://127.0.0.1:7003")
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, listRun))
}

func listRun(opts *Options) error {
	members, err := opts.Node().Members(context.Background())
	if err != nil {
		return err
	}
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, members)
	}
	table := tableprinter.New(opts.Streams, "INSTANCE", "SERVICE", "DATA CENTRE", "PEERS", "SLOTS", "MEMBER")
	for _, m := range members {
		table.Add(m.Instance, m.Service, m.DataCentre, m.PeerAddress, m.Slots, m.ID)
	}
	return table.Render()
}

// Package show implements the command plantainramp state show.
package show

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/lo"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/admin"
	"github.com/plantainramp/plantainramp/pkg/adminclient"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

// Options holds the options of the command.
type Options struct {
	Streams *iostreams.IOStreams
	Node    func() *adminclient.Client

	// Kind limits the output to one kind of object. If it is empty, all are shown.
	Kind string
	JSON bool
}

// NewCmdShow adds the command to its parent. If runF is not nil, it replaces the
// implementation of the command.
func NewCmdShow(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams, Node: f.Node}
	cmd := parent.Command("show", "Show the objects in effect, the ticket that set each, and the ticket it replaced.\n\nExamples:\n  plantainramp state show\n  plantainramp state show organisation")
	cmd.Arg("kind", "Kind of object: organisation, key, service or upstream.").EnumVar(&opts.Kind,
		string(ticket.KindOrganisation), string(ticket.KindKey), string(ticket.KindService), string(ticket.KindUpstream))
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, showRun))
}

func showRun(opts *Options) error {
	objects, err := opts.Node().Objects(context.Background())
	if err != nil {
		return err
	}
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, objects)
	}
	table := tableprinter.New(opts.Streams, "KIND", "NAME", "VALUE", "TICKET", "REPLACED")
	addObjects(table, opts.Kind, objects)
	return table.Render()
}

func addObjects(table *tableprinter.Table, wantKind string, objects admin.Objects) {
	addKind(table, wantKind, ticket.KindOrganisation, objects.Organisations, func(o ticket.Organisation) (string, string) {
		return string(o.ID), fmt.Sprintf("rate %g/s burst %g weight %g", float64(o.Rate), float64(o.Burst), o.Weight)
	})
	addKind(table, wantKind, ticket.KindKey, objects.Keys, func(k ticket.Key) (string, string) {
		return string(k.ID), fmt.Sprintf("organisation %s %s", k.Organisation, k.State)
	})
	addKind(table, wantKind, ticket.KindService, objects.Services, func(s ticket.Service) (string, string) {
		routes := lo.Map(s.Routes, func(r ticket.Route, _ int) string { return r.String() })
		return string(s.Name), strings.Join(routes, "; ")
	})
	addKind(table, wantKind, ticket.KindUpstream, objects.Upstreams, func(u ticket.Upstream) (string, string) {
		return string(u.Instance), u.State
	})
}

func addKind[T any](table *tableprinter.Table, wantKind string, kind ticket.ObjectKind, objects []state.InForce[T], describe func(T) (string, string)) {
	if wantKind != "" && wantKind != string(kind) {
		return
	}
	for _, o := range objects {
		name, value := describe(o.Value)
		table.Add(kind, name, value, o.Ticket, o.Replaced)
	}
}

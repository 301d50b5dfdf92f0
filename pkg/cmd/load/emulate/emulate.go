// Package emulate implements the command plantainramp load emulate.
package emulate

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/lo"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/emulator"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Streams *iostreams.IOStreams

	Files []string
	// RandomGraphs is the number of random call graphs to add to those of the files.
	RandomGraphs int
	Loads        []string
	Strategies   []string
	// SeedCount is the number of seeds to emulate each combination with. The
	// seeds are derived from Seed.
	SeedCount int
	Seed      uint64
	JSON      bool
}

// NewCmdEmulate adds the command to its parent. runF, if not nil, runs in place of
// the command.
func NewCmdEmulate(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams}
	cmd := parent.Command("emulate", "Compare admission strategies on call graphs in virtual time.\n\nExamples:\n  plantainramp load emulate shapes/teranga.ini --load surge --load flood\n  plantainramp load emulate --random 5 --way plan --way rates --seeds 5")
	cmd.Arg("shape", "Call graph file; may be repeated.").StringsVar(&opts.Files)
	cmd.Flag("random", "Number of random call graphs to add.").IntVar(&opts.RandomGraphs)
	cmd.Flag("load", "Load pattern to emulate; may be repeated. Default: all.").EnumsVar(&opts.Loads, loadNames()...)
	cmd.Flag("way", "Admission strategy to compare; may be repeated. Default: all.").EnumsVar(&opts.Strategies, strategyNames()...)
	cmd.Flag("seeds", "Number of seeds to emulate each combination with.").Default("2").IntVar(&opts.SeedCount)
	cmd.Flag("seed", "Number from which the seeds are derived.").Default("1").Uint64Var(&opts.Seed)
	cmd.Flag("json", "Print JSON.").BoolVar(&opts.JSON)
	cmd.Action(factory.Run(opts, runF, emulateRun))
}

func loadNames() []string {
	return lo.Map(emulator.Loads(""), func(l emulator.Load, _ int) string { return l.Name })
}

func strategyNames() []string {
	return lo.Map(emulator.Strategies(), func(s emulator.Strategy, _ int) string { return s.Name })
}

// NoCallGraphError means that the command line names no call graph.
type NoCallGraphError struct{}

// Error implements error.
func (*NoCallGraphError) Error() string {
	return "no call graph is given; name a file such as shapes/teranga.ini or use --random 3"
}

func emulateRun(opts *Options) error {
	graphs, err := readCallGraphs(opts)
	if err != nil {
		return err
	}
	loads, strategies := opts.Loads, emulator.Strategies()
	if len(loads) == 0 {
		loads = loadNames()
	}
	if len(opts.Strategies) > 0 {
		strategies = lo.Filter(strategies, func(s emulator.Strategy, _ int) bool { return lo.Contains(opts.Strategies, s.Name) })
	}
	rows := emulator.Compare(graphs, loads, strategies, emulator.Seeds(opts.Seed, opts.SeedCount))
	if opts.JSON {
		return tableprinter.JSON(opts.Streams, rows)
	}
	return printTable(opts, rows)
}

func readCallGraphs(opts *Options) ([]*emulator.CallGraph, error) {
	var graphs []*emulator.CallGraph
	for _, path := range opts.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, &settings.FileError{Path: path, Cause: err}
		}
		g, err := emulator.ParseCallGraph(path, text)
		if err != nil {
			return nil, err
		}
		graphs = append(graphs, g)
	}
	for i := range max(opts.RandomGraphs, 0) {
		graphs = append(graphs, emulator.RandomCallGraph(opts.Seed+uint64(i)))
	}
	if len(graphs) == 0 {
		return nil, &NoCallGraphError{}
	}
	return graphs, nil
}

func printTable(opts *Options, rows []emulator.Row) error {
	table := tableprinter.New(opts.Streams, "LOAD", "WAY", "RUNS", "WORTH", "IN TRIGGER", "SLOTS USED WELL", "WASTED", "WORST CLASS", "SLOWEST RECOVERY")
	for _, r := range rows {
		slowest := r.Slowest.String()
		if r.Slowest == emulator.NeverRecovered {
			slowest = "never"
		}
		table.Add(r.Load, r.Way, r.Runs, formatFraction(r.Worth), formatFraction(r.TriggerWorth), formatFraction(r.Used), formatFraction(r.Wasted), formatFraction(r.WorstClass), slowest)
	}
	return table.Render()
}

func formatFraction(value float64) string { return fmt.Sprintf("%.3f", value) }

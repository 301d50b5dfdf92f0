// Package compare implements the command plantainramp load compare.
package compare

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/internal/tableprinter"
	"github.com/plantainramp/plantainramp/pkg/cmd/factory"
	"github.com/plantainramp/plantainramp/pkg/load"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// Options holds the arguments and dependencies of the command.
type Options struct {
	Streams *iostreams.IOStreams

	Paths     []string
	ChartPath string
}

// NewCmdCompare adds the command to its parent. runF, if not nil, runs in place of the
// command.
func NewCmdCompare(f *factory.Factory, parent *kingpin.CmdClause, runF func(*Options) error) {
	opts := &Options{Streams: f.Streams}
	cmd := parent.Command("compare", "Compare runs of one scenario by policy: median and range of each measure.\n\nExamples:\n  plantainramp load compare out/*.json --chart out/goodput.svg")
	cmd.Arg("file", "Output files of load run --json.").Required().StringsVar(&opts.Paths)
	cmd.Flag("chart", "Write a plot of the goodput over time to this file, as SVG.").PlaceHolder("FILE").StringVar(&opts.ChartPath)
	cmd.Action(factory.Run(opts, runF, compareRun))
}

func compareRun(opts *Options) error {
	byPolicy, title, err := readResults(opts.Paths)
	if err != nil {
		return err
	}
	policies := slices.Sorted(maps.Keys(byPolicy))
	_, _ = fmt.Fprintln(opts.Streams.Out, title)
	header := []string{"MEASURE"}
	runCounts := []any{"runs"}
	for _, policy := range policies {
		header = append(header, "POLICY "+policy)
		runCounts = append(runCounts, fmt.Sprintf("policy %s: %d", policy, len(byPolicy[policy])))
	}
	table := tableprinter.New(opts.Streams, header...)
	table.Add(runCounts...)
	for _, f := range load.Metrics {
		row := []any{f.Name}
		for _, policy := range policies {
			row = append(row, load.Summarise(byPolicy[policy], f.Value))
		}
		table.Add(row...)
	}
	if err := table.Render(); err != nil {
		return err
	}
	return writeChart(opts.ChartPath, title, byPolicy)
}

func readResults(paths []string) (map[string][]*load.Results, string, error) {
	byPolicy := map[string][]*load.Results{}
	title := ""
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, "", &settings.FileError{Path: path, Cause: err}
		}
		results := new(load.Results)
		if err := json.Unmarshal(raw, results); err != nil {
			return nil, "", eris.Wrapf(err, "read %s; give output files of load run --json", path)
		}
		byPolicy[results.Policy] = append(byPolicy[results.Policy], results)
		title = fmt.Sprintf("%s, scale %s", results.Scenario, results.Scale)
	}
	return byPolicy, title, nil
}

func writeChart(path, title string, byPolicy map[string][]*load.Results) error {
	if path == "" {
		return nil
	}
	out, err := os.Create(path)
	if err != nil {
		return &settings.FileError{Path: path, Cause: err}
	}
	defer func() { _ = out.Close() }()
	return load.WriteGoodputPlot(out, title, byPolicy)
}

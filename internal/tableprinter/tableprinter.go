// Package tableprinter writes rows: aligned columns with a header on a
// terminal, plain fields separated by tabs in a pipe.
package tableprinter

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/internal/iostreams"
)

// Table collects rows.
type Table struct {
	streams *iostreams.IOStreams
	header  []string
	rows    [][]string
}

// New returns a table with the names of its columns.
func New(streams *iostreams.IOStreams, header ...string) *Table {
	return &Table{streams: streams, header: header}
}

// Add adds a row.
func (t *Table) Add(fields ...any) {
	row := make([]string, len(fields))
	for i, f := range fields {
		row[i] = fmt.Sprint(f)
	}
	t.rows = append(t.rows, row)
}

// Render writes the table.
func (t *Table) Render() error {
	if !t.streams.Terminal {
		for _, row := range t.rows {
			if _, err := fmt.Fprintln(t.streams.Out, strings.Join(row, "\t")); err != nil {
				return eris.Wrap(err, "write table")
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(t.streams.Out, 0, 4, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		_, _ = fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return eris.Wrap(w.Flush(), "write table")
}

// JSON writes a value as indented JSON.
func JSON(streams *iostreams.IOStreams, value any) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "write JSON")
}

// Package tableprinter prints tables: aligned columns with a header if the output is a
// terminal, otherwise rows of tab-separated fields without a header.
package tableprinter

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/internal/iostreams"
)

// Table collects the rows of a table until Render.
type Table struct {
	streams *iostreams.IOStreams
	header  []string
	rows    [][]string
}

// New returns a table without rows. header holds the names of its columns.
func New(streams *iostreams.IOStreams, header ...string) *Table {
	return &Table{streams: streams, header: header}
}

// Add appends a row. Fields are formatted as by fmt.Sprint.
func (t *Table) Add(fields ...any) {
	row := make([]string, len(fields))
	for i, f := range fields {
		row[i] = fmt.Sprint(f)
	}
	t.rows = append(t.rows, row)
}

// Render writes the table to the output stream.
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

// JSON writes a value as indented JSON to the output stream.
func JSON(streams *iostreams.IOStreams, value any) error {
	encoder := json.NewEncoder(streams.Out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "write JSON")
}

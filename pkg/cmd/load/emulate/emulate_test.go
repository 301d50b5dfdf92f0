package emulate

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

func TestTable(t *testing.T) {
	is := is.New(t)
	out := &bytes.Buffer{}
	opts := &Options{Streams: &iostreams.IOStreams{Out: out}, Files: []string{"../../../../shapes/teranga.ini"}, Loads: []string{"surge"}, Strategies: []string{"none", "rates"}, SeedCount: 1, Seed: 1}
	is.NoErr(emulateRun(opts))
	is.Equal(strings.Count(out.String(), "surge"), 2)
	is.True(strings.Contains(out.String(), "rates"))
}

func TestBadInput(t *testing.T) {
	is := is.New(t)
	var noCallGraph *NoCallGraphError
	is.True(errors.As(emulateRun(&Options{}), &noCallGraph))
	var file *settings.FileError
	is.True(errors.As(emulateRun(&Options{Files: []string{"none.ini"}}), &file))
}

package tail

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/cmd/log/shared"
	"github.com/plantainramp/plantainramp/pkg/logview"
)

// Lines appended later are printed, a line written in two pieces once it is complete,
// and lines that do not match never. The command ends without an error when interrupted.
func TestTail(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "node.log")
	file, err := os.Create(path)
	is.NoErr(err)
	defer func() { _ = file.Close() }()
	write := func(text string) {
		_, err := file.WriteString(text)
		is.NoErr(err)
	}
	write(`{"instance":"a","msg":"request refused","request":"r1"}` + "\n")
	out := &iostreams.Buffer{}
	opts := &Options{
		Streams: &iostreams.IOStreams{Out: out}, Clock: clock.System{}, Path: path,
		Input: shared.Input{Open: shared.OpenFile, Filter: logview.Filter{MessagePrefix: "request refused"}},
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- tailRun(ctx, opts) }()
	write(`{"instance":"a","msg":"request answered","request":"r2"}` + "\n" + `{"instance":"a","msg":"request `)
	time.Sleep(2 * pollInterval)
	write(`refused","request":"r3"}` + "\n")
	for began := time.Now(); !out.Contains("r3") && time.Since(began) < 10*time.Second; {
		time.Sleep(pollInterval)
	}
	cancel()
	is.NoErr(<-ended)
	is.True(out.Contains("r1"))
	is.True(out.Contains("r3"))
	is.True(!out.Contains("r2"))
}

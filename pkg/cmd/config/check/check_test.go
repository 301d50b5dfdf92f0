package check

import (
	"bytes"
	"errors"
	"io/fs"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/iostreams"
	"github.com/plantainramp/plantainramp/pkg/configcheck"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/settings"
)

// decode returns a configuration whose version is the first byte, and whose only route has the
// rest as its host.
func decode(body []byte) (*configcheck.Config, error) {
	return &configcheck.Config{
		Version: routing.Version(body[0]),
		Routes:  []*routing.Route{{Name: "browse", Host: string(body[1:]), Prefix: "/", Targets: []routing.Target{{Service: "desk", Weight: 1}}}},
	}, nil
}

// Guards against errors that do not end in a failure, and against warnings and differences that do.
func TestCheckRun(t *testing.T) {
	files := map[string][]byte{"new": []byte("\x05a"), "old": []byte("\x04b"), "bad": []byte("\x06a:80")}
	read := func(path string) ([]byte, error) {
		if body, found := files[path]; found {
			return body, nil
		}
		return nil, fs.ErrNotExist
	}
	run := func(path, against string) (string, error) {
		var out bytes.Buffer
		err := checkRun(&Options{Streams: &iostreams.IOStreams{Out: &out}, Read: read, Decode: decode, Path: path, Against: against})
		return out.String(), err
	}
	is := is.New(t)
	out, err := run("new", "old")
	is.NoErr(err)
	is.Equal(out, "changed\tversion\t4 to 5\nchanged\troute browse\tHost: b to a\n")
	out, err = run("old", "new")
	var problems *ProblemsError
	is.True(errors.As(err, &problems))
	is.Equal(problems.Errors, 1)
	is.True(strings.Contains(out, "error\tversion\t4 is not above 5"))
	out, err = run("bad", "")
	is.True(errors.As(err, &problems))
	is.True(strings.Contains(out, "can never match"))
	_, err = run("none", "")
	var file *settings.FileError
	is.True(errors.As(err, &file))
}

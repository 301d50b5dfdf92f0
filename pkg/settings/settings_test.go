package settings_test

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/settings"
)

func secret(string) ([]byte, error) { return []byte("0123456789abcdef"), nil }

func TestExamplePasses(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("example", []byte(settings.Example), secret)
	is.NoErr(err)
	is.Equal(s.AnnouncedPeersAddress, s.PeersAddress)
}

func TestAllProblemsAtOnce(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(
		"callsOut = 127.0.0.1:7001", "callsOut = 127.0.0.1:7000",
		"retention = 24h", "retention = 24",
		"instance = calendar-1", "",
		"level = info", "level = loud",
		"off =", "off = everything",
		"maxBody", "maxBodies",
	).Replace(settings.Example)
	_, err := settings.Parse("node.ini", []byte(text), func(string) ([]byte, error) { return nil, os.ErrNotExist })
	is.True(err != nil)
	for _, want := range []string{
		"clashes with callers", `retention = "24"`, `"instance" is missing`, `level = "loud"`,
		`off names "everything"`, `unknown key "maxBodies"`, "secretFile", "node.ini:",
	} {
		is.True(strings.Contains(err.Error(), want)) // every problem is named
	}
}

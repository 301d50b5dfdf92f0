package mesh

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const validSettings = `[node]
name = n
service = desk
dataCentre = a
firstStart = true
[listen]
callers = 127.0.0.1:1
heartbeats = 127.0.0.1:2
readiness = 127.0.0.1:3
peers = 127.0.0.1:4
[instance]
address = 127.0.0.1:5
[store]
address = 127.0.0.1:6
[bounds]
heartbeat = 1500ms
revoke = 5s
rateOverage = 0.1
rateSlack = 20
repeatRatio = 0.2
repeatSlack = 48
grace = 6s
descriptors = 4100
memoryMB = 184
`

func TestSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings("f", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.MaxRevocationDelay, 5*time.Second)
	is.True(s.FirstStart)
	is.Equal(s.MaxDescriptors, 4100)
	is.Equal(s.MemoryBytes, int64(184<<20))
	is.Equal(s.MetricsAddress, "")
	is.Equal(s.RetryLimits.Slack, 48.0)
	is.Equal(s.ColdOverage, 0.0)
	is.Equal(s.MaxEvacuationDelay, time.Duration(0))
	is.True(!s.SlowStart)
}

// Guards against a slow start where the settings do not ask for it, and against one that they
// ask for in vain.
func TestSlowStartIsTurnedOnBySettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings("f", []byte(validSettings+"[pacing]\nslowStart = on\n"))
	is.NoErr(err)
	is.True(s.SlowStart)
	_, err = ParseSettings("f", []byte(validSettings+"[pacing]\nslowStart = slow\n"))
	is.True(strings.Contains(err.Error(), "slowStart"))
}

// The bound of cold instances is optional.
func TestSettingsWithColdBound(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings("f", []byte(strings.Replace(validSettings, "grace = 6s", "grace = 6s\ncoldOverage = 1.5\n\ncoldSlack = 8", 1)))
	is.NoErr(err)
	is.Equal(s.ColdOverage, 1.5)
	is.Equal(s.ColdSlack, 8.0)
}

func TestEvacuationAndRegionSettings(t *testing.T) {
	is := is.New(t)
	s, err := ParseSettings("f", []byte(validSettings+"evacuation = 5s\n"))
	is.NoErr(err)
	is.Equal(s.MaxEvacuationDelay, 5*time.Second)
	is.Equal(len(s.Regions), 0)
	s, err = ParseSettings("f", []byte(validSettings+"\n[regions]\n"))
	is.NoErr(err)
	is.Equal(len(s.Regions), 0)
	s, err = ParseSettings("f", []byte(validSettings+"\n[regions]\nb-1 = east\nA = west\nc =\n"))
	is.NoErr(err)
	is.Equal(s.Regions, map[fleet.DataCentre]fleet.Region{"b-1": "east", "A": "west", "c": ""})
	_, err = ParseSettings("f", []byte(validSettings+"evacuation = 1ms\n"))
	is.True(err != nil)
}

// The error lists all problems of the file, not only the first.
func TestSettingsWithFaults(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("service = desk\n", "", "revoke = 5s", "revoke = soon", "memoryMB = 184", "memoryMB = 1", "127.0.0.1:3", "nowhere", "grace", "grase").Replace(validSettings)
	_, err := ParseSettings("f", []byte(text))
	for _, key := range []string{"service", "revoke", "readiness", "grase", "memoryMB"} {
		is.True(strings.Contains(err.Error(), key))
	}
}

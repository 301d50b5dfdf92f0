package logview

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/requesttrace"
)

const sampleLog = `2.1 node-a {"instance":"a","msg":"request refused","request":"r1","reason":"shed","route":"browse","organisation":"oaxaca","configAgeMs":900,"time":"2026-04-22T18:45:11.555Z"}
{"instance":"a","msg":"classes admitted in part","fullness":{"calendar":1.5,"keys":0.2},"time":"2026-04-22T18:45:12Z"}
no event
{"instance":"b","msg":"request answered","request":"r1.x","route":"peek","status":200,"time":"2026-04-22T18:45:13Z"}
{"instance":"b","msg":"request lost","request":"r2","reason":"uncertain","time":"2026-04-22T18:45:14Z"}
`

func parseSampleLog(t *testing.T) []requesttrace.LogLine {
	t.Helper()
	var list []requesttrace.LogLine
	is.New(t).NoErr(requesttrace.ScanLog(strings.NewReader(sampleLog), func(l requesttrace.LogLine) { list = append(list, l) }))
	return list
}

func TestFilter(t *testing.T) {
	at := time.Date(2026, 4, 22, 18, 45, 12, 0, time.UTC)
	for name, c := range map[string]struct {
		filter Filter
		want   int
	}{
		"all":            {Filter{}, 4},
		"message":        {Filter{MessagePrefix: "request"}, 3},
		"request":        {Filter{RequestPrefix: "r1"}, 2},
		"reason":         {Filter{Reason: "shed"}, 1},
		"route":          {Filter{Route: "peek"}, 1},
		"organisation":   {Filter{Organisation: "oaxaca"}, 1},
		"instance":       {Filter{Instance: "b", MessagePrefix: "request lost"}, 1},
		"from":           {Filter{From: at}, 3},
		"until":          {Filter{Until: at}, 1},
		"from and until": {Filter{From: at, Until: at.Add(time.Second)}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for _, l := range parseSampleLog(t) {
				if c.filter.Matches(&l) {
					found++
				}
			}
			is.New(t).Equal(found, c.want)
		})
	}
}

func TestTimeline(t *testing.T) {
	is := is.New(t)
	timeline := &Timeline{}
	var none *NoLinesError
	is.True(errors.As(timeline.Write(&bytes.Buffer{}), &none))
	for _, l := range parseSampleLog(t) {
		timeline.Add(l)
	}
	is.Equal(timeline.refusedByReason["shed"][time.Date(2026, 4, 22, 18, 45, 11, 0, time.UTC).Unix()], 1.0)
	is.Equal(timeline.String(), "2.445s from 2026-04-22T18:45:11Z")
	out := &bytes.Buffer{}
	is.NoErr(timeline.Write(out))
	for _, text := range []string{"<svg", "shed", "uncertain", "calendar", "oldest"} {
		is.True(strings.Contains(out.String(), text))
	}
}

package logs

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

func benchmarkLog(b *testing.B, maxPerSecond int) {
	logger, err := New(io.Discard, "info", FormatJSON, "node")
	if err != nil {
		b.Fatal(err)
	}
	sampler := &Sampler{Clock: clock.System{}, Logger: logger, MaxPerSecond: maxPerSecond}
	fields := func() logrus.Fields {
		return logrus.Fields{"request": "9c41d07be2a35f68", "status": 200, "tookMs": 12.5, "placements": 1, "inner": true, "route": "browse", "organisation": "oaxaca"}
	}
	b.ReportAllocs()
	for b.Loop() {
		sampler.Log("request answered", fields)
	}
}

// Cost of an event that is written, and of one that is omitted above the limit.
func BenchmarkWritten(b *testing.B) { benchmarkLog(b, 1<<30) }

func BenchmarkOmitted(b *testing.B) { benchmarkLog(b, 1) }

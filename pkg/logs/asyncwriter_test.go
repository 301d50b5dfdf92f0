package logs

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// stalledWriter blocks every write until release is closed.
type stalledWriter struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stalledWriter) Write(line []byte) (int, error) {
	<-s.release
	return s.text.Write(line)
}

// Guards against a program that blocks because the reader of its log pipe has stalled:
// lines must be dropped instead.
func TestStalledWriterDoesNotBlock(t *testing.T) {
	is := is.New(t)
	out := &stalledWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	logger, err := New(w, "info", FormatJSON, "node")
	is.NoErr(err)
	started := time.Now()
	for range 3 * maxQueuedLines {
		logger.Info("line")
	}
	is.True(time.Since(started) < 2*time.Second)
	is.True(w.Dropped() >= maxQueuedLines)
	close(out.release)
	w.Close()
	is.True(strings.Count(out.text.String(), "\n") >= maxQueuedLines)
}

// Lines of one kind of event above the limit are omitted and counted, and lines of other
// kinds are still written.
func TestEventsAboveLimitAreOmitted(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	logger, err := New(&text, "info", FormatJSON, "node")
	is.NoErr(err)
	fake := &clock.Fake{}
	sampler := &Sampler{Clock: fake, Logger: logger, MaxPerSecond: 5}
	fieldCalls := 0
	fields := func() logrus.Fields { fieldCalls++; return logrus.Fields{} }
	for range 1000 {
		sampler.Log("refused", fields)
	}
	sampler.Log("lost", fields)
	is.Equal(fieldCalls, 6)
	fake.Advance(time.Second)
	sampler.Log("refused", fields)
	is.True(strings.Contains(text.String(), `"omitted":995`))
}

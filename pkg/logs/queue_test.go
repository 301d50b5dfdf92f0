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

// stalled is a reader that stops reading until it is released.
type stalled struct {
	release chan struct{}
	text    bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	<-s.release
	return s.text.Write(line)
}

// A reader of the log that stalls costs lines, never time.
func TestStalledReader(t *testing.T) {
	is := is.New(t)
	out := &stalled{release: make(chan struct{})}
	q := NewQueue(out)
	logger, err := New(q, "info", FormatJSON, "node")
	is.NoErr(err)
	began := time.Now()
	for range 3 * queueLines {
		logger.Info("line")
	}
	is.True(time.Since(began) < 2*time.Second)
	is.True(q.Dropped() >= queueLines)
	close(out.release)
	q.Close()
	is.True(strings.Count(out.text.String(), "\n") >= queueLines)
}

// A flood of one kind of event is bounded and counted, and leaves room for others.
func TestFloodOfEvents(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	logger, err := New(&text, "info", FormatJSON, "node")
	is.NoErr(err)
	fake := &clock.Fake{}
	s := &Sampler{Clock: fake, Logger: logger, PerSecond: 5}
	made := 0
	fields := func() logrus.Fields { made++; return logrus.Fields{} }
	for range 1000 {
		s.Event("refused", fields)
	}
	s.Event("lost", fields)
	is.Equal(made, 6)
	fake.Advance(time.Second)
	s.Event("refused", fields)
	is.True(strings.Contains(text.String(), `"omitted":995`))
}

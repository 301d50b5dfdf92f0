package logs

import (
	"bytes"
	"strings"
	"sync"
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
	w := NewAsyncWriter(out, &clock.Fake{})
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

// Guards against a program that does not end because the reader of its log has stalled.
func TestCloseDoesNotWaitForStalledWriter(t *testing.T) {
	is := is.New(t)
	out := &stalledWriter{release: make(chan struct{})}
	defer close(out.release)
	fake := &clock.Fake{}
	w := NewAsyncWriter(out, fake)
	_, err := w.Write([]byte("line\n"))
	is.NoErr(err)
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		w.Close()
	}()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		fake.Advance(closeTimeout)
		select {
		case <-closed:
			return
		case <-time.After(time.Millisecond):
		}
	}
	t.Fatal("the writer is not closed")
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

// Goroutines go on writing while and after the writer is closed, as those of connections
// do when a program stops. Guards against a program that crashes on its last lines.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := NewAsyncWriter(&out, &clock.Fake{})
	started := make(chan struct{})
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for n := range 2000 {
				_, err := w.Write([]byte("line\n"))
				is.NoErr(err)
				if i == 0 && n == 100 {
					close(started)
				}
			}
		})
	}
	<-started
	w.Close()
	group.Wait()
	before := w.Dropped()
	_, err := w.Write([]byte("late\n"))
	is.NoErr(err)
	is.Equal(w.Dropped(), before+1)
	w.Close()
	is.True(!strings.Contains(out.String(), "late"))
}

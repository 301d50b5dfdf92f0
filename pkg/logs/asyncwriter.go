package logs

import (
	"io"
	"sync/atomic"
)

const (
	// maxQueuedLines bounds the log lines that wait for a slow reader.
	maxQueuedLines = 1024
)

// AsyncWriter writes log lines in the background. A reader that stops reading costs
// lines, never time.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	// dropped counts lines that found the queue full.
	dropped atomic.Int64
}

// NewAsyncWriter returns a queue in front of out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines lost to a slow reader.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued; call it once nothing writes any more.
func (w *AsyncWriter) Close() {
	close(w.lines)
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line)
	}
}

package logs

import (
	"io"
	"sync/atomic"
)

const (
	// maxQueuedLines bounds the log lines queued while out is slow.
	maxQueuedLines = 1024
)

// AsyncWriter writes log lines to another writer in the background, such as a pipe. If
// that writer blocks, lines are dropped, so logging never delays the caller. Its methods
// are safe for concurrent use, except Close.
type AsyncWriter struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	// dropped counts lines dropped because the queue was full.
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which Close ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line, or drops it if the queue is full. It never blocks and
// never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close waits until all queued lines are written. Write must not be called afterwards,
// nor at the same time.
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

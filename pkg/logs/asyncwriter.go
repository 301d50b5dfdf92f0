package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

const (
	// maxQueuedLines bounds the log lines queued while out is slow.
	maxQueuedLines = 1024
	// closeTimeout bounds how long the end of a program waits for lines that are queued. A
	// node has a tenth of its grace period, which lasts seconds, for all that is left then.
	closeTimeout = 200 * time.Millisecond
)

// AsyncWriter writes log lines to another writer in the background, such as a pipe. If
// that writer blocks, lines are dropped, so logging never delays the caller. Its methods
// are safe for concurrent use.
type AsyncWriter struct {
	out   io.Writer
	clock clock.Clock
	done  chan struct{}
	// mu guards closed, and lines against a write after it was closed.
	mu     sync.RWMutex
	lines  chan []byte
	closed bool
	// dropped counts lines dropped because the queue was full or closed.
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which Close ends.
func NewAsyncWriter(out io.Writer, c clock.Clock) *AsyncWriter {
	w := &AsyncWriter{out: out, clock: c, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of line, or drops it if the queue is full or closed. It never
// blocks and never returns an error.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the queue was full or closed.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Close waits until all queued lines are written, or closeTimeout has passed because out
// blocks. Later lines are dropped.
func (w *AsyncWriter) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-w.clock.After(closeTimeout):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		_, _ = w.out.Write(line)
	}
}

package logs

import (
	"io"
	"sync/atomic"
)

const (
	// queueLines bounds the log lines that wait for a slow reader.
	queueLines = 1024
)

// Queue writes log lines in the background. A reader that stops reading costs
// lines, never time.
type Queue struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}
	// dropped counts lines that found the queue full.
	dropped atomic.Int64
}

// NewQueue returns a queue in front of out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

// Write implements io.Writer. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines lost to a slow reader.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// Close writes what is queued; call it once nothing writes any more.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		_, _ = q.out.Write(line)
	}
}

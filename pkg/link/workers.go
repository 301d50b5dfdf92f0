package link

import (
	"sync"
	"sync/atomic"
)

// maxIdleWorkers bounds the goroutines that wait for work.
const maxIdleWorkers = 64

// workers runs functions, each in a goroutine of its own at a time. It keeps some of the
// goroutines, as a new one would have to grow its stack first. The zero value is ready to
// use. It is safe for concurrent use.
type workers struct {
	once sync.Once
	// work passes a function to a goroutine that waits.
	work chan func()
	// stopped is closed by stop.
	stopped chan struct{}
	idle    atomic.Int64
}

func (w *workers) init() {
	w.once.Do(func() { w.work, w.stopped = make(chan func()), make(chan struct{}) })
}

// run runs a function. It does not wait.
func (w *workers) run(f func()) {
	w.init()
	select {
	case w.work <- f:
	default:
		go w.loop(f)
	}
}

// loop runs a function and then waits for others, unless enough goroutines wait.
func (w *workers) loop(f func()) {
	for {
		f()
		if w.idle.Add(1) > maxIdleWorkers {
			w.idle.Add(-1)
			return
		}
		select {
		case f = <-w.work:
			w.idle.Add(-1)
		case <-w.stopped:
			return
		}
	}
}

// stop ends the goroutines that wait. It must be called once at most; what runs goes on,
// and so does what is passed to run later.
func (w *workers) stop() {
	w.init()
	close(w.stopped)
}

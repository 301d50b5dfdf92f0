package link

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a function that waits for another one to end, or that does not run after
// the stop.
func TestWorkersRunAllAtOnce(t *testing.T) {
	is := is.New(t)
	w := &workers{}
	for range 3 {
		var started, ended sync.WaitGroup
		release := make(chan struct{})
		for range 2 * maxIdleWorkers {
			started.Add(1)
			ended.Add(1)
			w.run(func() {
				started.Done()
				<-release
				ended.Done()
			})
		}
		started.Wait()
		close(release)
		ended.Wait()
	}
	for deadline := time.Now().Add(2 * time.Second); w.idle.Load() != maxIdleWorkers; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline))
	}
	w.stop()
	done := make(chan struct{})
	w.run(func() { close(done) })
	<-done
}

// Package stopsignal tells a daemon when it is to stop.
package stopsignal

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

var process = sync.OnceValue(watch)

// Context returns a context that ends with the first SIGTERM or SIGINT after the first call
// of Context. Both stay handled for the rest of the process: a further one does not cut the
// end of the stop short.
func Context() context.Context { return process() }

func watch() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
	}()
	return ctx
}

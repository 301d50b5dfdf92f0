// Package early makes a program that imports it handle its stop signals from its start on.
// Packages are initialised in the order of their paths once what they import has been, so
// that the effect precedes the initialisation of most packages of a daemon.
package early

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/plantainramp/plantainramp/internal/stopsignal"
)

func init() {
	_ = stopsignal.Context()
	// A SIGHUP before the settings are read asks for what happens anyway.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
}

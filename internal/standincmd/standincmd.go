// Package standincmd implements the standin command, which runs the stand-ins
// for the parts of a platform that the nodes depend on.
package standincmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/internal/standin/logservice"
	"github.com/plantainramp/plantainramp/internal/standin/upstream"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/platform/platformtest"
)

// serverTimeout limits reading the header of a request, and the shutdown.
const serverTimeout = 10 * time.Second

// UpstreamCallError reports a malformed downstream call of an upstream instance.
type UpstreamCallError struct {
	Text string
}

// Error implements error.
func (e *UpstreamCallError) Error() string {
	return fmt.Sprintf("invalid downstream call %q: want PREFIX=METHOD:/SERVICE/PATH", e.Text)
}

// Main runs a stand-in until SIGTERM or SIGINT and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	app := kingpin.New("standin", "Stand-ins for the platform's log and for upstream instances.")
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(nil)
	listen := app.Flag("listen", "Address to listen on.").Required().String()
	logCommand := app.Command("log", "The platform's append-only log.")
	upstreamCommand := app.Command("upstream", "An upstream instance.")
	name := upstreamCommand.Flag("name", "Name of the instance.").Required().String()
	nodeURL := upstreamCommand.Flag("node", "Base URL at which the node accepts outgoing calls.").Required().String()
	slots := upstreamCommand.Flag("slots", "Number of calls executed concurrently.").Default("45").Int()
	serviceTime := upstreamCommand.Flag("service-time", "Execution time of a call.").Default("5ms").Duration()
	shedAbove := upstreamCommand.Flag("shed-above", "Reject calls while this many wait; 0 means never.").Default("0").Int()
	keepHeaders := upstreamCommand.Flag("keep-headers", "Record the headers of all requests.").Bool()
	downstream := upstreamCommand.Flag("deeper", "Downstream call made for each request under PREFIX, as PREFIX=METHOD:/SERVICE/PATH. Repeatable.").Strings()
	storeCommand := app.Command("store", "The store of the users' platform.")
	server := newServerFlags(app.Command("server", "An application server of the users' platform."))
	command, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "standin: %s\n", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var handler http.Handler
	switch command {
	case logCommand.FullCommand():
		handler = (&logservice.Service{Clock: clock.System{}}).Handler()
	case upstreamCommand.FullCommand():
		calls, err := parseUpstreamCalls(*downstream)
		if err != nil {
			_, _ = fmt.Fprintf(errOut, "standin: %s\n", err)
			return 2
		}
		u := &upstream.Instance{Name: *name, NodeURL: *nodeURL, Clock: clock.System{}, KeepHeaders: *keepHeaders}
		u.Start(ctx, upstream.Behaviour{ServiceTime: *serviceTime, Slots: *slots, ShedAbove: *shedAbove, Downstream: calls})
		handler = u.Handler()
	case storeCommand.FullCommand():
		handler = platformtest.NewStore().ControlHandler()
	case server.command.FullCommand():
		application, err := server.newServer(*listen, clock.System{})
		if err != nil {
			_, _ = fmt.Fprintf(errOut, "standin: %s\n", err)
			return 2
		}
		application.Start(ctx)
		handler = application.ControlHandler()
	}
	if err := serve(ctx, *listen, handler); err != nil {
		_, _ = fmt.Fprintf(errOut, "standin: %s\n", err)
		return 1
	}
	return 0
}

// parseUpstreamCalls parses the downstream calls of an upstream instance. A
// malformed one is reported as *UpstreamCallError.
func parseUpstreamCalls(texts []string) ([]upstream.DownstreamCall, error) {
	var calls []upstream.DownstreamCall
	for _, text := range texts {
		prefix, rest, hasPrefix := strings.Cut(text, "=")
		method, target, hasMethod := strings.Cut(rest, ":")
		if !hasPrefix || !hasMethod {
			return nil, &UpstreamCallError{Text: text}
		}
		calls = append(calls, upstream.DownstreamCall{Prefix: prefix, Method: method, Target: target})
	}
	return calls, nil
}

// serve serves HTTP on address until ctx ends, then shuts down gracefully.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler, ReadHeaderTimeout: serverTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return eris.Wrap(err, "listen")
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), serverTimeout)
	defer cancel()
	return eris.Wrap(server.Shutdown(shutdownCtx), "shut down")
}

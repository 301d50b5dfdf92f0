// Package standincmd is the command line of the stand-ins.
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

const serverTimeout = 10 * time.Second

// UpstreamCallError reports a deeper call that cannot be read.
type UpstreamCallError struct {
	Text string
}

// Error implements error.
func (e *UpstreamCallError) Error() string {
	return fmt.Sprintf("deeper call %q is not of the form PREFIX=METHOD:/SERVICE/PATH", e.Text)
}

// Main runs a stand-in until SIGTERM and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	app := kingpin.New("standin", "Stand-ins for the platform's log and for upstream instances.")
	app.UsageWriter(out).ErrorWriter(errOut).Terminate(nil)
	listen := app.Flag("listen", "Address to listen on.").Required().String()
	logCommand := app.Command("log", "The platform's append-only log.")
	upstreamCommand := app.Command("upstream", "An upstream instance.")
	name := upstreamCommand.Flag("name", "Name of the instance.").Required().String()
	nodeURL := upstreamCommand.Flag("node", "Base address of the node's calls-out face.").Required().String()
	slots := upstreamCommand.Flag("slots", "Calls that run at once.").Default("45").Int()
	serviceTime := upstreamCommand.Flag("service-time", "Time that a call takes.").Default("5ms").Duration()
	shedAbove := upstreamCommand.Flag("shed-above", "Refuse calls when that many wait.").Default("0").Int()
	keepHeaders := upstreamCommand.Flag("keep-headers", "Keep the headers of all requests.").Bool()
	downstream := upstreamCommand.Flag("deeper", "A call that serving PREFIX entails: PREFIX=METHOD:/SERVICE/PATH.").Strings()
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
		handler = platformtest.NewStore().Controlled()
	case server.command.FullCommand():
		application, err := server.newServer(*listen, clock.System{})
		if err != nil {
			_, _ = fmt.Fprintf(errOut, "standin: %s\n", err)
			return 2
		}
		application.Start(ctx)
		handler = application.Controlled()
	}
	if err := serve(ctx, *listen, handler); err != nil {
		_, _ = fmt.Fprintf(errOut, "standin: %s\n", err)
		return 1
	}
	return 0
}

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

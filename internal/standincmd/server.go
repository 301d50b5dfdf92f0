package standincmd

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/platform/platformtest"
)

// serverFlags are the flags of an application server.
type serverFlags struct {
	command                              *kingpin.CmdClause
	id, service, zone, control, outbound *string
	slots                                *int
	serviceTime, heartbeatInterval       *time.Duration
	downstream                           *[]string
}

func newServerFlags(c *kingpin.CmdClause) *serverFlags {
	return &serverFlags{
		command: c,
		id:      c.Flag("id", "Id of the server process; a restart gets a new one.").Required().String(),
		service: c.Flag("service", "Service that the server belongs to.").Required().String(),
		zone:    c.Flag("zone", "Zone.").Default("a").String(),
		control: c.Flag("control", "Address to which heartbeats are sent.").Required().String(), outbound: c.Flag("outbound", "Address to which outgoing calls are sent.").Required().String(),
		slots:             c.Flag("slots", "Number of requests executed concurrently.").Default("20").Int(),
		serviceTime:       c.Flag("work", "Execution time of a request.").Default("5ms").Duration(),
		heartbeatInterval: c.Flag("beat", "Interval between heartbeats.").Default("500ms").Duration(),
		downstream:        c.Flag("deeper", "Downstream calls made for each request under PREFIX, as PREFIX=HOST/PATH*TIMES. Repeatable.").Strings(),
	}
}

// newServer returns the application server that the flags describe. A malformed
// downstream call is reported as *ServerCallError.
func (f *serverFlags) newServer(address string, c clock.Clock) (*platformtest.Server, error) {
	server := &platformtest.Server{
		ID: *f.id, Service: *f.service, Address: address, Zone: *f.zone, Slots: *f.slots, ServiceTime: *f.serviceTime,
		ControlAddress: *f.control, OutboundAddress: *f.outbound, HeartbeatInterval: *f.heartbeatInterval, StartUnixMs: c.Now().UnixMilli(),
	}
	for _, text := range *f.downstream {
		d, err := parseServerCall(text)
		if err != nil {
			return nil, err
		}
		server.NestedCalls = append(server.NestedCalls, d)
	}
	return server, nil
}

// parseServerCall parses PREFIX=HOST/PATH*TIMES.
func parseServerCall(text string) (platformtest.NestedCall, error) {
	prefix, rest, hasPrefix := strings.Cut(text, "=")
	target, count, hasCount := strings.Cut(rest, "*")
	host, path, hasPath := strings.Cut(target, "/")
	times, err := strconv.Atoi(count)
	if !hasPrefix || !hasCount || !hasPath || err != nil {
		return platformtest.NestedCall{}, &ServerCallError{Text: text}
	}
	return platformtest.NestedCall{Prefix: prefix, Host: host, Path: "/" + path, Times: times}, nil
}

// ServerCallError reports a malformed downstream call of an application server.
type ServerCallError struct {
	Text string
}

// Error implements error.
func (e *ServerCallError) Error() string {
	return fmt.Sprintf("invalid downstream call %q: want PREFIX=HOST/PATH*TIMES", e.Text)
}

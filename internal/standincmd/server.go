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
	serviceTime, heartbeatInterval                           *time.Duration
	downstream                               *[]string
}

func newServerFlags(c *kingpin.CmdClause) *serverFlags {
	return &serverFlags{
		command: c,
		id:      c.Flag("id", "Id of this start of the server.").Required().String(),
		service: c.Flag("service", "Service.").Required().String(),
		zone:    c.Flag("zone", "Zone.").Default("a").String(),
		control: c.Flag("control", "Address that takes heartbeats.").Required().String(), outbound: c.Flag("outbound", "Address that takes calls.").Required().String(),
		slots:  c.Flag("slots", "Requests that run at once.").Default("20").Int(),
		serviceTime:   c.Flag("work", "Time that a request takes.").Default("5ms").Duration(),
		heartbeatInterval:   c.Flag("beat", "Time between heartbeats.").Default("500ms").Duration(),
		downstream: c.Flag("deeper", "Calls that serving PREFIX entails: PREFIX=HOST/PATH*TIMES.").Strings(),
	}
}

// newServer returns the server, or *CallError.
func (f *serverFlags) newServer(address string, c clock.Clock) (*platformtest.Server, error) {
	server := &platformtest.Server{
		ID: *f.id, Service: *f.service, Address: address, Zone: *f.zone, Slots: *f.slots, Work: *f.serviceTime,
		Control: *f.control, Outbound: *f.outbound, Beat: *f.heartbeatInterval, Born: c.Now().UnixMilli(),
	}
	for _, text := range *f.downstream {
		d, err := parseServerCall(text)
		if err != nil {
			return nil, err
		}
		server.Deeper = append(server.Deeper, d)
	}
	return server, nil
}

func parseServerCall(text string) (platformtest.Deeper, error) {
	prefix, rest, hasPrefix := strings.Cut(text, "=")
	target, count, hasCount := strings.Cut(rest, "*")
	host, path, hasPath := strings.Cut(target, "/")
	times, err := strconv.Atoi(count)
	if !hasPrefix || !hasCount || !hasPath || err != nil {
		return platformtest.Deeper{}, &ServerCallError{Text: text}
	}
	return platformtest.Deeper{Prefix: prefix, Host: host, Path: "/" + path, Times: times}, nil
}

// ServerCallError reports a deeper call of an application server that cannot be read.
type ServerCallError struct {
	Text string
}

// Error implements error.
func (e *ServerCallError) Error() string {
	return fmt.Sprintf("deeper call %q is not of the form PREFIX=HOST/PATH*TIMES", e.Text)
}

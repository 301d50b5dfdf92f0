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
	work, beat                           *time.Duration
	deeper                               *[]string
}

func newServerFlags(c *kingpin.CmdClause) *serverFlags {
	return &serverFlags{
		command: c,
		id:      c.Flag("id", "Id of this start of the server.").Required().String(),
		service: c.Flag("service", "Service.").Required().String(),
		zone:    c.Flag("zone", "Zone.").Default("a").String(),
		control: c.Flag("control", "Address that takes heartbeats.").Required().String(), outbound: c.Flag("outbound", "Address that takes calls.").Required().String(),
		slots:  c.Flag("slots", "Requests that run at once.").Default("20").Int(),
		work:   c.Flag("work", "Time that a request takes.").Default("5ms").Duration(),
		beat:   c.Flag("beat", "Time between heartbeats.").Default("500ms").Duration(),
		deeper: c.Flag("deeper", "Calls that serving PREFIX entails: PREFIX=HOST/PATH*TIMES.").Strings(),
	}
}

// make returns the server, or *CallError.
func (f *serverFlags) make(address string, c clock.Clock) (*platformtest.Server, error) {
	s := &platformtest.Server{
		ID: *f.id, Service: *f.service, Address: address, Zone: *f.zone, Slots: *f.slots, ServiceTime: *f.work,
		ControlAddress: *f.control, OutboundAddress: *f.outbound, HeartbeatInterval: *f.beat, StartUnixMs: c.Now().UnixMilli(),
	}
	for _, text := range *f.deeper {
		d, err := parseCall(text)
		if err != nil {
			return nil, err
		}
		s.NestedCalls = append(s.NestedCalls, d)
	}
	return s, nil
}

func parseCall(text string) (platformtest.NestedCall, error) {
	prefix, rest, found := strings.Cut(text, "=")
	target, count, counted := strings.Cut(rest, "*")
	host, path, split := strings.Cut(target, "/")
	times, err := strconv.Atoi(count)
	if !found || !counted || !split || err != nil {
		return platformtest.NestedCall{}, &CallError{Text: text}
	}
	return platformtest.NestedCall{Prefix: prefix, Host: host, Path: "/" + path, Times: times}, nil
}

// CallError reports a deeper call of an application server that cannot be read.
type CallError struct {
	Text string
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("deeper call %q is not of the form PREFIX=HOST/PATH*TIMES", e.Text)
}

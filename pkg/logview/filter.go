// Package logview filters log lines of nodes, prints them, and draws them as a timeline.
package logview

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/plantainramp/plantainramp/pkg/requesttrace"
)

// Filter selects log lines. An empty field matches every line, so the zero value
// matches all.
type Filter struct {
	// MessagePrefix is a prefix of the message, such as "request refused".
	MessagePrefix string
	// Instance, Reason, Route and Organisation must equal the fields of the same names.
	Instance, Reason, Route, Organisation string
	// RequestPrefix is a prefix of the request id. A complete id matches the calls made for
	// the request too, because their ids begin with it.
	RequestPrefix string
	// From (inclusive) and Until (exclusive) bound the time of the line.
	From, Until time.Time
}

// Matches reports whether a line matches all fields of the filter. A line without a
// valid time matches only if neither From nor Until is set.
func (f *Filter) Matches(line *requesttrace.LogLine) bool {
	equalIfSet := func(wanted, value string) bool { return wanted == "" || wanted == value }
	return strings.HasPrefix(line.Message, f.MessagePrefix) && strings.HasPrefix(line.StringField("request"), f.RequestPrefix) &&
		equalIfSet(f.Instance, line.Instance) && equalIfSet(f.Reason, line.StringField("reason")) && equalIfSet(f.Route, line.StringField("route")) &&
		equalIfSet(f.Organisation, line.StringField("organisation")) && f.inTimeRange(line)
}

func (f *Filter) inTimeRange(line *requesttrace.LogLine) bool {
	if f.From.IsZero() && f.Until.IsZero() {
		return true
	}
	at, ok := line.Timestamp()
	return ok && !at.Before(f.From) && (f.Until.IsZero() || at.Before(f.Until))
}

// WriteLine writes a line in readable form: time, instance, message, and the other
// fields sorted by name.
func WriteLine(out io.Writer, line *requesttrace.LogLine) error {
	names := lo.Keys(line.Fields)
	slices.Sort(names)
	parts := lo.Map(names, func(name string, _ int) string { return fmt.Sprintf("%s=%v", name, line.Fields[name]) })
	_, err := fmt.Fprintf(out, "%s %s: %s (%s)\n", line.Time, line.Instance, line.Message, strings.Join(parts, " "))
	return err
}

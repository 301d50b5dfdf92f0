// Package logview picks lines out of the nodes' logs and draws what they tell.
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

// Filter tells which lines are wanted; an empty field wants all. Its zero value
// lets every line through.
type Filter struct {
	// MessagePrefix begins the message, as in "request refused".
	MessagePrefix string
	// Instance, Reason, Route and Organisation are the fields of the same names.
	Instance, Reason, Route, Organisation string
	// RequestPrefix begins the id of a request, so that its calls are let through too.
	RequestPrefix string
	// From and Until bound the time of lines.
	From, Until time.Time
}

// Matches tells whether a line is wanted. Lines without a readable time are wanted
// only where time is not bounded.
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

// WriteLine writes a line for people: time, instance, message, fields by name.
func WriteLine(out io.Writer, line *requesttrace.LogLine) error {
	names := lo.Keys(line.Fields)
	slices.Sort(names)
	parts := lo.Map(names, func(name string, _ int) string { return fmt.Sprintf("%s=%v", name, line.Fields[name]) })
	_, err := fmt.Fprintf(out, "%s %s: %s (%s)\n", line.Time, line.Instance, line.Message, strings.Join(parts, " "))
	return err
}

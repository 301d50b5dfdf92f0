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
	// Message begins the message, as in "request refused".
	Message string
	// Instance, Reason, Route and Organisation are the fields of the same names.
	Instance, Reason, Route, Organisation string
	// Request begins the id of a request, so that its calls are let through too.
	Request string
	// From and Until bound the time of lines.
	From, Until time.Time
}

// Wants tells whether a line is wanted. Lines without a readable time are wanted
// only where time is not bounded.
func (f *Filter) Wants(l *requesttrace.LogLine) bool {
	fits := func(wanted, is string) bool { return wanted == "" || wanted == is }
	return strings.HasPrefix(l.Message, f.Message) && strings.HasPrefix(l.StringField("request"), f.Request) &&
		fits(f.Instance, l.Instance) && fits(f.Reason, l.StringField("reason")) && fits(f.Route, l.StringField("route")) &&
		fits(f.Organisation, l.StringField("organisation")) && f.within(l)
}

func (f *Filter) within(l *requesttrace.LogLine) bool {
	if f.From.IsZero() && f.Until.IsZero() {
		return true
	}
	at, ok := l.Timestamp()
	return ok && !at.Before(f.From) && (f.Until.IsZero() || at.Before(f.Until))
}

// Write writes a line for people: time, instance, message, fields by name.
func Write(out io.Writer, l *requesttrace.LogLine) error {
	names := lo.Keys(l.Fields)
	slices.Sort(names)
	parts := lo.Map(names, func(name string, _ int) string { return fmt.Sprintf("%s=%v", name, l.Fields[name]) })
	_, err := fmt.Fprintf(out, "%s %s: %s (%s)\n", l.Time, l.Instance, l.Message, strings.Join(parts, " "))
	return err
}

// Package story joins the log lines of all nodes about one request and names the
// cause of its end.
package requesttrace

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

const (
	// AdmissionPlanMessage is the message of lines that tell of a plan of admission.
	AdmissionPlanMessage = "classes admitted in part"
)

type (
	// Trace is what the logs tell of one request.
	Trace struct {
		RequestID string `json:"request"`
		// Lines are in order of time.
		Lines []LogLine `json:"lines"`
		// Plan is the last plan of admission that the refusing node made before
		// the refusal; nil where the request was not refused for lack of room.
		Plan  *LogLine `json:"plan,omitempty"`
		Cause string   `json:"cause"`
	}
)

// Collector collects the lines about one request. Its zero value works once
// Request is set.
type Collector struct {
	RequestID string

	lines []LogLine
	plans []LogLine
}

// ReadLog takes the lines of a log. Lines that are no events are passed over, as is
// what stands in front of an event.
func (c *Collector) ReadLog(log io.Reader) error { return ScanLog(log, c.add) }

func (c *Collector) add(l LogLine) {
	if l.Message == AdmissionPlanMessage {
		c.plans = append(c.plans, l)
	}
	// Instances derive the ids of their calls from that of the request.
	if id := l.StringField("request"); id == c.RequestID || strings.HasPrefix(id, c.RequestID+".") {
		c.lines = append(c.lines, l)
	}
}

// Trace returns what was found.
func (c *Collector) Trace() *Trace {
	byTime := func(a, b LogLine) int { return strings.Compare(a.Time, b.Time) }
	slices.SortStableFunc(c.lines, byTime)
	slices.SortStableFunc(c.plans, byTime)
	trace := &Trace{RequestID: c.RequestID, Lines: c.lines}
	final := trace.finalLine()
	if final == nil {
		trace.Cause = "no line tells of its end: it was served beyond the lines a second that nodes write, or the log is not whole"
		return trace
	}
	if final.StringField("reason") == "shed" {
		trace.Plan = c.lastPlanBefore(final)
	}
	trace.Cause = trace.causeOf(final)
	return trace
}

// finalLine returns the line about the finalLine of the request at its entrance.
func (t *Trace) finalLine() *LogLine {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if l := &t.Lines[i]; l.StringField("request") == t.RequestID && strings.HasPrefix(l.Message, "request ") {
			return l
		}
	}
	return nil
}

func (c *Collector) lastPlanBefore(final *LogLine) *LogLine {
	var last *LogLine
	for i := range c.plans {
		if l := &c.plans[i]; l.Instance == final.Instance && l.Time <= final.Time {
			last = l
		}
	}
	return last
}

func (t *Trace) causeOf(final *LogLine) string {
	switch final.StringField("reason") {
	case "shed":
		return t.sheddingCause(final)
	case "key":
		return fmt.Sprintf("refused: its key is not in configuration %v, confirmed %v ms before", final.Fields["configVersion"], final.Fields["configAgeMs"])
	case "rate":
		return fmt.Sprintf("refused: organisation %v is over its rate", final.Fields["organisation"])
	case "notFound":
		return fmt.Sprintf("refused: no route of configuration %v leads from its host and path", final.Fields["configVersion"])
	case "":
		if t.firstFailedCall() != nil {
			return t.failedCallCause(final)
		}
		return fmt.Sprintf("answered %v by the instance", final.Fields["status"])
	}
	if lostLine := t.lostCall(); lostLine != nil {
		return fmt.Sprintf("%s; at %s the instance gave no whole answer after %v ms: %s", final.StringField("detail"), lostLine.Instance, lostLine.Fields["ranMs"], lostLine.StringField("cause"))
	}
	return final.StringField("detail")
}

func (t *Trace) sheddingCause(final *LogLine) string {
	if t.Plan == nil {
		return "refused: " + final.StringField("detail")
	}
	fullest, highest := "", 0.0
	fullness, _ := t.Plan.Fields["fullness"].(map[string]any)
	for service, v := range fullness {
		if full, ok := v.(float64); ok && full > highest {
			fullest, highest = service, full
		}
	}
	return fmt.Sprintf("refused for lack of room: service %s was %.0f %% full, and %v of its class was admitted (plan of %s)", fullest, highest*100, final.Fields["classPart"], t.Plan.Time)
}

// firstFailedCall returns the first line about a call of the request that failed.
func (t *Trace) firstFailedCall() *LogLine {
	for i := range t.Lines {
		if l := &t.Lines[i]; l.StringField("request") != t.RequestID && l.Message != "request answered" {
			return l
		}
	}
	return nil
}

func (t *Trace) failedCallCause(final *LogLine) string {
	failed := t.firstFailedCall()
	return fmt.Sprintf("answered %v by the instance after its call %s failed at %s: %s %s", final.Fields["status"], failed.StringField("request"), failed.Instance, failed.Message, failed.StringField("reason"))
}

func (t *Trace) lostCall() *LogLine {
	for i := range t.Lines {
		if l := &t.Lines[i]; l.Message == "call lost at the instance" {
			return l
		}
	}
	return nil
}

// Package requesttrace collects the log lines of all nodes about one request and
// determines why the request ended as it did.
package requesttrace

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

const (
	// AdmissionPlanMessage is the message of the log lines that record an admission plan.
	AdmissionPlanMessage = "classes admitted in part"
)

type (
	// Trace holds the log lines of one request and the cause of its outcome.
	Trace struct {
		RequestID string `json:"request"`
		// Lines are sorted by time.
		Lines []LogLine `json:"lines"`
		// Plan is the last admission plan that the refusing node logged before it
		// refused the request; nil if the request was not refused by load shedding.
		Plan  *LogLine `json:"plan,omitempty"`
		Cause string   `json:"cause"`
	}
)

// Collector collects the log lines about one request. Set RequestID before use. It is
// not safe for concurrent use.
type Collector struct {
	RequestID string

	lines []LogLine
	plans []LogLine
}

// ReadLog collects the relevant lines of one log. Call it once for each log. It skips
// lines that are not events, and any text before an event.
func (c *Collector) ReadLog(log io.Reader) error { return ScanLog(log, c.add) }

func (c *Collector) add(l LogLine) {
	if l.Message == AdmissionPlanMessage {
		c.plans = append(c.plans, l)
	}
	// An instance that calls others for a request appends a suffix to the id of the
	// request, separated by a dot.
	if id := l.StringField("request"); id == c.RequestID || strings.HasPrefix(id, c.RequestID+".") {
		c.lines = append(c.lines, l)
	}
}

// Trace returns the trace of the request from the lines collected so far.
func (c *Collector) Trace() *Trace {
	byTime := func(a, b LogLine) int { return strings.Compare(a.Time, b.Time) }
	slices.SortStableFunc(c.lines, byTime)
	slices.SortStableFunc(c.plans, byTime)
	trace := &Trace{RequestID: c.RequestID, Lines: c.lines}
	final := trace.finalLine()
	if final == nil {
		trace.Cause = "no log line records how the request ended: either it was answered while the node omitted log lines above its limit per second, or the log is incomplete"
		return trace
	}
	if final.StringField("reason") == "shed" {
		trace.Plan = c.lastPlanBefore(final)
	}
	trace.Cause = trace.causeOf(final)
	return trace
}

// finalLine returns the last line about the request itself, not about a call made for
// it, or nil. The node that the request arrived at wrote that line.
func (t *Trace) finalLine() *LogLine {
	for i := len(t.Lines) - 1; i >= 0; i-- {
		if l := &t.Lines[i]; l.StringField("request") == t.RequestID && strings.HasPrefix(l.Message, "request ") {
			return l
		}
	}
	return nil
}

// lastPlanBefore returns the last admission plan that the node of final logged before
// it, or nil.
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
		return fmt.Sprintf("refused: configuration %v has no route for its host and path", final.Fields["configVersion"])
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

// sheddingCause names the service with the highest utilisation in the admission plan.
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

// firstFailedCall returns the first line about a failed call made for the request, or
// nil.
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

// lostCall returns the first line about a call whose response was lost, or nil.
func (t *Trace) lostCall() *LogLine {
	for i := range t.Lines {
		if l := &t.Lines[i]; l.Message == "call lost at the instance" {
			return l
		}
	}
	return nil
}

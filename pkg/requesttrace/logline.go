package requesttrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// maxLineBytes is the longest log line that ScanLog accepts.
const maxLineBytes = 1 << 20

// LogLine is one structured log line that records an event. Fields holds all its
// fields other than time, instance, message and level.
type LogLine struct {
	Time     string         `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// ScanLog calls handle with each event line of a log, in order, and skips all other
// lines. It returns the read error of the log, or bufio.ErrTooLong for a line of more
// than maxLineBytes.
func ScanLog(log io.Reader, handle func(LogLine)) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := ParseLine(scanner.Bytes()); ok {
			handle(line)
		}
	}
	return scanner.Err()
}

// ParseLine parses the JSON object in a log line and ignores any text before it,
// such as a timestamp. It returns false if the line has no JSON object or no message.
func ParseLine(text []byte) (LogLine, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return LogLine{}, false
	}
	fields := map[string]any{}
	if json.Unmarshal(text[start:], &fields) != nil {
		return LogLine{}, false
	}
	line := LogLine{Fields: fields}
	line.Time, _ = fields["time"].(string)
	line.Instance, _ = fields["instance"].(string)
	line.Message, _ = fields["msg"].(string)
	for _, name := range []string{"time", "instance", "msg", "level"} {
		delete(fields, name)
	}
	return line, line.Message != ""
}

// Timestamp returns the time of the event, and false if the line has no valid time.
func (l *LogLine) Timestamp() (time.Time, bool) {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	return at, err == nil
}

// StringField returns the value of a string field, or "" if the field is missing or not
// a string.
func (l *LogLine) StringField(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// NumberField returns the value of a numeric field, and false if the field is missing
// or not a number.
func (l *LogLine) NumberField(field string) (float64, bool) {
	number, ok := l.Fields[field].(float64)
	return number, ok
}

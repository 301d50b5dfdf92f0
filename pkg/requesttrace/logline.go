package requesttrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"
)

// maxLineBytes bounds a log line in bytes.
const maxLineBytes = 1 << 20

// LogLine is one log line.
type LogLine struct {
	Time     string         `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// ScanLog hands on the lines of a log that tell of events. It returns the error of
// the log, or bufio.ErrTooLong.
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

// ParseLine reads one line, passing over what stands in front of the event. It
// reports false where the line is no event.
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

// Timestamp returns when the event was, and false where the line does not tell.
func (l *LogLine) Timestamp() (time.Time, bool) {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	return at, err == nil
}

// StringField returns a field that is text, or "".
func (l *LogLine) StringField(field string) string {
	text, _ := l.Fields[field].(string)
	return text
}

// NumberField returns a field that is a number, and false where it is none.
func (l *LogLine) NumberField(field string) (float64, bool) {
	number, ok := l.Fields[field].(float64)
	return number, ok
}

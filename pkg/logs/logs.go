// Package logs creates the structured loggers of all programs. Each component of a
// program adds its fixed name to its log lines, in the field "part".
package logs

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// Component names, the values of the field "part".
const (
	ComponentNode      = "node"
	ComponentCaller    = "caller"
	ComponentPeer      = "peer"
	ComponentAdmin     = "admin"
	ComponentConfig    = "config"
	ComponentMember    = "member"
	ComponentRate      = "rate"
	ComponentAction    = "action"
	ComponentAdmission = "admission"
)

// Formats of log lines.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// Logger writes structured log lines. It is safe for concurrent use.
type Logger = logrus.Entry

// InvalidLevelError reports an unknown log level.
type InvalidLevelError struct {
	Level string
}

// Error implements error.
func (e *InvalidLevelError) Error() string {
	return fmt.Sprintf("log level %q is not one of debug, info, warning, error", e.Level)
}

// New returns a logger that writes to out and adds the instance name to every line. The
// format is FormatJSON or, for any other value, text. It returns *InvalidLevelError for
// an unknown level.
func New(out io.Writer, level, format, instance string) (*Logger, error) {
	l := logrus.New()
	l.SetOutput(out)
	logLevel, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, &InvalidLevelError{Level: level}
	}
	l.SetLevel(logLevel)
	if format == FormatJSON {
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	} else {
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	}
	return l.WithField("instance", instance), nil
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// WithComponent returns a logger that adds the name of a component to every line.
func WithComponent(l *Logger, component string) *Logger {
	return l.WithField("part", component)
}

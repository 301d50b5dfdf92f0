package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// EventKind is the message of a kind of event; each kind has its own limit.
type EventKind string

// Sampler limits the log lines per second of each kind of event, and counts the events
// it omits. Set the exported fields before use. It is safe for concurrent use.
type Sampler struct {
	Clock  clock.Clock
	Logger *Logger
	// MaxPerSecond is the limit of lines per second of each kind.
	MaxPerSecond int

	mu      sync.Mutex // guards windows
	windows map[EventKind]*kindWindow
}

// kindWindow counts the events of one kind. Written counts lines since start, which is
// renewed when it is a second old; omitted counts events since the last written line.
type kindWindow struct {
	start   time.Time
	written int
	omitted int
}

// Log writes a line for an event unless its kind has reached MaxPerSecond. The line has
// the number of events of that kind omitted before it, if any, in the field "omitted".
// Log calls fields only for lines that it writes.
func (s *Sampler) Log(kind EventKind, fields func() logrus.Fields) {
	omitted, write := s.reserve(kind)
	if !write {
		return
	}
	f := fields()
	if omitted > 0 {
		f["omitted"] = omitted
	}
	s.Logger.WithFields(f).Info(string(kind))
}

// reserve counts an event. It returns the number of events omitted since the last written
// line, and whether to write a line for this one.
func (s *Sampler) reserve(kind EventKind) (int, bool) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windows == nil {
		s.windows = map[EventKind]*kindWindow{}
	}
	window := s.windows[kind]
	if window == nil {
		window = &kindWindow{}
		s.windows[kind] = window
	}
	if now.Sub(window.start) >= time.Second {
		window.start, window.written = now, 0
	}
	if window.written >= s.MaxPerSecond {
		window.omitted++
		return 0, false
	}
	window.written++
	omitted := window.omitted
	window.omitted = 0
	return omitted, true
}

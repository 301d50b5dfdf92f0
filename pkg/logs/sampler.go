package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// EventKind names a kind of event; each kind has its own bound.
type EventKind string

// Sampler bounds the lines a second of each kind of event, and counts what it
// leaves out. Set the exported fields before use.
type Sampler struct {
	Clock  clock.Clock
	Logger *Logger
	// MaxPerSecond bounds the lines of each kind.
	MaxPerSecond int

	mu      sync.Mutex
	windows map[EventKind]*kindWindow
}

type kindWindow struct {
	start   time.Time
	written int
	omitted int
}

// Log writes a line unless its kind has used up its lines of this second.
// Fields is called only for lines that are written.
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

package logs

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// Kind names a kind of event; each kind has its own bound.
type Kind string

// Sampler bounds the lines a second of each kind of event, and counts what it
// leaves out. Set the exported fields before use.
type Sampler struct {
	Clock  clock.Clock
	Logger *Logger
	// PerSecond bounds the lines of each kind.
	PerSecond int

	mu    sync.Mutex
	kinds map[Kind]*sample
}

type sample struct {
	second  time.Time
	written int
	omitted int
}

// Event writes a line unless its kind has used up its lines of this second.
// Fields is called only for lines that are written.
func (s *Sampler) Event(kind Kind, fields func() logrus.Fields) {
	omitted, write := s.admit(kind)
	if !write {
		return
	}
	f := fields()
	if omitted > 0 {
		f["omitted"] = omitted
	}
	s.Logger.WithFields(f).Info(string(kind))
}

func (s *Sampler) admit(kind Kind) (int, bool) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds == nil {
		s.kinds = map[Kind]*sample{}
	}
	k := s.kinds[kind]
	if k == nil {
		k = &sample{}
		s.kinds[kind] = k
	}
	if now.Sub(k.second) >= time.Second {
		k.second, k.written = now, 0
	}
	if k.written >= s.PerSecond {
		k.omitted++
		return 0, false
	}
	k.written++
	omitted := k.omitted
	k.omitted = 0
	return omitted, true
}

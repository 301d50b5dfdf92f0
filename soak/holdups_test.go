package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// holdUpInterval is how often the soak looks whether its own process runs, and minHoldUp
	// the least delay that is told.
	holdUpInterval, minHoldUp = 10 * time.Millisecond, 200 * time.Millisecond
)

// holdUps are the times at which the soak's own process was kept from running: its callers,
// its servers and the store stood still. They explain violations and excuse none.
type holdUps struct {
	sleep func(time.Duration)
	now   func() time.Time
	// mu guards text.
	mu   sync.Mutex
	text strings.Builder
}

// watch records delays until ctx ends.
func (h *holdUps) watch(ctx context.Context) {
	start := h.now()
	for ctx.Err() == nil {
		before := h.now()
		h.sleep(holdUpInterval)
		if delay := h.now().Sub(before) - holdUpInterval; delay >= minHoldUp {
			h.mu.Lock()
			fmt.Fprintf(&h.text, "%.1fs %s; ", before.Sub(start).Seconds(), delay.Round(time.Millisecond))
			h.mu.Unlock()
		}
	}
}

func (h *holdUps) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.text.String()
}

// Guards against hold-ups that are not told.
func TestHoldUps(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	now := time.Unix(100, 0)
	delays := []time.Duration{0, minHoldUp - 1, minHoldUp, 3 * time.Second}
	h := &holdUps{now: func() time.Time { return now }}
	h.sleep = func(d time.Duration) {
		now = now.Add(d + delays[0])
		if delays = delays[1:]; len(delays) == 0 {
			cancel()
		}
	}
	h.watch(ctx)
	is.Equal(h.String(), "0.2s 200ms; 0.4s 3s; ")
}

package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// steppingClock is a clock on which each wait takes exactly its time, and nothing else takes
// any.
type steppingClock struct{ clock.Fake }

// After implements clock.Clock.
func (c *steppingClock) After(d time.Duration) <-chan time.Time {
	c.Advance(d)
	return c.Fake.After(0)
}

// newStoppingNode returns a node that does not run, at the moment of its signal to stop.
func newStoppingNode(gracePeriod time.Duration) *Node {
	c := &steppingClock{}
	n := newFuzzNode()
	n.clock, n.settings.GracePeriod = c, gracePeriod
	n.stopStartedAt.Store(int64(clock.MonotonicOf(c.Now())))
	n.stopping.Store(true)
	return n
}

// The node is not quiet before the end of a part of its stop, which is no multiple of the
// poll interval. Guards against parts that each end later than they should, so that the
// last one has less time than it needs.
func TestPartOfStopEndsInTime(t *testing.T) {
	for _, maxTime := range []time.Duration{drainPollInterval / 4, 450 * time.Millisecond, 465 * time.Millisecond} {
		is := is.New(t)
		n := newStoppingNode(500 * time.Millisecond)
		n.awaitQuiet(maxTime, time.Hour, 0, func() {})
		is.Equal(n.sinceStop(), maxTime)
	}
}

// Guards against a wait for the links to peers that lasts beyond the grace period, as the
// responses to callers took longer than they should.
func TestLinksAreClosedWithinGracePeriod(t *testing.T) {
	const gracePeriod = 6 * time.Second
	for name, test := range map[string]struct{ drained, want time.Duration }{
		"nothing in flight": {drained: 2500 * time.Millisecond, want: 240 * time.Millisecond},
		"in time":           {drained: 5580 * time.Millisecond, want: 240 * time.Millisecond},
		"late":              {drained: 5700 * time.Millisecond, want: 120 * time.Millisecond},
		"too late":          {drained: 5900 * time.Millisecond, want: minLinkCloseTime},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newStoppingNode(gracePeriod)
			n.clock.(*steppingClock).Advance(test.drained)
			is.Equal(n.linkCloseTime(), test.want)
		})
	}
}

package slowstart

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	simSlots = 20
	// simRunTime is the run time at a warm instance: the slots allow 400 calls per second.
	simRunTime = 50 * time.Millisecond
	// simTick is the step of the simulated time.
	simTick = 5 * time.Millisecond
)

type (
	// model returns the run time and the outcome of a call that is sent at a time after the
	// start, while so many calls were sent in the last second and so many run.
	model func(at time.Duration, perSecond, running int) Sample

	// simulation sends a load to a modelled instance, limited by a controller.
	simulation struct {
		c       Controller
		random  *rand.Rand
		start   time.Time
		now     time.Duration
		credit  float64
		pending []pendingCall
		sent    []time.Duration
		// bad counts the calls that were rejected or failed.
		bad int
	}

	pendingCall struct {
		ends   time.Duration
		sample Sample
	}
)

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(100, 0)}
}

func (s *simulation) time() time.Time { return s.start.Add(s.now) }

// sentIn returns the number of calls sent in the last d.
func (s *simulation) sentIn(d time.Duration) int {
	n := 0
	for i := len(s.sent) - 1; i >= 0 && s.now-s.sent[i] < d; i-- {
		n++
	}
	return n
}

// run sends offered calls per second for d, as far as the controller permits.
func (s *simulation) run(d time.Duration, offered float64, m model) {
	for end := s.now + d; s.now < end; s.now += simTick {
		var running []pendingCall
		for _, p := range s.pending {
			if p.ends <= s.now {
				s.c.Observe(s.time(), p.sample)
				continue
			}
			running = append(running, p)
		}
		s.pending = running
		rate := offered
		if limit := s.c.Rate(s.time()); limit > 0 {
			rate = min(rate, limit)
		}
		s.credit += rate * simTick.Seconds()
		for ; s.credit >= 1; s.credit-- {
			if len(s.pending) >= simSlots {
				continue
			}
			sample := m(s.now, s.sentIn(time.Second), len(s.pending))
			// Run times vary by a third.
			sample.RunTime = time.Duration(float64(sample.RunTime) * (0.67 + 0.66*s.random.Float64()))
			if sample.Outcome != OutcomeServed {
				s.bad++
			}
			s.sent = append(s.sent, s.now)
			s.pending = append(s.pending, pendingCall{ends: s.now + sample.RunTime, sample: sample})
		}
	}
}

func forSeeds(t *testing.T, check func(is *is.I, s *simulation)) {
	t.Helper()
	for seed := range uint64(20) {
		check(is.New(t), newSimulation(seed))
	}
}

func TestZeroValueHasNoLimit(t *testing.T) {
	is := is.New(t)
	var c Controller
	now := time.Unix(100, 0)
	c.Observe(now, Sample{RunTime: time.Second, Outcome: OutcomeRejected})
	is.Equal(c.Rate(now), 0.0)
	is.Equal(c.Rate(now.Add(time.Hour)), 0.0)
}

// An instance has just started and is slower at first. Guards against one that gets its full
// load at once, and against one that is held back once it is warm.
func TestInstanceThatHasJustStartedWarmsUp(t *testing.T) {
	forSeeds(t, func(is *is.I, s *simulation) {
		cold := func(at time.Duration, _, _ int) Sample {
			if at < 3*time.Second {
				return Sample{RunTime: 3 * simRunTime}
			}
			return Sample{RunTime: simRunTime}
		}
		s.c.Begin(s.time(), simSlots, simRunTime)
		s.run(time.Second, 300, cold)
		is.True(s.sentIn(time.Second) <= 100)
		s.run(9*time.Second, 300, cold)
		is.Equal(s.c.Rate(s.time()), 0.0)
	})
}

// An instance is four times slower than expected, at any rate. Guards against one that is held
// at the lowest rate for that reason.
func TestUniformlySlowInstanceIsNotHeldBack(t *testing.T) {
	forSeeds(t, func(is *is.I, s *simulation) {
		s.c.Begin(s.time(), simSlots, simRunTime)
		s.run(10*time.Second, 60, func(time.Duration, int, int) Sample { return Sample{RunTime: 4 * simRunTime} })
		is.Equal(s.c.Rate(s.time()), 0.0)
	})
}

// An instance rejects what exceeds 60 calls per second. Guards against a rate that stays above
// what it takes, or far below.
func TestInstanceThatRejectsWhenPushedIsHeldAtWhatItTakes(t *testing.T) {
	forSeeds(t, func(is *is.I, s *simulation) {
		limited := func(_ time.Duration, perSecond, _ int) Sample {
			if perSecond > 60 {
				return Sample{RunTime: time.Millisecond, Outcome: OutcomeRejected}
			}
			return Sample{RunTime: simRunTime}
		}
		s.c.Begin(s.time(), simSlots, simRunTime)
		s.run(20*time.Second, 300, limited)
		sent, bad := s.sentIn(10*time.Second), s.bad
		is.True(sent >= 250 && sent <= 700)
		is.True(bad <= 150) // of 4,800 without a limit
		s.run(20*time.Second, 300, limited)
		is.True(s.c.Rate(s.time()) > 0)
		is.True(s.sentIn(10*time.Second) >= 250)
		s.run(40*time.Second, 300, func(time.Duration, int, int) Sample { return Sample{RunTime: simRunTime} })
		is.Equal(s.c.Rate(s.time()), 0.0)
	})
}

// An instance slows down when more than a quarter of its slots are busy. Guards against a rate
// that pushes it there at once, and against a limit that never ends.
func TestInstanceThatSlowsDownWhenPushedIsRelievedForAWhile(t *testing.T) {
	forSeeds(t, func(is *is.I, s *simulation) {
		knee := func(_ time.Duration, _, running int) Sample {
			if running > simSlots/4 {
				return Sample{RunTime: 4 * simRunTime}
			}
			return Sample{RunTime: simRunTime}
		}
		s.c.Begin(s.time(), simSlots, simRunTime)
		s.run(10*time.Second, 300, knee)
		rate := s.c.Rate(s.time())
		is.True(rate > 20 && rate < 200)
		s.run(30*time.Second, 300, knee)
		is.Equal(s.c.Rate(s.time()), 0.0)
	})
}

// An instance gets almost no calls. Guards against a limit that waits for calls that do not
// come, so that the first burst finds an instance that is held back.
func TestLimitOfAnIdleInstanceEnds(t *testing.T) {
	forSeeds(t, func(is *is.I, s *simulation) {
		s.c.Begin(s.time(), simSlots, simRunTime)
		s.run(25*time.Second, 0.3, func(time.Duration, int, int) Sample { return Sample{RunTime: simRunTime} })
		is.Equal(s.c.Rate(s.time()), 0.0)
	})
}

// Calls fail at any rate: first all, then a third of them. Guards against an instance that gets
// no call any more, and against one that is held at the lowest rate although fewer calls would
// not fail less.
func TestCallsThatFailAtAnyRate(t *testing.T) {
	forSeeds(t, func(is *is.I, s *simulation) {
		s.c.Begin(s.time(), simSlots, simRunTime)
		s.run(10*time.Second, 300, func(time.Duration, int, int) Sample {
			return Sample{RunTime: simRunTime, Outcome: OutcomeFailed}
		})
		is.True(s.c.Rate(s.time()) >= probeRate && s.c.Rate(s.time()) <= 20)
		is.True(s.sentIn(5*time.Second) >= 3)
		s.run(70*time.Second, 300, func(time.Duration, int, int) Sample {
			if s.random.Float64() < 0.33 {
				return Sample{RunTime: simRunTime, Outcome: OutcomeFailed}
			}
			return Sample{RunTime: simRunTime}
		})
		is.True(s.sentIn(5*time.Second) >= 200)
	})
}

// Calls of the instance fail at once at first, and succeed later. Guards against a run time of
// errors to which that of successful calls is compared.
func TestErrorsAreNoMeasureOfTheRunTime(t *testing.T) {
	forSeeds(t, func(is *is.I, s *simulation) {
		s.c.Begin(s.time(), simSlots, simRunTime)
		s.run(6*time.Second, 100, func(at time.Duration, _, _ int) Sample {
			if at < time.Second {
				return Sample{RunTime: time.Millisecond, Outcome: OutcomeError}
			}
			return Sample{RunTime: simRunTime}
		})
		is.Equal(s.c.Rate(s.time()), 0.0)
	})
}

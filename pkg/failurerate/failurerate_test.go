package failurerate

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000_000, 0)

// observe passes calls at a rate to the meter and returns the time after them. result gives
// the result of each call.
func observe(m *Meter, now time.Time, perSecond float64, lasts time.Duration, result func(i int) Result) time.Time {
	end := now.Add(lasts)
	for i := 0; now.Before(end); i++ {
		m.Observe(now, result(i))
		now = now.Add(time.Duration(float64(time.Second) / perSecond))
	}
	return now
}

// everySecond rejects every second call.
func everySecond(i int) Result { return Result(i % 2) }

func all(r Result) func(int) Result { return func(int) Result { return r } }

func TestFractions(t *testing.T) {
	for _, perSecond := range []float64{5, 30, 500} {
		is := is.New(t)
		m := &Meter{}
		now := observe(m, start, perSecond, 6*time.Second, everySecond)
		rejected, failed := m.Fractions(now)
		is.True(rejected > 0.4 && rejected < 0.6)
		is.Equal(failed, 0.0)
		now = observe(m, now, perSecond, 6*time.Second, all(ResultFailed))
		rejected, failed = m.Fractions(now)
		is.True(failed > 0.8 && rejected < 0.1)
	}
}

// Guards against an instance that is excluded for long after it has recovered, with few calls
// to show it, or with none.
func TestRecoveryIsSeen(t *testing.T) {
	is := is.New(t)
	m := &Meter{}
	now := observe(m, start, 8, 5*time.Second, everySecond)
	now = observe(m, now, 8, time.Second, all(ResultDone))
	rejected, _ := m.Fractions(now)
	is.True(rejected < 0.25)
	now = observe(m, now, 10, 5*time.Second, all(ResultFailed))
	now = observe(m, now, 10, 800*time.Millisecond, all(ResultDone))
	_, failed := m.Fractions(now)
	is.True(failed < 0.25)
	now = observe(m, now, 200, 5*time.Second, all(ResultFailed))
	_, failed = m.Fractions(now.Add(10 * time.Second))
	is.True(failed < 0.25)
}

// The first calls of an instance say little.
func TestFewCallsSayLittle(t *testing.T) {
	is := is.New(t)
	m := &Meter{}
	_, failed := m.Fractions(start)
	is.Equal(failed, 0.0)
	m.Observe(start, ResultFailed)
	_, failed = m.Fractions(start)
	is.True(failed < 0.25)
}

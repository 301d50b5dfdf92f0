package callgraph

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against calls of a run that are all taken for its first one, so that
// retries cannot go to the later ones.
func TestPositionOfCalls(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	expires := time.Unix(1000, 0)
	is.True(!e.ObserveCall("deep", expires).Known) // no execution runs
	for range 2 {
		x := e.ObserveRun(Run{Route: "caller", Expires: expires, Priority: 1})
		for position := 1; position <= 4; position++ {
			c := e.ObserveCall("deep", expires.Add(time.Millisecond))
			is.True(c.Known)
			is.Equal(c.Position, position)
			is.Equal(c.Priority, uint32(1))
			is.Equal(c.RepeatFraction, 0.0)
		}
		is.Equal(e.ObserveCall("other", expires).Position, 1)
		e.ObserveEnd(x)
		expires = expires.Add(time.Second)
	}
	e.ObserveRun(Run{Route: "caller", Expires: expires})
	is.Equal(e.ObserveCall("deep", expires).Remaining, 3)
	is.Equal(e.ObserveCall("deep", expires).Remaining, 2)
	is.True(!e.ObserveCall("deep", expires.Add(time.Second)).Known)
}

// Two executions expire at the same time. Guards against a call that gets the
// position or the priority of a run that did not make it.
func TestAmbiguousCallerYieldsWhatIsCertain(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	expires := time.Unix(1000, 0)
	e.ObserveRun(Run{Route: "caller", Expires: expires, Priority: 0, Repeat: true})
	e.ObserveCall("deep", expires)
	e.ObserveCall("deep", expires)
	e.ObserveRun(Run{Route: "caller", Expires: expires, Priority: 2})
	for range 2 {
		c := e.ObserveCall("deep", expires)
		is.Equal(c.Position, 1)
		is.Equal(c.Priority, uint32(2))
		is.Equal(c.RepeatFraction, 0.5)
	}
}

// Calls expire at times of their own, while many executions run. Guards against calls that
// get the position and the priority of an execution that they match by chance.
func TestChanceMatchIdentifiesNoCaller(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	random := rand.New(rand.NewPCG(5, 6))
	now, known := time.Unix(1000, 0), 0
	var running []*Execution
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		running = append(running, e.ObserveRun(Run{Route: "caller", Expires: now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)}))
		if e.ObserveCall("deep", now.Add(time.Duration(random.IntN(3000))*time.Millisecond)).Known {
			known++
		}
		if len(running) > 100 {
			e.ObserveEnd(running[0])
			running = running[1:]
		}
	}
	t.Logf("known: %d of 2000", known)
	is.True(known < 100)
}

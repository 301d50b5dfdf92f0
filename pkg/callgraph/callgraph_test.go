package callgraph

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two routes run at the same time on one instance and only one of them makes
// calls. The calls must not be attributed to the other.
func TestCallsAreAttributedToTheirCaller(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var running []*Execution
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		running = append(running, e.ObserveStart("quiet", now.Add(time.Duration(600+random.IntN(600))*time.Millisecond)))
		caller := e.ObserveStart("caller", now.Add(time.Duration(600+random.IntN(600))*time.Millisecond))
		running = append(running, caller)
		for range 4 {
			e.ObserveCall("deep", caller.expires.Add(time.Duration(random.IntN(4)-2)*time.Millisecond))
		}
		if len(running) > 40 {
			e.ObserveEnd(running[0])
			running = running[1:]
		}
	}
	calls := e.CallsPerExecution()
	is.True(calls["caller"]["deep"] > 3.5)
	is.True(calls["caller"]["deep"] < 4.5)
	is.True(calls["quiet"]["deep"] < 0.5)
}

// Calls that expire earlier than their execution cannot be matched by expiry.
// The counts in windows identify their caller, even while the other route has
// many executions as well.
func TestCallsWithEarlierExpiry(t *testing.T) {
	is := is.New(t)
	e := &Estimator{}
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1000, 0)
	for i := range 120 {
		// The load of both routes rises and falls together.
		wave := 1 + 0.5*math.Sin(float64(i)/10)
		now = now.Add(time.Second)
		for range int(wave * (5 + 10*random.Float64())) {
			e.ObserveEnd(e.ObserveStart("quiet", now.Add(time.Duration(random.IntN(6000))*time.Millisecond)))
		}
		for range int(wave * (60 + 30*random.Float64())) {
			x := e.ObserveStart("caller", now.Add(6*time.Second))
			for range 5 {
				e.ObserveCall("deep", now.Add(time.Duration(random.IntN(700))*time.Millisecond))
			}
			e.ObserveEnd(x)
		}
		e.EndWindow()
	}
	calls := e.CallsPerExecution()
	is.True(calls["caller"]["deep"] > 4.5 && calls["caller"]["deep"] < 5.5)
	is.Equal(calls["quiet"]["deep"], 0.0)
}

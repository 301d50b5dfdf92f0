package callgraph

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

// Two routes run side by side at one instance. Only one of them makes calls;
// the other must not be charged with them.
func TestCallsAreChargedToTheirCaller(t *testing.T) {
	is := is.New(t)
	l := &Learner{}
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	var running []*Run
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		running = append(running, l.Started("quiet", now.Add(time.Duration(600+random.IntN(600))*time.Millisecond)))
		caller := l.Started("caller", now.Add(time.Duration(600+random.IntN(600))*time.Millisecond))
		running = append(running, caller)
		for range 4 {
			l.Called("deep", caller.expires.Add(time.Duration(random.IntN(4)-2)*time.Millisecond))
		}
		if len(running) > 40 {
			l.Ended(running[0])
			running = running[1:]
		}
	}
	calls := l.CallsPerRun()
	is.True(calls["caller"]["deep"] > 3.5)
	is.True(calls["caller"]["deep"] < 4.5)
	is.True(calls["quiet"]["deep"] < 0.5)
}

// Calls that expire earlier than any run are shared like those that match.
func TestCallsWithoutCallerAreShared(t *testing.T) {
	is := is.New(t)
	l := &Learner{}
	now := time.Unix(1000, 0)
	for i := range 100 {
		r := l.Started("caller", now.Add(time.Second))
		expires := r.expires
		if i%2 == 0 {
			expires = now.Add(10 * time.Millisecond)
		}
		l.Called("deep", expires)
		l.Ended(r)
	}
	is.Equal(l.CallsPerRun(), map[routing.RouteName]map[routing.RouteName]float64{"caller": {"deep": 1}})
}

package outcome_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/outcome"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

func TestFencedCallNeverBegins(t *testing.T) {
	is := is.New(t)
	s := &outcome.Store{Clock: new(clock.Fake)}
	fenceReply := &peerrpc.RunReply{CallId: "c1"}
	is.Equal(s.Fetch(context.Background(), "c1", fenceReply), fenceReply)
	e, begun := s.Begin("c1", nil)
	is.True(!begun) // a call that arrives after it was fenced does not start
	is.Equal(e.Wait(context.Background()), fenceReply)
}

func TestFetchWaitsForRunningCallAndEvictsIt(t *testing.T) {
	is := is.New(t)
	fake := new(clock.Fake)
	s := &outcome.Store{Clock: fake}
	_, begun := s.Begin("c1", nil)
	is.True(begun)
	expired, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(s.Fetch(expired, "c1", nil) == nil) // still runs
	reply := &peerrpc.RunReply{CallId: "c1", Status: 200}
	s.Finish("c1", reply)
	is.Equal(s.Fetch(context.Background(), "c1", nil), reply)
	fake.Advance(time.Minute)
	_, _ = s.Begin("c2", nil)
	s.Finish("c2", reply)
}

package memory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// Guards against receivers that take data and lose their reservation, and against those that
// do not and keep theirs while others need it.
func TestHeldBudgetEvictsStalledReceivers(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	b := &HeldBudget{Budget: Budget{Limit: 100}, Clock: fake}
	var ended []string
	hold := func(name string, n int64) *Hold {
		return b.Hold(n, func() { ended = append(ended, name) })
	}
	stalled, reading := hold("stalled", 50), hold("reading", 50)
	fake.Advance(defaultMinStall - time.Millisecond)
	is.True(hold("early", 10) == nil)
	is.True(reading.Progress())
	fake.Advance(time.Millisecond)
	late := hold("late", 40)
	is.True(late != nil)
	is.Equal(ended, []string{"stalled"})
	is.True(!stalled.Progress())
	stalled.Release()
	is.Equal(b.Used(), int64(90))
	is.True(hold("too large", 60) == nil)
	is.Equal(ended, []string{"stalled"})
	reading.Release()
	reading.Release()
	late.Release()
	is.Equal(b.Used(), int64(0))
	is.Equal(b.Evicted(), 1)
}

// Guards against a single large message that never fits, whether its size is known or not.
func TestFirstReservationMayExceedLimit(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 100, AdmitsFirst: true}
	is.True(b.Reserve(80))
	is.True(b.Grow(80, 500))
	is.True(!b.Reserve(1))
	is.True(!b.Grow(10, 1))
	b.Release(580)
	is.True(b.Reserve(1000))
	is.True(!(&Budget{Limit: 100}).Reserve(101))
}

// Guards against a wait that does not end, and one that misses the room that comes.
func TestAwaitGrowWaitsForRoom(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 100}
	is.True(b.Reserve(100))
	is.True(!b.AwaitGrow(clock.System{}, 0, 50, 20*time.Millisecond))
	is.Equal(b.Refused(), int64(1))
	time.AfterFunc(30*time.Millisecond, func() { b.Release(60) })
	is.True(b.AwaitGrow(clock.System{}, 0, 50, 10*time.Second))
	is.Equal(b.Used(), int64(90))
}

// Guards against data that is in use and loses its reservation, and against a pinned reservation
// that is released twice or never.
func TestPinnedReservationIsNotEvicted(t *testing.T) {
	is := is.New(t)
	fake := &clock.Fake{}
	b := &HeldBudget{Budget: Budget{Limit: 100}, Clock: fake}
	ends := 0
	hold := func(n int64) *Hold { return b.Hold(n, func() { ends++ }) }
	pinned, evicted := hold(60), hold(40)
	is.True(pinned.Pin())
	is.True(pinned.Pin())
	fake.Advance(defaultMinStall)
	is.True(hold(50) == nil)
	is.Equal(ends, 1)
	is.True(!evicted.Pin())
	is.Equal(b.Used(), int64(60))
	pinned.Release()
	pinned.Release()
	evicted.Release()
	is.Equal(b.Used(), int64(0))
}

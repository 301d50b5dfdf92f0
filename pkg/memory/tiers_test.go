package memory

import (
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/clock"
)

// Guards against bytes that are counted twice, or not released, when a message of unknown length
// turns out to be large.
func TestReservationMovesBetweenTiers(t *testing.T) {
	is := is.New(t)
	small, large := &Budget{Limit: 40 << 10}, &Budget{Limit: 100 << 10}
	tiers := Tiers{Small: small, Large: large}
	used := func(wantSmall, wantLarge int64) {
		t.Helper()
		is.Equal(small.Used(), wantSmall)
		is.Equal(large.Used(), wantLarge)
	}
	is.Equal(Counted(TinyBytes), int64(0))
	is.True(tiers.AwaitResize(clock.System{}, 0, Counted(10<<10), 0))
	used(10<<10, 0)
	is.True(tiers.AwaitResize(clock.System{}, 10<<10, 32<<10, 0))
	used(32<<10, 0)
	is.True(tiers.AwaitResize(clock.System{}, 32<<10, 64<<10, 0))
	used(0, 64<<10)
	is.True(!tiers.AwaitResize(clock.System{}, 64<<10, 128<<10, 0))
	used(0, 64<<10)
	tiers.Release(64 << 10)
	used(0, 0)
	Tiers{}.Release(5000)
	is.True(Tiers{}.AwaitResize(clock.System{}, 0, 1<<30, 0))
}

// Guards against small messages that are refused while large ones take all of their memory.
func TestLargeMessagesLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	tiers := Tiers{Small: &Budget{Limit: 40 << 10}, Large: &Budget{Limit: 100 << 10}}
	is.True(tiers.AwaitResize(clock.System{}, 0, 100<<10, 0))
	is.True(!tiers.AwaitResize(clock.System{}, 0, 33<<10, 0))
	is.True(tiers.AwaitResize(clock.System{}, 0, 32<<10, 0))
}

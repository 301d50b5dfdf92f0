package memory

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

func TestBudgetRefusesBeyondItsLimit(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 100}
	is.True(b.Reserve(60))
	is.True(!b.Reserve(41))
	is.True(b.Reserve(40))
	b.Release(60)
	is.True(b.Reserve(60))
	is.Equal(b.Used(), int64(100))
	is.Equal(b.Refused(), int64(1))
	is.True((&Budget{}).Reserve(1 << 40))
}

// Guards against concurrent reservations that together exceed the limit.
func TestConcurrentReservationsStayWithinLimit(t *testing.T) {
	is := is.New(t)
	b := &Budget{Limit: 10}
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 1000 {
				if b.Reserve(3) {
					if b.Used() < 3 {
						t.Error("a reservation is not counted")
					}
					b.Release(3)
				}
			}
		})
	}
	group.Wait()
	is.Equal(b.Used(), int64(0))
}

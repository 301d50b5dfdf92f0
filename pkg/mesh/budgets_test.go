package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

// Guards against limits of the configuration that are not enforced, against limits of zero where
// it names none, and against those of callers on other connections.
func TestHeadLimitsAreThoseOfTheConfiguration(t *testing.T) {
	defaults := connection.Limits{HeaderBytes: 64 << 10, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute}
	cases := []struct {
		name string
		view *routing.View
		want connection.Limits
	}{
		{"no configuration", nil, defaults},
		{"no limits", routing.NewBuilder(1, routing.Limits{}).Build(), defaults},
		{
			"limits", routing.NewBuilder(1, routing.Limits{MaxHeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}).Build(),
			connection.Limits{HeaderBytes: 16384, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		},
		{
			"too much", routing.NewBuilder(1, routing.Limits{MaxHeaderBytes: 1 << 40, HeaderTimeout: -1}).Build(),
			connection.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := &Node{}
			n.view.Store(c.view)
			var other connection.Tracker
			n.limitHeads(&n.callerConns)
			n.limitHeads(&other)
			is.Equal(n.callerConns.Limits(), c.want)
			is.Equal(other.Limits(), defaults)
		})
	}
}

// Guards against budgets that together exceed the memory of the process.
func TestBudgetsFitMemory(t *testing.T) {
	is := is.New(t)
	const memoryBytes = 184 << 20
	var b budgets
	b.init(memoryBytes, nil)
	total := b.heads.Limit + b.smallBodies.Limit + b.callerResponses.Limit + b.smallResponses.Limit + b.outgoing.Limit + b.smallOutgoing.Limit + b.incoming.Limit + int64(retainedBytes(memoryBytes))
	is.True(total < memoryBytes/2)
	is.True(float64(total)+(2*bodyFraction+smallCallsFraction+connMemoryFraction)*memoryBytes < memoryBytes)
	is.Equal(maxResponseBytes(184<<20), int64(23<<20))
	is.Equal(maxResponseBytes(1<<30), int64(maxAnyResponseBytes))
	is.Equal(maxResponseBytes(0), int64(maxAnyResponseBytes))
	is.Equal(retainedBytes(1<<30), maxRetainedOutcomesBytes)
	is.Equal(retainedBytes(0), maxRetainedOutcomesBytes)
}

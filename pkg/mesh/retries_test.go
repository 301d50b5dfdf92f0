package mesh

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/callgraph"
	"github.com/plantainramp/plantainramp/pkg/demand"
	"github.com/plantainramp/plantainramp/pkg/entrance"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// The local instance runs a retried execution, which makes two calls. Guards against calls
// whose position, priority and repeat do not reach the entrance, and against a call after
// the end of the execution that is taken for one of it.
func TestCallsAreAttributedToExecution(t *testing.T) {
	is := is.New(t)
	n := &Node{demand: &demand.Monitor{}, gate: &gate.Gate{}}
	expires := time.Unix(1000, 0)
	ended := n.onExecutionStarted(&linkrpc.Run{Route: "gather", Priority: 1, Repeat: true}, expires)
	call := func() *entrance.Request {
		r := &entrance.Request{Inner: true, Route: &routing.Route{Name: "fetch", Priority: 2}, Expires: expires.Add(time.Millisecond)}
		n.onArrived(r)
		return r
	}
	for position := 1; position <= 2; position++ {
		r := call()
		is.Equal(r.Caller, callgraph.Caller{Known: true, Position: position, Priority: 1, RepeatFraction: 1})
		is.Equal(positionLabel(r), []string{"1", "2"}[position-1])
	}
	ended()
	is.Equal(positionLabel(call()), "unknown")
	is.Equal(positionLabel(&entrance.Request{}), "root")
}

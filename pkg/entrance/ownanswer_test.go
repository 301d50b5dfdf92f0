package entrance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// A node leaves the directory and comes back while a request that it has run is under way at
// another one. Guards against a request that is sent to the same instance twice, where the late
// copy of its first answer could pass for the second.
func TestRequestIsNotSentAgainToANodeThatCameBack(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 2, routing.Route{Idempotent: true, AllowAnonymous: true, MaxAttempts: 3})
	cluster.entrance.SetRetryLimits(RetryLimits{Ratio: 1, Slack: 10}, 1)
	for range 20 {
		cluster.entrance.retryBudget.addRequest("desk")
	}
	cluster.abortResponses.Store(true)
	all := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{}}
	for _, target := range cluster.peers.Targets("desk") {
		all.Nodes[target.Entry.Node] = target.Entry
		all.Services["desk"] = append(all.Services["desk"], target.Entry)
	}
	var mu sync.Mutex
	runs := map[fleet.InstanceName]int{}
	total := 0
	for _, g := range cluster.gates {
		id := g.LocalInstance().ID
		g.OnStart = func(*linkrpc.Run, time.Time) func() {
			mu.Lock()
			defer mu.Unlock()
			runs[id]++
			total++
			if total == 2 {
				// The first node is not held: its link is closed, and it is a new peer.
				cluster.peers.Update(&directory.Snapshot{})
				cluster.peers.Update(all)
			}
			return func() {}
		}
	}
	is.Equal(cluster.sendRequest(t.Context()).Code, http.StatusBadGateway)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(runs, map[fleet.InstanceName]int{"i-0": 1, "i-1": 1})
}

// A gate replies with the answer to another request. Guards against a caller that gets it,
// whatever mixed up the two on the way.
func TestAnswerToAnotherRequestIsNotPassedOn(t *testing.T) {
	cases := []struct {
		name    string
		headers []string
		status  int
		// reported is what OnForeignAnswer is called with.
		reported []string
	}{
		{"own id", []string{"Id", "1"}, http.StatusOK, nil},
		{"another id", []string{"Id", "other"}, http.StatusBadGateway, []string{"other"}},
		{"two ids", []string{"Id", "1", "Id", "other"}, http.StatusBadGateway, []string{"1, other"}},
		{"no id", nil, http.StatusBadGateway, []string{""}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 0, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			hello := func() *linkrpc.Hello { return &linkrpc.Hello{Incarnation: 5} }
			server := &link.Server{Clock: clock.System{}, Hello: hello, Handle: func(context.Context, link.Request) proto.Message {
				return &linkrpc.Outcome{Fate: linkrpc.Fate_FATE_ANSWERED, Status: http.StatusOK, Headers: c.headers, Body: []byte("other")}
			}}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = listener.Close(); server.Close() })
			entry := directory.Entry{Node: directory.NodeAddress(listener.Addr().String()), Instance: "i-0", Service: "desk", Slots: 10, Open: true}
			cluster.peers.Update(&directory.Snapshot{
				Nodes:    map[directory.NodeAddress]directory.Entry{entry.Node: entry},
				Services: map[fleet.ServiceName][]directory.Entry{"desk": {entry}},
			})
			var reported []string
			cluster.entrance.OnForeignAnswer = func(_ *Request, got string) { reported = append(reported, got) }
			is.Equal(cluster.sendRequest(t.Context()).Code, c.status)
			is.Equal(reported, c.reported)
		})
	}
}

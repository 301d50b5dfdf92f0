package entrance

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// newPlainUpstream starts an instance that checks nothing of what it gets. It passes each
// request to received, and answers with the id of the request and a header line. It returns
// its address.
func newPlainUpstream(t *testing.T, headerLine string, received chan<- *http.Request) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for r, err := http.ReadRequest(reader); err == nil; r, err = http.ReadRequest(reader) {
					received <- r
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"), headerLine)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// newTextCluster returns a cluster with one instance, which answers with a header line. The
// gate is at the node of the entrance if isLocal is set, otherwise at another one.
func newTextCluster(t *testing.T, isLocal bool, headerLine string, received chan<- *http.Request) *testCluster {
	t.Helper()
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	cluster.gates[0].Instance.Address = newPlainUpstream(t, headerLine, received)
	if isLocal {
		cluster.peers.Gate = cluster.gates[0]
		entry := directory.Entry{Node: cluster.peers.LocalNode, Instance: "i-0", Service: "desk", Slots: 10, Open: true}
		cluster.peers.Update(&directory.Snapshot{
			Nodes:    map[directory.NodeAddress]directory.Entry{entry.Node: entry},
			Services: map[fleet.ServiceName][]directory.Entry{"desk": {entry}},
		})
	}
	return cluster
}

// HTTP allows header values that are not UTF-8, which the messages between nodes cannot hold.
// Guards against an answer of that kind that is lost, so that the caller waits for it until its
// deadline.
func TestAnswerThatIsNotUTF8ArrivesUnchanged(t *testing.T) {
	for name, isLocal := range map[string]bool{"another node": false, "local node": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newTextCluster(t, isLocal, "Name: \xe9t\xe9\r\nPlain: été", make(chan *http.Request, 1))
			w := cluster.sendRequest(t.Context())
			is.Equal(w.Code, http.StatusOK)
			is.Equal(w.Header()["Name"], []string{"\xe9t\xe9"})
			is.Equal(w.Header()["Plain"], []string{"été"})
		})
	}
}

// Guards against a request with texts that are not UTF-8 that no other node takes, and against
// one whose texts the instance gets in another form.
func TestRequestThatIsNotUTF8ReachesTheInstanceUnchanged(t *testing.T) {
	for name, isLocal := range map[string]bool{"another node": false, "local node": true} {
		for _, id := range []string{"1", "\xe91"} {
			t.Run(fmt.Sprintf("%s, id %q", name, id), func(t *testing.T) {
				is := is.New(t)
				received := make(chan *http.Request, 1)
				cluster := newTextCluster(t, isLocal, "Plain: 1", received)
				r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/x", nil)
				r.RequestURI = "/x?\xff"
				r.Header["Id"], r.Header["Left"], r.Header["Place"] = []string{id}, []string{"3000"}, []string{"\xfcber", "über"}
				w := httptest.NewRecorder()
				cluster.entrance.ServeHTTP(w, r)
				is.Equal(w.Code, http.StatusOK)
				is.Equal(w.Header()["Id"], []string{id})
				got := <-received
				is.Equal(got.RequestURI, "/x?\xff")
				is.Equal(got.Header["Place"], []string{"\xfcber", "über"})
			})
		}
	}
}

// Guards against a caller that waits until its deadline for an answer that a gate cannot encode,
// and against one that is told that its request has not run.
func TestAnswerThatCannotBeEncodedCountsAsLost(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	cluster.gates[0].OnDecision = func(d *gate.Decision) { d.Outcome.Headers = append(d.Outcome.Headers, "Name", "\xff") }
	var lost bool
	cluster.entrance.OnFinish = func(r *Request, _ int, _ *linkrpc.Outcome, _ *problem.Error) { lost = r.ResponseLost }
	is.Equal(cluster.sendRequest(t.Context()).Code, http.StatusBadGateway)
	is.True(lost)
}

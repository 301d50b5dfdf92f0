package entrance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/directory"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/link"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/peering"
	"github.com/plantainramp/plantainramp/pkg/quota"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// testCluster is one entrance and the gates of one service, with connections that
// a test can close.
type testCluster struct {
	entrance   *Entrance
	peers      *peering.Peers
	gates      []*gate.Gate
	executions atomic.Int64
	// bodyBytes is the number of bytes of request bodies that instances have read.
	bodyBytes atomic.Int64
	// running is the number of calls that run.
	running atomic.Int64
	// callTime is the time that each call takes.
	callTime time.Duration
	// abortResponses makes instances run calls and abort the response.
	abortResponses atomic.Bool
	// answer replaces the handler of the instances; nil means that they answer "done".
	answer http.HandlerFunc
	// lend returns the tokens that the gates' nodes lend for one request; nil means none.
	lend func() float64
	// unreachable makes all dials from the entrance fail.
	unreachable atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func (tc *testCluster) serve(w http.ResponseWriter, r *http.Request) {
	tc.executions.Add(1)
	if tc.answer != nil {
		tc.answer(w, r)
		return
	}
	tc.running.Add(1)
	defer tc.running.Add(-1)
	n, _ := io.Copy(io.Discard, r.Body)
	tc.bodyBytes.Add(n)
	select {
	case <-time.After(tc.callTime):
	case <-r.Context().Done():
		return
	}
	if tc.abortResponses.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "done")
}

func (tc *testCluster) closeConns() {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, c := range tc.conns {
		_ = c.Close()
	}
	tc.conns = nil
}

func (tc *testCluster) dial(ctx context.Context, address string) (net.Conn, error) {
	if tc.unreachable.Load() {
		return nil, net.ErrClosed
	}
	conn, err := link.DialTCP(ctx, address)
	if err == nil {
		tc.mu.Lock()
		tc.conns = append(tc.conns, conn)
		tc.mu.Unlock()
	}
	return conn, err
}

func newTestCluster(t *testing.T, gateCount int, route routing.Route) *testCluster {
	t.Helper()
	cluster := &testCluster{callTime: 5 * time.Millisecond}
	route.Host, route.Prefix, route.Name = "h", "/", "r"
	route.Targets = []routing.Target{{Service: "desk", Weight: 1}}
	builder := routing.NewBuilder(1, routing.Limits{MaxBodyBytes: 1 << 20})
	builder.AddRoute(&route)
	hello := func() *linkrpc.Hello { return &linkrpc.Hello{Incarnation: 5} }
	cluster.peers = &peering.Peers{LocalNode: "self", Clock: clock.System{}, Logger: logs.Discard(), Hello: hello, Dial: cluster.dial}
	snapshot := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{}}
	for i := range gateCount {
		entry := cluster.addGate(t, i, hello, builder.Build)
		snapshot.Nodes[entry.Node] = entry
		snapshot.Services["desk"] = append(snapshot.Services["desk"], entry)
	}
	cluster.peers.Update(snapshot)
	cluster.entrance = &Entrance{
		Clock: clock.System{}, Headers: Headers{RequestID: "Id", Deadline: "Left", Reserved: []string{"Left"}}, Service: "front",
		Peers: cluster.peers, RateLimiter: &quota.Limiter{Clock: clock.System{}}, View: builder.Build, ConfigFresh: func() bool { return true },
		Stopping: func() bool { return false }, Incarnation: 9,
	}
	cluster.entrance.Init()
	return cluster
}

func (tc *testCluster) addGate(t *testing.T, i int, hello func() *linkrpc.Hello, view func() *routing.View) directory.Entry {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(tc.serve))
	t.Cleanup(upstream.Close)
	g := &gate.Gate{Clock: clock.System{}, View: view, Instance: &instance.Client{
		Address: strings.TrimPrefix(upstream.URL, "http://"), Clock: clock.System{}, MaxBodyBytes: 1 << 20,
		Headers: instance.Headers{RequestID: "Id", NotExecuted: "Not-Run", InstanceID: "Instance"},
	}, Headers: gate.Headers{Deadline: "Left", ExpectedInstance: "Expected", Organisation: "Organisation", CallerService: "Caller"}}
	g.Init()
	id := fleet.InstanceName(fmt.Sprintf("i-%d", i))
	g.SetLocalInstance(&gate.LocalInstance{ID: id, Service: "desk", Slots: 10, Open: true})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &link.Server{Clock: clock.System{}, Hello: hello, Handle: func(ctx context.Context, r link.Request) proto.Message { return tc.handleRequest(ctx, g, r) }}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close(); server.Close() })
	tc.gates = append(tc.gates, g)
	return directory.Entry{Node: directory.NodeAddress(listener.Addr().String()), Instance: id, Service: "desk", Slots: 10, Open: true}
}

func (tc *testCluster) handleRequest(ctx context.Context, g *gate.Gate, r link.Request) proto.Message {
	run, query := &linkrpc.Run{}, &linkrpc.Ask{}
	if r.Kind == link.KindRun && proto.Unmarshal(r.Payload, run) == nil {
		return g.Run(r.Wanted, ctx, run)
	}
	if r.Kind == link.KindAsk && proto.Unmarshal(r.Payload, query) == nil {
		if outcome := g.QueryOutcome(ctx, query); outcome != nil {
			return outcome
		}
	}
	if r.Kind == link.KindTokenRequest && tc.lend != nil {
		return &linkrpc.TokenGrant{Granted: tc.lend()}
	}
	return nil
}

func (tc *testCluster) sendRequest(ctx context.Context) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h/x", nil)
	r.Header.Set("Id", "1")
	r.Header.Set("Left", "3000")
	w := httptest.NewRecorder()
	tc.entrance.ServeHTTP(w, r)
	return w
}

// TestCallContinuesAfterLostConnection closes the connections between nodes while a
// call runs. The entrance must query the outcome over a new connection and wait for
// the end of the call.
func TestCallContinuesAfterLostConnection(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint(idempotent), func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 1, routing.Route{Idempotent: idempotent, AllowAnonymous: true, MaxAttempts: 1})
			cluster.callTime = 1300 * time.Millisecond
			time.AfterFunc(200*time.Millisecond, cluster.closeConns)
			w := cluster.sendRequest(t.Context())
			is.Equal(w.Code, 200)
			is.Equal(cluster.executions.Load(), int64(1))
		})
	}
}

// TestExecutionIsUnknownWhenGateIsUnreachable makes a gate unreachable while it
// runs a call that is not idempotent. The call must neither run elsewhere nor be
// reported as not executed.
func TestExecutionIsUnknownWhenGateIsUnreachable(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 2, routing.Route{AllowAnonymous: true, MaxAttempts: 2, Timeout: time.Second})
	cluster.callTime = 10 * time.Second
	time.AfterFunc(100*time.Millisecond, func() { cluster.unreachable.Store(true); cluster.closeConns() })
	w := cluster.sendRequest(t.Context())
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.Equal(cluster.executions.Load(), int64(1))
}

// TestClosedGate checks that a call that a closed gate rejects runs once, at another
// instance.
func TestClosedGate(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 2, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	cluster.gates[0].Drain()
	for range 10 {
		is.Equal(cluster.sendRequest(t.Context()).Code, 200)
	}
	is.Equal(cluster.executions.Load(), int64(10))
}

func TestNoInstance(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true})
	cluster.gates[0].Drain()
	w := cluster.sendRequest(t.Context())
	is.Equal(w.Code, 503)
	is.True(w.Header().Get("Retry-After") != "")
}

func TestRouteTimeout(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, Timeout: 200 * time.Millisecond})
	cluster.callTime = 5 * time.Second
	started := time.Now()
	is.Equal(cluster.sendRequest(t.Context()).Code, 504)
	is.True(time.Since(started) < 600*time.Millisecond)
}

// TestRefusalAfterLostResponseIsUncertain loses the response of an idempotent request
// while no further instance accepts it. The refusal must not say that the request
// was not executed.
func TestRefusalAfterLostResponseIsUncertain(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 2, routing.Route{Idempotent: true, AllowAnonymous: true, MaxAttempts: 3})
	cluster.entrance.SetRetryLimits(RetryLimits{Ratio: 1, Slack: 10}, 1)
	for range 20 {
		cluster.entrance.retryBudget.addRequest("desk")
	}
	cluster.abortResponses.Store(true)
	for _, g := range cluster.gates {
		g.OnStart = func(*linkrpc.Run, time.Time) func() {
			for _, other := range cluster.gates {
				other.Drain()
			}
			return func() {}
		}
	}
	w := cluster.sendRequest(t.Context())
	is.Equal(cluster.executions.Load(), int64(1))
	is.Equal(w.Code, http.StatusBadGateway)
}

// TestDisconnectedCallerGetsNoEmptySuccess checks that a caller that closes its side
// of the connection gets no response, in particular no empty success.
func TestDisconnectedCallerGetsNoEmptySuccess(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true})
	cluster.callTime = 5 * time.Second
	server := httptest.NewServer(cluster.entrance)
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: 3000\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	response, _ := io.ReadAll(conn)
	is.Equal(string(response), "")
}

// TestInvalidDeadlinesAreRejected checks that an invalid deadline is rejected instead
// of being replaced by the default.
func TestInvalidDeadlinesAreRejected(t *testing.T) {
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, Idempotent: true})
	for _, c := range []struct {
		text   string
		status int
	}{{"soon", 400}, {"NaN", 400}, {"-5", 400}, {"+Inf", 400}, {"1e300", 200}, {"250.5", 200}, {"", 200}} {
		t.Run(c.text, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "http://h/x", nil)
			r.Header.Set("Id", "1")
			if c.text != "" {
				r.Header.Set("Left", c.text)
			}
			w := httptest.NewRecorder()
			cluster.entrance.ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
		})
	}
}

// A request that the node gave up before it was sent may not reach an instance: its
// caller is told that it has not run.
func TestGivenUpRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	is.Equal(cluster.sendRequest(t.Context()).Code, http.StatusOK)
	for range 500 {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(&StoppedError{})
		is.Equal(cluster.sendRequest(ctx).Code, http.StatusServiceUnavailable)
	}
	time.Sleep(20 * time.Millisecond)
	is.Equal(cluster.executions.Load(), int64(1))
}

// A caller sends a body that never ends, byte by byte or not at all. Guards against a
// request that holds its connection and memory beyond its time limit.
func TestUnendingBodyIsRefusedAtDeadline(t *testing.T) {
	for name, chunk := range map[string]string{"silent": "", "slow": "1\r\ny\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
			server := httptest.NewServer(cluster.entrance)
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: 300\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ny\r\n")
			is.NoErr(err)
			go func() {
				for err == nil {
					_, err = io.WriteString(conn, chunk)
					time.Sleep(10 * time.Millisecond)
				}
			}()
			is.NoErr(conn.SetReadDeadline(time.Now().Add(3 * time.Second)))
			started := time.Now()
			response, readErr := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(readErr)
			is.Equal(response.StatusCode, http.StatusRequestTimeout)
			is.True(time.Since(started) < time.Second)
			is.True(response.Close)
			is.Equal(cluster.executions.Load(), int64(0))
		})
	}
}

// A HEAD request is answered with the length that its instance names and without a body.
func TestHeadRequest(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 1, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	server := httptest.NewServer(cluster.entrance)
	t.Cleanup(server.Close)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodHead, server.URL+"/x", nil)
	is.NoErr(err)
	r.Host = "h"
	r.Header.Set("Id", "1")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(response.ContentLength, int64(len("done")))
}

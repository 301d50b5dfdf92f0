package entrance

import (
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

// bed is one entrance and the gates of one service behind links that can be cut.
type bed struct {
	entrance *Entrance
	peers    *peering.Peers
	gates    []*gate.Gate
	runs     atomic.Int64
	// work is how long a run takes.
	work time.Duration
	// abort makes instances run calls and cut their answers.
	abort atomic.Bool
	// refuse makes the entrance unable to reach any gate.
	refuse atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func (b *bed) serve(w http.ResponseWriter, r *http.Request) {
	b.runs.Add(1)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	if b.abort.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Id", r.Header.Get("Id"))
	_, _ = io.WriteString(w, "done")
}

func (b *bed) cut() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		_ = c.Close()
	}
	b.conns = nil
}

func (b *bed) dial(ctx context.Context, address string) (net.Conn, error) {
	if b.refuse.Load() {
		return nil, net.ErrClosed
	}
	c, err := link.DialTCP(ctx, address)
	if err == nil {
		b.mu.Lock()
		b.conns = append(b.conns, c)
		b.mu.Unlock()
	}
	return c, err
}

func newBed(t *testing.T, gates int, route routing.Route) *bed {
	t.Helper()
	b := &bed{work: 5 * time.Millisecond}
	route.Host, route.Prefix, route.Name = "h", "/", "r"
	route.Targets = []routing.Target{{Service: "desk", Weight: 1}}
	builder := routing.NewBuilder(1, routing.Limits{MaxBodyBytes: 1 << 20})
	builder.AddRoute(&route)
	hello := func() *linkrpc.Hello { return &linkrpc.Hello{Incarnation: 5} }
	b.peers = &peering.Peers{Self: "self", Clock: clock.System{}, Logger: logs.Discard(), Hello: hello, Dial: b.dial}
	snapshot := &directory.Snapshot{Nodes: map[directory.NodeAddress]directory.Entry{}, Services: map[fleet.ServiceName][]directory.Entry{}}
	for i := range gates {
		e := b.addGate(t, i, hello, builder.Build)
		snapshot.Nodes[e.Node] = e
		snapshot.Services["desk"] = append(snapshot.Services["desk"], e)
	}
	b.peers.Update(snapshot)
	b.entrance = &Entrance{
		Clock: clock.System{}, Headers: Headers{RequestID: "Id", Deadline: "Left", Own: []string{"Left"}}, Service: "front",
		Peers: b.peers, Shares: &quota.Limiter{Clock: clock.System{}}, View: builder.Build, Fresh: func() bool { return true },
		Stopping: func() bool { return false }, Incarnation: 9,
	}
	b.entrance.Init()
	return b
}

func (b *bed) addGate(t *testing.T, i int, hello func() *linkrpc.Hello, view func() *routing.View) directory.Entry {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(b.serve))
	t.Cleanup(upstream.Close)
	g := &gate.Gate{Clock: clock.System{}, View: view, Instance: &instance.Client{
		Address: strings.TrimPrefix(upstream.URL, "http://"), Clock: clock.System{}, MaxBodyBytes: 1 << 20,
		Headers: instance.Headers{RequestID: "Id", NotExecuted: "Not-Run", InstanceID: "Instance"},
	}, Headers: gate.Headers{Deadline: "Left", ExpectedInstance: "Expected", Organisation: "Organisation", CallerService: "Caller"}}
	g.Init()
	id := fleet.InstanceName(fmt.Sprintf("i-%d", i))
	g.SetLocalInstance(&gate.LocalInstance{ID: id, Service: "desk", Slots: 10, Open: true})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &link.Server{Clock: clock.System{}, Hello: hello, Handle: func(ctx context.Context, r link.Request) proto.Message { return handle(ctx, g, r) }}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close(); s.Close() })
	b.gates = append(b.gates, g)
	return directory.Entry{Node: directory.NodeAddress(l.Addr().String()), Instance: id, Service: "desk", Slots: 10, Open: true}
}

func handle(ctx context.Context, g *gate.Gate, r link.Request) proto.Message {
	run, ask := &linkrpc.Run{}, &linkrpc.Ask{}
	if r.Kind == link.KindRun && proto.Unmarshal(r.Payload, run) == nil {
		return g.Run(ctx, run)
	}
	if r.Kind == link.KindAsk && proto.Unmarshal(r.Payload, ask) == nil {
		if o := g.QueryOutcome(ctx, ask); o != nil {
			return o
		}
	}
	return nil
}

func (b *bed) send(ctx context.Context) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodGet, "http://h/x", nil)
	r.Header.Set("Id", "1")
	r.Header.Set("Left", "3000")
	w := httptest.NewRecorder()
	b.entrance.ServeHTTP(w, r)
	return w
}

// A connection between nodes that is lost does not end a request that goes on:
// the entrance asks for it over a new one and waits as long as the run takes.
func TestLostConnectionDoesNotEndALongRun(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint(idempotent), func(t *testing.T) {
			is := is.New(t)
			b := newBed(t, 1, routing.Route{Idempotent: idempotent, AllowAnonymous: true, MaxAttempts: 1})
			b.work = 1300 * time.Millisecond
			time.AfterFunc(200*time.Millisecond, b.cut)
			w := b.send(t.Context())
			is.Equal(w.Code, 200)
			is.Equal(b.runs.Load(), int64(1))
		})
	}
}

// A gate that cannot be reached again leaves the fate of an action open: it is
// not run elsewhere, and not called not run.
func TestUnreachableGateLeavesFateOpen(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 2, routing.Route{AllowAnonymous: true, MaxAttempts: 2, Timeout: time.Second})
	b.work = 10 * time.Second
	time.AfterFunc(100*time.Millisecond, func() { b.refuse.Store(true); b.cut() })
	w := b.send(t.Context())
	is.Equal(w.Code, http.StatusGatewayTimeout)
	is.Equal(b.runs.Load(), int64(1))
}

// A closed gate hands a call back, and it runs elsewhere, once.
func TestClosedGate(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 2, routing.Route{AllowAnonymous: true, MaxAttempts: 1})
	b.gates[0].Drain()
	for range 10 {
		is.Equal(b.send(t.Context()).Code, 200)
	}
	is.Equal(b.runs.Load(), int64(10))
}

func TestNoInstance(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 1, routing.Route{AllowAnonymous: true})
	b.gates[0].Drain()
	w := b.send(t.Context())
	is.Equal(w.Code, 503)
	is.True(w.Header().Get("Retry-After") != "")
}

func TestTimeoutOfARoute(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 1, routing.Route{AllowAnonymous: true, Timeout: 200 * time.Millisecond})
	b.work = 5 * time.Second
	began := time.Now()
	is.Equal(b.send(t.Context()).Code, 504)
	is.True(time.Since(began) < 600*time.Millisecond)
}

// A read whose first run may have gone through is not called not run because
// no further instance took it.
func TestRefusalAfterALostRunIsTrue(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 2, routing.Route{Idempotent: true, AllowAnonymous: true, MaxAttempts: 3})
	b.entrance.SetRepeats(Repeats{Ratio: 1, Slack: 10}, 1)
	for range 20 {
		b.entrance.budget.requested("desk")
	}
	b.abort.Store(true)
	for _, g := range b.gates {
		g.OnStart = func(*linkrpc.Run, time.Time) func() {
			for _, other := range b.gates {
				other.Drain()
			}
			return func() {}
		}
	}
	w := b.send(t.Context())
	is.Equal(b.runs.Load(), int64(1))
	is.Equal(w.Code, http.StatusBadGateway)
}

// A client that closes its side gets no answer that was never made: in
// particular no empty success.
func TestCallerThatLeavesGetsNoEmptySuccess(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 1, routing.Route{AllowAnonymous: true})
	b.work = 5 * time.Second
	server := httptest.NewServer(b.entrance)
	defer server.Close()
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nLeft: 3000\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(c.(*net.TCPConn).CloseWrite())
	answer, _ := io.ReadAll(c)
	is.Equal(string(answer), "")
}

// A deadline that is no time is told to the caller, not replaced by a guess.
func TestDeadlinesThatAreNoTime(t *testing.T) {
	b := newBed(t, 1, routing.Route{AllowAnonymous: true, Idempotent: true})
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
			b.entrance.ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
		})
	}
}

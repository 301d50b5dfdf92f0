// Package overlimit sends the real programs what callers outside the limits send, and checks
// that the processes stay alive, within their memory and descriptors, and still answer. Its
// tests measure memory, so they run alone: scripts/test.sh runs the package after all others.
package overlimit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/plantainramp/plantainramp/platform"
	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	testHost = "homes.example"
	apiKey   = "key-dakar-1"
	// memoryMB and maxDescriptors are what the settings give each node unless a test names
	// others, and the bounds that the tests check.
	memoryMB       = 64
	maxDescriptors = 1024
	// firstPort is above the ports of the soak tests and below those of the acceptance
	// scenarios.
	firstPort = 18500
	// slots is that of each server. It exceeds the crowds that ask for large responses, so
	// that no gate refuses them, and leaves descriptors for the crowds that send heads.
	slots = 240
	// largeBytes is the size of a large response.
	largeBytes = 1 << 20
	// mediumBytes is the size of a response that is just too small to be counted.
	mediumBytes = 31_000
	// hugeBytes is the size of the largest response that a node passes on, whatever its memory.
	hugeBytes = 32 << 20
	// slowTime is how long a request to /slow/ or /late/ takes at the server.
	slowTime = time.Second
	// sampleInterval is the time between two looks at a process.
	sampleInterval = 5 * time.Millisecond
	startTimeout   = 10 * time.Second
)

// settingsTemplate is the format of a node's settings file.
const settingsTemplate = `[node]
name = %[1]s
service = %[2]s
dataCentre = z0
firstStart = true
[listen]
callers = 127.0.0.1:%[3]d
heartbeats = 127.0.0.1:%[4]d
readiness = 127.0.0.1:%[5]d
peers = 127.0.0.1:%[6]d
[instance]
address = %[7]s
[store]
address = %[8]s
[bounds]
heartbeat = 300ms
grace = 4s
memoryMB = %[9]d
descriptors = %[10]d
`

// binaryDir is the folder of the programs.
var binaryDir string

// resources is what the settings give each node of a cluster, and the bounds that check applies.
type resources struct {
	memoryMB, descriptors int
}

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	if binaryDir, err = os.MkdirTemp("", "overlimit"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(binaryDir) }()
	if out, err := exec.Command("go", "build", "-o", binaryDir, "../cmd/plantainmesh", "../cmd/plantainnode", "../cmd/plantainramp", "../cmd/standin").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v: %s", err, out)
		return 1
	}
	return m.Run()
}

// node is a plantainmesh process with the server beside it.
type node struct {
	name    string
	port    int
	process *exec.Cmd
	logPath string
	exited  chan struct{}
	// server answers all requests but those to huge, large, medium, late and slow paths, which
	// handler answers.
	server *platformtest.Server

	resources resources
	// maxDescriptors is the largest number of open descriptors seen.
	maxDescriptors atomic.Int64
	stopSampling   chan struct{}
	sampling       sync.WaitGroup
}

// cluster is a store and the nodes that use it.
type cluster struct {
	t         testing.TB
	store     string
	resources resources
	nodes     []*node
}

// newCluster starts a store and a node for each service.
func newCluster(t testing.TB, services ...string) *cluster {
	t.Helper()
	return newClusterWith(t, resources{memoryMB: memoryMB, descriptors: maxDescriptors}, services...)
}

// newClusterWith is newCluster with other settings of the nodes.
func newClusterWith(t testing.TB, given resources, services ...string) *cluster {
	t.Helper()
	store := platformtest.NewStore()
	text, err := json.Marshal(platformtest.Manifest{
		Version: 1,
		Routes: []map[string]any{
			{"name": "large", "host": testHost, "path_prefix": "/large/", "kind": "non_idempotent", "timeout": "20s", "target_latency": "8s", "priority": 2, "service": services[len(services)-1]},
			{"name": "medium", "host": testHost, "path_prefix": "/medium/", "kind": "non_idempotent", "timeout": "20s", "target_latency": "8s", "priority": 2, "service": services[len(services)-1]},
			{"name": "huge", "host": testHost, "path_prefix": "/huge/", "kind": "idempotent", "timeout": "20s", "target_latency": "8s", "priority": 2, "service": services[len(services)-1]},
			{"name": "late", "host": testHost, "path_prefix": "/late/", "kind": "non_idempotent", "timeout": "20s", "target_latency": "8s", "priority": 2, "service": services[len(services)-1]},
			{"name": "slow", "host": testHost, "path_prefix": "/slow/", "kind": "idempotent", "timeout": "20s", "target_latency": "8s", "priority": 2, "service": services[len(services)-1]},
			{"name": "small", "host": testHost, "path_prefix": "/small/", "kind": "idempotent", "timeout": "5s", "target_latency": "2s", "priority": 0, "service": services[len(services)-1]},
		},
		Services: []map[string]any{{"name": "showcase"}, {"name": "desk"}},
		Limits:   map[string]any{"header_bytes": 16384, "body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
		Tenants:  []map[string]any{{"name": "dakar", "api_keys": []string{apiKey}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.TopicConfig, platform.ConfigKey, text)
	l := listen(t)
	go func() { _ = http.Serve(l, store.Handler()) }()
	c := &cluster{t: t, store: l.Addr().String(), resources: given}
	for _, s := range services {
		c.add(s)
	}
	for _, n := range c.nodes {
		if !platformtest.Await(startTimeout, func() bool { return n.send("/small/x") == http.StatusOK }) {
			t.Fatalf("node %s does not answer: %s", n.name, n.log())
		}
	}
	return c
}

// listen listens on a free local port until the test ends.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// add starts a server of a service and its node.
func (c *cluster) add(service string) {
	c.t.Helper()
	i := len(c.nodes)
	n := &node{name: fmt.Sprintf("%s-%d", service, i), port: firstPort + 10*i, resources: c.resources, exited: make(chan struct{}), stopSampling: make(chan struct{})}
	l := listen(c.t)
	n.server = &platformtest.Server{
		ID: "i-" + n.name, Service: service, Address: l.Addr().String(), Zone: "z0", Slots: slots,
		ControlAddress: n.address(1), OutboundAddress: n.address(0), HeartbeatInterval: 300 * time.Millisecond, StartUnixMs: time.Now().UnixMilli(),
	}
	go func() { _ = http.Serve(l, n.handler()) }()
	n.server.Start(c.t.Context())
	folder := c.t.TempDir()
	settings := filepath.Join(folder, "node.ini")
	text := fmt.Sprintf(settingsTemplate, n.name, service, n.port, n.port+1, n.port+2, n.port+3, n.server.Address, c.store, c.resources.memoryMB, c.resources.descriptors)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	n.logPath = filepath.Join(folder, "node.log")
	output, err := os.Create(n.logPath)
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	n.process = exec.Command(filepath.Join(binaryDir, "plantainmesh"), "--settings", settings)
	n.process.Stdout, n.process.Stderr = output, output
	if err := n.process.Start(); err != nil {
		c.t.Fatal(err)
	}
	go func() {
		_ = n.process.Wait()
		close(n.exited)
	}()
	n.sampling.Go(n.sample)
	c.t.Cleanup(func() {
		close(n.stopSampling)
		n.sampling.Wait()
		_ = n.process.Process.Kill()
		<-n.exited
	})
	c.nodes = append(c.nodes, n)
}

// handler answers requests to /large/ and /late/ with largeBytes, those to /huge/ and /medium/ with
// hugeBytes and mediumBytes, and those to /slow/ with nothing, late and slow ones after slowTime. It passes
// others on to the server.
func (n *node) handler() http.Handler {
	sizes := map[string]int{"huge": hugeBytes, "large": largeBytes, "late": largeBytes, "medium": mediumBytes, "slow": 0}
	padding := make([]byte, hugeBytes)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		kind, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		size, known := sizes[kind]
		if !known {
			n.server.ServeHTTP(w, r)
			return
		}
		if kind == "late" || kind == "slow" {
			select {
			case <-time.After(slowTime):
			case <-r.Context().Done():
			}
		}
		w.Header().Set("Plantainramp-Request-Id", r.Header.Get("Plantainramp-Request-Id"))
		w.Header().Set("Plantainramp-Instance-Id", n.server.ID)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(padding[:size])
	})
}

// address returns the address of one of the node's ports.
func (n *node) address(offset int) string { return fmt.Sprintf("127.0.0.1:%d", n.port+offset) }

// log returns the end of the node's log.
func (n *node) log() string {
	data, err := os.ReadFile(n.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-4000):])
}

// send sends one ordinary request on a new connection and returns the status, or 0.
func (n *node) send(path string) int { return n.sendWithin(path, 5*time.Second) }

// sendWithin is send, but waits for up to patience.
func (n *node) sendWithin(path string, patience time.Duration) int {
	conn, err := net.DialTimeout("tcp", n.address(0), time.Second)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, requestHead(path)+"Connection: close\r\n\r\n"); err != nil {
		return 0
	}
	response, err := io.ReadAll(conn)
	fields := strings.Fields(string(response))
	if err != nil || len(fields) < 2 {
		return 0
	}
	status, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return status
}

var lastID atomic.Int64

// requestHead returns the head of a request without its last, empty line.
func requestHead(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nPlantainramp-Request-Id: over-%d\r\nPlantainramp-Deadline-Remaining: 10000\r\n", path, testHost, apiKey, lastID.Add(1))
}

// sample notes the number of open descriptors until stopSampling is closed.
func (n *node) sample() {
	for {
		select {
		case <-n.stopSampling:
			return
		case <-time.After(sampleInterval):
		}
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.Process.Pid)); err == nil {
			n.maxDescriptors.Store(max(n.maxDescriptors.Load(), int64(len(entries))))
		}
	}
}

// memoryMB returns a value of the status of the process: VmRSS is its resident memory, and VmHWM
// the largest that it has had.
func (n *node) memoryMB(t testing.TB, name string) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		t.Fatalf("node %s: %v: %s", n.name, err, n.log())
	}
	_, rest, _ := strings.Cut(string(status), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatalf("node %s has ended: %s", n.name, n.log())
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		t.Fatal(err)
	}
	return float64(kilobytes) / 1024
}

// check fails the test unless all nodes live, have stayed within their memory and
// descriptors, and answer an ordinary request.
func (c *cluster) check() {
	c.t.Helper()
	for _, n := range c.nodes {
		select {
		case <-n.exited:
			c.t.Fatalf("node %s has ended: %s", n.name, n.log())
		default:
		}
		memory, descriptors := n.memoryMB(c.t, "VmHWM:"), n.maxDescriptors.Load()
		c.t.Logf("node %s: peak resident memory %.1f MB, most descriptors %d", n.name, memory, descriptors)
		if memory > float64(n.resources.memoryMB) {
			c.t.Errorf("node %s: resident memory reached %.1f MB, its settings give it %d", n.name, memory, n.resources.memoryMB)
		}
		if descriptors > int64(n.resources.descriptors) {
			c.t.Errorf("node %s: %d descriptors were open, its settings give it %d", n.name, descriptors, n.resources.descriptors)
		}
		if !platformtest.Await(startTimeout, func() bool { return n.send("/small/x") == http.StatusOK }) {
			c.t.Errorf("node %s does not answer an ordinary request: %s", n.name, n.log())
		}
	}
}

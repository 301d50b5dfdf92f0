// Package soak plays faults at random against nodes that run as processes of
// their own, and judges by what servers ran and callers were told.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/plantainramp/plantainramp/platform"
	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	host = "homes.example"
	key  = "key-dakar-1"
	// grace is what a node has to end after SIGTERM.
	grace = 4 * time.Second
	// firstPort lies between the ports of the stand-in site and those of the scenarios.
	firstPort, portsEach = 17000, 10
	// heartbeat is that of the servers.
	heartbeat = 300 * time.Millisecond
)

const settingsText = `[node]
name = %[1]s
service = %[2]s
dataCentre = %[3]s
firstStart = true
[listen]
callers = 127.0.0.1:%[4]d
heartbeats = 127.0.0.1:%[5]d
readiness = 127.0.0.1:%[6]d
peers = 127.0.0.1:%[7]d
[instance]
address = %[8]s
[store]
address = %[9]s
[bounds]
heartbeat = 300ms
revoke = 5s
grace = 4s
`

// machine is a server with the process of its node.
type machine struct {
	name     string
	server   *platformtest.Server
	port     int
	settings string
	log      *os.File

	mu      sync.Mutex
	process *exec.Cmd
	// wanted tells that the node is to run: an end of it is then a fault of its own.
	wanted bool
	ended  chan struct{}
}

// world is a store and some machines.
type world struct {
	t        *testing.T
	binary   string
	store    *platformtest.Store
	machines []*machine
	mu       sync.Mutex
	wrong    []string
}

func (w *world) fault(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, values...))
}

func listen(t *testing.T, handler http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = http.Serve(l, handler) }()
	return l.Addr().String()
}

// build makes the program once.
func build(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "plantainmesh")
	command := exec.Command("go", "build", "-o", path, "../cmd/plantainmesh")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return path
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, binary: build(t), store: platformtest.NewStore()}
	w.configure(1)
	address := listen(t, w.store.Handler())
	deeper := platformtest.NestedCall{Prefix: "/homes/", Host: host, Path: "/days/x", Times: 2}
	for i, service := range []string{"showcase", "showcase", "desk", "desk", "calendar", "calendar"} {
		w.add(i, service, address, deeper)
	}
	return w
}

func (w *world) configure(version int) {
	text, err := json.Marshal(platformtest.Manifest{
		Version: uint64(version),
		Routes: []map[string]any{
			{"name": "browse", "host": host, "path_prefix": "/homes/", "kind": "idempotent", "timeout": "2000ms", "target_latency": "500ms", "priority": 2, "service": "showcase", "max_attempts": 2},
			{"name": "commit", "host": host, "path_prefix": "/swaps/", "kind": "non_idempotent", "timeout": "2000ms", "target_latency": "500ms", "priority": 0, "service": "desk", "max_attempts": 1},
			{"name": "peek", "host": host, "path_prefix": "/days/", "kind": "idempotent", "timeout": "1000ms", "target_latency": "300ms", "priority": 1, "service": "calendar", "allow_anonymous": true},
		},
		Services: []map[string]any{{"name": "showcase"}, {"name": "desk"}, {"name": "calendar"}},
		Limits:   map[string]any{"header_bytes": 16384, "body_bytes": 1 << 20},
		Tenants:  []map[string]any{{"name": "dakar", "api_keys": []string{key}, "rate_per_s": 5000, "burst": 5000}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.store.Put(platform.TopicConfig, platform.ConfigKey, text)
}

func (w *world) add(i int, service, store string, deeper platformtest.NestedCall) {
	port := firstPort + i*portsEach
	local := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	m := &machine{name: fmt.Sprintf("%s-%d", service, i), port: port}
	m.server = &platformtest.Server{
		ID: "i-" + m.name, Service: service, Zone: fmt.Sprintf("z%d", i%2), Slots: 24, ServiceTime: 8 * time.Millisecond,
		ControlAddress: local(1), OutboundAddress: local(0), NestedCalls: []platformtest.NestedCall{deeper}, HeartbeatInterval: heartbeat, StartUnixMs: time.Now().UnixMilli(),
	}
	m.server.Address = listen(w.t, m.server)
	folder := w.t.TempDir()
	m.settings = filepath.Join(folder, "node.ini")
	text := fmt.Sprintf(settingsText, m.name, service, m.server.Zone, port, port+1, port+2, port+3, m.server.Address, store)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	var err error
	if m.log, err = os.Create(filepath.Join(folder, "node.log")); err != nil {
		w.t.Fatal(err)
	}
	m.server.Start(w.t.Context())
	w.machines = append(w.machines, m)
	w.start(m)
	w.t.Cleanup(func() {
		w.end(m, syscall.SIGKILL)
		_ = m.log.Close()
	})
}

// start starts the node and watches for an end that nobody asked for.
func (w *world) start(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	process := exec.Command(w.binary, "--settings", m.settings)
	process.Stdout, process.Stderr = m.log, m.log
	if err := process.Start(); err != nil {
		w.t.Fatal(err)
	}
	m.process, m.wanted, m.ended = process, true, make(chan struct{})
	ended := m.ended
	go func() {
		defer close(ended)
		err := process.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.wanted && m.process == process {
			w.fault("node %s ended by itself: %v", m.name, err)
		}
	}()
}

// end sends a signal that ends the node and waits; a node that takes longer than
// its grace is at fault.
func (w *world) end(m *machine, signal syscall.Signal) {
	m.mu.Lock()
	m.wanted = false
	process, ended := m.process, m.ended
	m.mu.Unlock()
	_ = process.Process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(grace):
		w.fault("node %s was there %s after signal %s", m.name, grace, signal)
		_ = process.Process.Kill()
		<-ended
	}
	if code := process.ProcessState.ExitCode(); signal == syscall.SIGTERM && code != 0 {
		w.fault("node %s ended with %d after SIGTERM", m.name, code)
	}
}

// pause has the node stand still.
func (m *machine) pause(d time.Duration) {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	_ = process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = process.Process.Signal(syscall.SIGCONT)
}

// ready tells whether the node takes callers.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readiness", m.port+2))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// send sends one request of a client; status 0 stands for no whole answer.
func (m *machine) send(ctx context.Context, method, path, id string) (status int, body string) {
	ctx, cancel := context.WithTimeout(ctx, 2500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://127.0.0.1:%d%s", m.port, path), nil)
	if err != nil {
		return 0, ""
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Plantainramp-Request-Id", id)
	r.Header.Set("Plantainramp-Deadline-Remaining", "2500")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	if err != nil && !errors.Is(err, io.EOF) {
		return 0, ""
	}
	return answer.StatusCode, string(text)
}

// runs adds up how often each request ran anywhere.
func (w *world) runs() map[string]int {
	sum := map[string]int{}
	for _, m := range w.machines {
		for id, n := range m.server.Executions() {
			sum[id] += n
		}
	}
	return sum
}

// tails returns the last lines of all nodes' logs.
func (w *world) tails() string {
	var text strings.Builder
	for _, m := range w.machines {
		all, err := os.ReadFile(m.log.Name())
		if err != nil {
			continue
		}
		fmt.Fprintf(&text, "== %s\n%s\n", m.name, all[max(0, len(all)-2000):])
	}
	return text.String()
}

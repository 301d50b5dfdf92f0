// Package soak injects random faults into nodes that run as separate processes,
// and compares the outcomes that callers saw with the requests that the servers
// executed.
package soak

import (
	"bufio"
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
	testHost = "homes.example"
	apiKey   = "key-dakar-1"
	// gracePeriod is the time within which a node must exit after a signal, as in
	// settingsTemplate.
	gracePeriod = 4 * time.Second
	// firstPort is above the ports of platformtest and below those of the
	// acceptance scenarios, so that the tests can run at the same time. Each
	// machine has portsPerMachine ports.
	firstPort, portsPerMachine = 17000, 10
	// heartbeatInterval is the interval between heartbeats of a server, as in
	// settingsTemplate.
	heartbeatInterval = 300 * time.Millisecond
	// lockTimeout is how long a soak test waits for another one to end.
	lockTimeout = 2 * time.Minute
	// crashLogBytes is how much of a node's log a violation shows if the node crashed.
	crashLogBytes = 10000
	// stopLogBytes is how much of it a violation shows if the node took too long to stop.
	stopLogBytes = 1000
	// requestTimeout is the time after which clients give a request up.
	requestTimeout = 2500 * time.Millisecond
)

// serviceTimes are the times that requests take at the servers of each service. Those
// of the archive take so long that a node's stop meets requests that are running.
var serviceTimes = map[string]time.Duration{
	"showcase": 8 * time.Millisecond, "desk": 8 * time.Millisecond, "calendar": 8 * time.Millisecond, "archive": 1200 * time.Millisecond,
}

// settingsTemplate is the format of a node's settings file.
const settingsTemplate = `[node]
name = %[1]s
service = %[2]s
dataCentre = %[3]s
firstStart = %[10]t
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

// machine is an application server, which runs in the test process, and its node,
// which runs as a separate process.
type machine struct {
	name   string
	server *platformtest.Server
	// port is the first of the node's ports. settings is the path of its file, and
	// writeSettings writes that before each start.
	port          int
	settings      string
	writeSettings func(firstStart bool) error
	log           *os.File

	// mu guards the fields below.
	mu      sync.Mutex
	process *exec.Cmd
	// logStart is the length of the log when the current process was started.
	logStart int
	// expectRunning is true while the node must run: an exit is then a violation.
	expectRunning bool
	// exited is closed when the current process has exited.
	exited chan struct{}
}

// shutdown is the end of a node's process after a signal. to is when it had exited.
type shutdown struct {
	machine  string
	signal   syscall.Signal
	from, to time.Time
}

// cluster is a store and the machines that use it.
type cluster struct {
	t *testing.T
	// binary is the path of the node's program.
	binary   string
	store    *platformtest.Store
	machines []*machine
	// version is the version of the newest configuration.
	version int
	// stutter makes the servers stutter and fail some requests.
	stutter stutter

	// mu guards the fields below. violations are the texts of the violations found so
	// far.
	mu         sync.Mutex
	violations []string
	shutdowns  []shutdown
}

// addViolation records that a guarantee was violated.
func (c *cluster) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// listen listens on a free local port until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// lockPorts waits until no other soak test on this host uses the ports, and keeps others
// waiting until the test ends.
func lockPorts(t *testing.T) {
	t.Helper()
	var l net.Listener
	listen := func() (err error) {
		l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort-1))
		return err
	}
	if !platformtest.Await(lockTimeout, func() bool { return listen() == nil }) {
		t.Fatalf("another soak test has used the ports for %s", lockTimeout)
	}
	t.Cleanup(func() { _ = l.Close() })
}

// buildNode builds the node's program and returns its path.
func buildNode(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "plantainmesh")
	command := exec.Command("go", "build", "-o", path, "../cmd/plantainmesh")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return path
}

// newCluster starts a store, and two machines for each of four services. Reads at
// the showcase make two downstream calls each to the calendar.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, binary: buildNode(t), store: platformtest.NewStore(), version: 1}
	lockPorts(t)
	c.putConfig()
	store := listen(t)
	go func() { _ = http.Serve(store, c.store.Handler()) }()
	downstream := platformtest.NestedCall{Prefix: "/homes/", Host: testHost, Path: "/days/x", Times: 2}
	for i, service := range []string{"showcase", "showcase", "desk", "desk", "calendar", "calendar", "archive", "archive"} {
		c.addMachine(i, service, store.Addr().String(), downstream)
	}
	return c
}

// putConfig writes the newest configuration into the store. One of its routes is that
// of its version.
func (c *cluster) putConfig() {
	text, err := json.Marshal(platformtest.Manifest{
		Version: uint64(c.version),
		Routes: []map[string]any{
			{"name": "browse", "host": testHost, "path_prefix": "/homes/", "kind": "idempotent", "timeout": "2000ms", "target_latency": "500ms", "priority": 2, "service": "showcase", "max_attempts": 2},
			{"name": "commit", "host": testHost, "path_prefix": "/swaps/", "kind": "non_idempotent", "timeout": "2000ms", "target_latency": "500ms", "priority": 0, "service": "desk", "max_attempts": 1},
			{"name": "peek", "host": testHost, "path_prefix": "/days/", "kind": "idempotent", "timeout": "1000ms", "target_latency": "300ms", "priority": 1, "service": "calendar", "allow_anonymous": true},
			{"name": "search", "host": testHost, "path_prefix": "/archive/", "kind": "idempotent", "timeout": "2000ms", "target_latency": "1500ms", "priority": 2, "service": "archive", "max_attempts": 2},
			{"name": "version", "host": testHost, "path_prefix": c.versionPath(), "kind": "idempotent", "timeout": "1000ms", "target_latency": "300ms", "priority": 1, "service": "calendar", "allow_anonymous": true},
		},
		Services: []map[string]any{{"name": "showcase"}, {"name": "desk", "health_path": platformtest.HealthPath}, {"name": "calendar"}, {"name": "archive", "health_path": platformtest.HealthPath}},
		Limits:   map[string]any{"header_bytes": 16384, "body_bytes": 1 << 20},
		Tenants:  []map[string]any{{"name": "dakar", "api_keys": []string{apiKey}, "rate_per_s": 5000, "burst": 5000}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.store.Put(platform.TopicConfig, platform.ConfigKey, text)
}

// versionPath is the path that only the newest configuration has a route for.
func (c *cluster) versionPath() string { return fmt.Sprintf("/version-%d/", c.version) }

// lackingConfig returns the names of the machines whose nodes do not answer a request to
// the route of the newest configuration.
func (c *cluster) lackingConfig(ctx context.Context) []string {
	var names []string
	for _, m := range c.machines {
		if m.send(ctx, "GET", c.versionPath(), fmt.Sprintf("version-%d", time.Now().UnixNano())).status != http.StatusOK {
			names = append(names, m.name)
		}
	}
	return names
}

// checkDirectory records a violation for each machine whose node has no entry among the
// newest records of the directory.
func (c *cluster) checkDirectory(newest map[string]string) {
	for _, m := range c.machines {
		if newest[m.peers()] == "" {
			c.addViolation("the directory lacks the entry of node %s", m.name)
		}
	}
}

// addMachine starts machine i with a server of this service and its node.
func (c *cluster) addMachine(i int, service, store string, downstream platformtest.NestedCall) {
	port := firstPort + i*portsPerMachine
	local := func(offset int) string { return fmt.Sprintf("127.0.0.1:%d", port+offset) }
	m := &machine{name: fmt.Sprintf("%s-%d", service, i), port: port}
	m.server = &platformtest.Server{
		ID: "i-" + m.name, Service: service, Zone: zoneName(i % zoneCount), Slots: 24, ServiceTime: serviceTimes[service],
		ControlAddress: local(1), OutboundAddress: local(0), NestedCalls: []platformtest.NestedCall{downstream}, HeartbeatInterval: heartbeatInterval, StartUnixMs: time.Now().UnixMilli(),
	}
	c.stutter.prepare(m.server, stutterSeed(faultSeed(c.t), i))
	l := listen(c.t)
	m.server.Address = l.Addr().String()
	go func() { _ = m.server.Serve(l) }()
	folder := nodeFolder(c.t, m.name)
	m.settings = filepath.Join(folder, "node.ini")
	m.writeSettings = func(firstStart bool) error {
		text := fmt.Sprintf(settingsTemplate, m.name, service, m.server.Zone, port, port+1, port+2, port+3, m.server.Address, store, firstStart)
		if evacuates(faultSeed(c.t)) {
			text += evacuationSettings
		}
		return os.WriteFile(m.settings, []byte(text), 0o600)
	}
	var err error
	if m.log, err = os.Create(filepath.Join(folder, "node.log")); err != nil {
		c.t.Fatal(err)
	}
	m.server.Start(c.t.Context())
	c.machines = append(c.machines, m)
	c.startNode(m)
	c.t.Cleanup(func() {
		c.stopNode(m, syscall.SIGKILL)
		_ = m.log.Close()
	})
}

// nodeFolder returns a new folder for a node's settings and log. It is kept after the test if
// the environment variable SOAK_LOGS names a folder to hold it.
func nodeFolder(t *testing.T, name string) string {
	t.Helper()
	logs := os.Getenv("SOAK_LOGS")
	if logs == "" {
		return t.TempDir()
	}
	folder := filepath.Join(logs, name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	return folder
}

// startNode starts the node of a machine and records a violation if it exits
// before it is stopped.
func (c *cluster) startNode(m *machine) {
	m.mu.Lock()
	defer m.mu.Unlock()
	process := exec.Command(c.binary, "--settings", m.settings)
	process.Stdout, process.Stderr = m.log, m.log
	m.logStart = len(m.logFrom(0))
	if m.writeSettings != nil {
		if err := m.writeSettings(m.process == nil); err != nil {
			c.t.Fatal(err)
		}
	}
	if err := process.Start(); err != nil {
		c.t.Fatal(err)
	}
	m.process, m.expectRunning, m.exited = process, true, make(chan struct{})
	exited := m.exited
	go func() {
		defer close(exited)
		err := process.Wait()
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.expectRunning && m.process == process {
			c.addViolation("node %s exited unexpectedly: %v: %s", m.name, err, m.logTail(crashLogBytes))
		}
	}()
}

// stopNode sends a terminating signal to the node and waits for its exit. A node
// that takes longer than gracePeriod, or exits with another code than 0 after
// SIGTERM, is recorded as a violation, but for one that had not started.
func (c *cluster) stopNode(m *machine, signal syscall.Signal) {
	m.mu.Lock()
	m.expectRunning = false
	process, exited, logStart := m.process, m.exited, m.logStart
	m.mu.Unlock()
	s := shutdown{machine: m.name, signal: signal, from: time.Now()}
	_ = process.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(gracePeriod):
		_ = process.Process.Kill()
		<-exited
		c.addViolation("node %s was still running %s after signal %s at %s, and ended after %s with %s: %q", m.name, gracePeriod, signal, s.from.UTC().Format(time.StampMilli), time.Since(s.from), process.ProcessState, m.logTail(stopLogBytes))
	}
	s.to = time.Now()
	c.mu.Lock()
	c.shutdowns = append(c.shutdowns, s)
	c.mu.Unlock()
	if signal != syscall.SIGTERM {
		return
	}
	output := m.logFrom(logStart)
	if endedBeforeStart(process.ProcessState.Sys().(syscall.WaitStatus), output) {
		c.t.Logf("node %s ended by SIGTERM before it had started", m.name)
	} else if process.ProcessState.ExitCode() != 0 {
		c.addViolation("node %s ended after SIGTERM with %s: %q", m.name, process.ProcessState, output[max(0, len(output)-crashLogBytes):])
	}
}

// endedBeforeStart reports whether SIGTERM ended a process that had written nothing. Until a
// program handles the signal, which the node does before it reads its settings, the operating
// system ends its process; once the node has started, its log says so.
func endedBeforeStart(status syscall.WaitStatus, output string) bool {
	return status.Signaled() && status.Signal() == syscall.SIGTERM && output == ""
}

// pause suspends the node's process for d.
func (m *machine) pause(d time.Duration) {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	_ = process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = process.Process.Signal(syscall.SIGCONT)
}

// ready reports whether the node is ready for callers.
func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/readiness", m.port+2))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// result is the result of sending a request. status is 0 if no complete response came.
type result struct {
	status int
	body   string
	// signature is that of the server, empty if the node made the response.
	signature string
	// cut reports whether the connection was closed without a complete response. It is
	// false if the client gave the request up or the connection was refused.
	cut bool
}

// answer returns what a server gave if the result is that of a server.
func (r result) answer() platformtest.Answer {
	return platformtest.Answer{Status: r.status, Body: r.body}
}

func resultOf(response *http.Response, err error) result {
	if err != nil {
		return result{cut: isCut(err)}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return result{cut: isCut(err)}
	}
	return result{status: response.StatusCode, body: string(data), signature: response.Header.Get(platformtest.SignatureHeader)}
}

func isCut(err error) bool {
	var netError net.Error
	timedOut := errors.As(err, &netError) && netError.Timeout()
	return !timedOut && !errors.Is(err, syscall.ECONNREFUSED)
}

func (m *machine) callers() string { return fmt.Sprintf("127.0.0.1:%d", m.port) }
func (m *machine) peers() string   { return fmt.Sprintf("127.0.0.1:%d", m.port+3) }

func (m *machine) newRequest(ctx context.Context, method, path, id string) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.callers()+path, nil)
	if err != nil {
		return nil, err
	}
	r.Host = testHost
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Plantainramp-Request-Id", id)
	r.Header.Set("Plantainramp-Deadline-Remaining", fmt.Sprint(requestTimeout.Milliseconds()))
	return r, nil
}

// send sends a request to the node on a connection of the pool of net/http, which may
// send it again.
func (m *machine) send(ctx context.Context, method, path, id string) result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := m.newRequest(ctx, method, path, id)
	if err != nil {
		return result{}
	}
	return resultOf(http.DefaultClient.Do(r))
}

// keptConnection is a connection to a node that is kept open between requests, and
// reopened once it is closed. conn is nil while it is not open.
type keptConnection struct {
	machine *machine
	conn    net.Conn
	reader  *bufio.Reader
}

// send sends a request once.
func (k *keptConnection) send(ctx context.Context, method, path, id string) result {
	r, err := k.machine.newRequest(ctx, method, path, id)
	if err != nil {
		return result{}
	}
	if k.conn == nil {
		if k.conn, err = net.DialTimeout("tcp", k.machine.callers(), requestTimeout); err != nil {
			k.conn = nil
			return resultOf(nil, err)
		}
		k.reader = bufio.NewReader(k.conn)
	}
	var response *http.Response
	_ = k.conn.SetDeadline(time.Now().Add(requestTimeout))
	if err = r.Write(k.conn); err == nil {
		response, err = http.ReadResponse(k.reader, r)
	}
	got := resultOf(response, err)
	if got.status == 0 || response.Close {
		k.close()
	}
	return got
}

func (k *keptConnection) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// records returns what all servers did.
func (c *cluster) records() platformtest.Records {
	r := platformtest.NewRecords()
	for _, m := range c.machines {
		r.Add(m.server.Records())
	}
	return r
}

// logFrom returns the node's log without its first n bytes.
func (m *machine) logFrom(n int) string {
	data, err := os.ReadFile(m.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(data[min(n, len(data)):])
}

// logTail returns the last n bytes of the node's log.
func (m *machine) logTail(n int) string {
	text := m.logFrom(0)
	return text[max(0, len(text)-n):]
}

// logTails returns the last 2000 bytes of each node's log.
func (c *cluster) logTails() string {
	var text strings.Builder
	for _, m := range c.machines {
		fmt.Fprintf(&text, "== %s\n%s\n", m.name, m.logTail(2000))
	}
	return text.String()
}

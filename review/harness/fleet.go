// Package harness starts nodes as separate processes for the cases of a review, beside
// stand-ins of the platform's store and of application servers.
package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/plantainramp/plantainramp/platform"
	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// firstPort and lastPort bound the ports of a fleet. They lie below those that the
	// system gives to outgoing connections.
	firstPort = 20000
	lastPort  = 31000
	// portStride keeps apart the ports of fleets that start one after the other.
	portStride = 211
	// pollInterval is the time between two looks at a condition.
	pollInterval = 20 * time.Millisecond
)

// settingsFormat is deploy/node.ini, filled in as for a machine of a small deployment.
const settingsFormat = `[node]
name = %s
service = %s
dataCentre = %s
firstStart = %t

[listen]
callers = %s
heartbeats = %s
readiness = %s
peers = %s
metrics = %s

[instance]
address = %s

[store]
address = %s

[bounds]
heartbeat = 1500ms
revoke = 5000ms
rateOverage = 0.1
rateSlack = 20
repeatRatio = 0.2
repeatSlack = 48
grace = 6s
descriptors = 4100
memoryMB = 284

[logs]
level = info

[regions]
medina = cap-vert
mbour = cap-vert
yoff = cap-vert
`

// Record is the record of a case, which holds what was sent, answered and run. It is safe for
// concurrent use.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Printf adds a line with the time since the start.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Fleet is a store with the nodes and servers of a deployment.
type Fleet struct {
	Record *Record
	// Program is the path of the node's program.
	Program      string
	Store        *platformtest.Store
	StoreAddress string
	Nodes        []*Node

	dir      string
	nextPort int
	servers  []*Server
}

// NewFleet returns a fleet whose store serves already.
func NewFleet(program string, record *Record) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: record, Program: program, Store: platformtest.NewStore(), dir: dir, nextPort: firstPort + os.Getpid()*portStride%(lastPort-firstPort)}
	f.StoreAddress = f.FreeAddress()
	l, err := net.Listen("tcp", f.StoreAddress)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, f.Store.Handler()) }()
	return f, nil
}

// FreeAddress returns a loopback address on which nothing listens.
func (f *Fleet) FreeAddress() string {
	for {
		f.nextPort++
		if f.nextPort > lastPort {
			f.nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", f.nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// Configure writes a manifest, as the operator does.
func (f *Fleet) Configure(manifest map[string]any) {
	body, _ := json.Marshal(manifest)
	f.Store.Put(platform.TopicConfig, platform.ConfigKey, body)
	f.Record.Printf("operator writes manifest %v", manifest["version"])
}

// AddNode adds a node with free addresses. It is not started.
func (f *Fleet) AddNode(name, service, zone string) *Node {
	n := &Node{
		Name: name, Service: service, Zone: zone, fleet: f,
		Callers: f.FreeAddress(), Heartbeats: f.FreeAddress(), Readiness: f.FreeAddress(), Peers: f.FreeAddress(),
		Metrics: f.FreeAddress(), Instance: f.FreeAddress(),
	}
	f.Nodes = append(f.Nodes, n)
	return n
}

// Stop ends all processes and servers and removes the temporary folder.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, s := range f.servers {
		s.Crash()
	}
	_ = os.RemoveAll(f.dir)
}

// Node is a process of the node's program.
type Node struct {
	Name, Service, Zone                                      string
	Callers, Heartbeats, Readiness, Peers, Metrics, Instance string

	fleet   *Fleet
	started bool
	cmd     *exec.Cmd
	exited  chan struct{}
}

// Start starts the process. Its log goes to a file that LogPath names.
func (n *Node) Start() error {
	settings := fmt.Sprintf(settingsFormat, n.Name, n.Service, n.Zone, !n.started, n.Callers, n.Heartbeats, n.Readiness, n.Peers, n.Metrics, n.Instance, n.fleet.StoreAddress)
	n.started = true
	path := filepath.Join(n.fleet.dir, n.Name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(n.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.fleet.Program)
	cmd.Env = append(os.Environ(), "PLANTAINRAMP_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	n.fleet.Record.Printf("node %s starts", n.Name)
	go func() {
		_ = cmd.Wait()
		_ = output.Close()
		n.fleet.Record.Printf("node %s ends: %s", n.Name, cmd.ProcessState)
		close(exited)
	}()
	return nil
}

// LogPath returns the path of the log of the node.
func (n *Node) LogPath() string { return filepath.Join(n.fleet.dir, n.Name+".log") }

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	if n.cmd != nil {
		n.fleet.Record.Printf("node %s gets signal %q", n.Name, s)
		_ = n.cmd.Process.Signal(s)
	}
}

// Kill kills the process, if it runs, and waits for its end.
func (n *Node) Kill() {
	if n.cmd == nil {
		return
	}
	select {
	case <-n.exited:
	default:
		n.Signal(syscall.SIGKILL)
		<-n.exited
	}
}

// AwaitExit waits until the process has ended. It returns false after the given time.
func (n *Node) AwaitExit(maxWait time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(maxWait):
		return false
	}
}

// IsReady reports whether the readiness check succeeds.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.Readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Await waits until a condition holds. It returns false after the given time.
func Await(maxWait time.Duration, condition func() bool) bool {
	for end := time.Now().Add(maxWait); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// Servers returns the servers of the fleet.
func (f *Fleet) Servers() []*Server { return f.servers }

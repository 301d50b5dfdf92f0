// Package testbed starts real nodes as separate processes on loopback, with stand-ins of
// the platform's store and of servers beside them, for the cases of the review.
package testbed

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

const (
	// nodeProgram is what the build of the deploy file produces.
	nodeProgram = "target/plantainmesh"
	// settingsVariable names the settings file of a node.
	settingsVariable = "PLANTAINRAMP_CONFIG"
	// awaitStep is the time between two looks at a condition.
	awaitStep = 20 * time.Millisecond
)

// TimeoutError reports a condition that did not come true in time.
type TimeoutError struct {
	Condition string
}

// Error implements error.
func (e *TimeoutError) Error() string { return "timed out waiting for: " + e.Condition }

// Bed holds the processes and stand-ins of one case. Create it with New.
type Bed struct {
	// Trouble reports whether the case plays its disruption.
	Trouble bool

	began     time.Time
	mu        sync.Mutex
	record    *os.File
	folder    string
	nodes     []*Node
	listeners []net.Listener
}

// New returns a bed that writes its record to a file.
func New(recordPath string) (*Bed, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	b := &Bed{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record, folder: folder}
	go b.closeOnSignal()
	return b, nil
}

// closeOnSignal ends the processes if the case itself is ended.
func (b *Bed) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	b.Record("the case was ended by a signal")
	b.Close()
	os.Exit(ExitNotRun)
}

// Record writes a line with the time since the start of the case.
func (b *Bed) Record(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, values...))
}

// Close ends all processes and stand-ins.
func (b *Bed) Close() {
	for _, n := range b.nodes {
		n.Kill()
	}
	for _, l := range b.listeners {
		_ = l.Close()
	}
	_ = os.RemoveAll(b.folder)
	_ = b.record.Close()
}

// Serve serves a handler at a free loopback address and returns the address.
func (b *Bed) Serve(handler http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	b.listeners = append(b.listeners, l)
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return l.Addr().String(), nil
}

// FreeAddress returns a loopback address that nothing listens on.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Await waits until a condition is true.
func Await(condition string, timeout time.Duration, isTrue func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(awaitStep) {
		if isTrue() {
			return nil
		}
	}
	return &TimeoutError{Condition: condition}
}

// Node is a process of the system beside one server.
type Node struct {
	Name, Service, Zone string
	// Callers, Heartbeats, Readiness, Peers, Metrics, Instance and Store are addresses.
	Callers, Heartbeats, Readiness, Peers, Metrics, Instance, Store string
	FirstStart                                                      bool

	bed     *Bed
	process *exec.Cmd
}

// NewNode returns a node with addresses of its own, which is not started.
func (b *Bed) NewNode(name, service, zone, store string) (*Node, error) {
	n := &Node{Name: name, Service: service, Zone: zone, Store: store, FirstStart: true, bed: b}
	for _, address := range []*string{&n.Callers, &n.Heartbeats, &n.Readiness, &n.Peers, &n.Metrics, &n.Instance} {
		free, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	b.nodes = append(b.nodes, n)
	return n, nil
}

// settings returns the settings file, with the keys and bounds of deploy/node.ini on a
// machine of the small deployment.
func (n *Node) settings() string {
	return fmt.Sprintf(`[node]
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
`, n.Name, n.Service, n.Zone, n.FirstStart, n.Callers, n.Heartbeats, n.Readiness, n.Peers, n.Metrics, n.Instance, n.Store)
}

// Start starts the process and waits until it listens for heartbeats.
func (n *Node) Start() error {
	path := filepath.Join(n.bed.folder, n.Name+".ini")
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.bed.folder, n.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	n.process = exec.Command(nodeProgram)
	n.process.Env = append(os.Environ(), settingsVariable+"="+path)
	n.process.Stdout, n.process.Stderr = output, output
	if err := n.process.Start(); err != nil {
		return err
	}
	n.bed.Record("node %s starts (service %s, callers at %s)", n.Name, n.Service, n.Callers)
	return Await(n.Name+" listens", 10*time.Second, func() bool {
		conn, err := net.Dial("tcp", n.Heartbeats)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
}

// Ready reports whether the node answers the readiness check with 200.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.Readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) error {
	n.bed.Record("node %s gets signal %q", n.Name, s)
	return n.process.Process.Signal(s)
}

// Kill ends the process with SIGKILL, if it runs.
func (n *Node) Kill() {
	if n.process == nil {
		return
	}
	_ = n.process.Process.Kill()
	_ = n.process.Wait()
	n.process = nil
}

// Log returns what the node has written.
func (n *Node) Log() string {
	text, err := os.ReadFile(filepath.Join(n.bed.folder, n.Name+".log"))
	if errors.Is(err, os.ErrNotExist) {
		return ""
	}
	return string(text)
}

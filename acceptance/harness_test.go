package acceptance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/samber/lo"

	"github.com/plantainramp/plantainramp/internal/standin/upstream"
	"github.com/plantainramp/plantainramp/pkg/adminclient"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
)

const (
	// firstPort is the first port that is given out. All lie below the range that the
	// operating system uses for outgoing connections.
	firstPort = 20000
	// blockPorts is the number of ports that a test process takes at a time, and portBlocks
	// the number of such blocks. The tests of pkg/node use the ports above them.
	blockPorts, portBlocks = 250, 32
	// loggedBytes is how much of the output of a process is logged.
	loggedBytes = 1000
)

// ports gives out ports of blocks that no other test process has.
var ports struct {
	sync.Mutex
	// next is the next port of the block, and left the number of its ports that were not
	// given out.
	next, left int
	// claims holds a listener on the first port of each block that this process has, which
	// keeps other test processes from taking it.
	claims []net.Listener
}

// nextPort returns the next port.
func nextPort() int {
	ports.Lock()
	defer ports.Unlock()
	if ports.left == 0 {
		claimBlock()
	}
	port := ports.next
	ports.next++
	ports.left--
	return port
}

// claimBlock takes the next block that no process has. The caller holds ports.
func claimBlock() {
	for i := range portBlocks {
		first := firstPort + i*blockPorts
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			ports.claims = append(ports.claims, l)
			ports.next, ports.left = first+1, blockPorts-1
			return
		}
	}
	panic("no ports are left for test processes")
}

// listenFree returns a listener on a local address with a port that is free.
func listenFree() net.Listener {
	for {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort())); err == nil {
			return l
		}
	}
}

// freeAddress returns a local address with a port that is free. A process that is being
// started may hold it for some milliseconds more, so that this one cannot listen on it at
// once; listenFree is for that.
func freeAddress() string {
	l := listenFree()
	_ = l.Close()
	return l.Addr().String()
}

// process is a started program.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

// instance is a node with its upstream. Its addresses are named as in the node's
// settings.
type instance struct {
	name                                             string
	callers, callsOut, peers, admin, upstreamAddress string
	peersAnnounced                                   string
	relay, logRelay                                  *relay
	nodeProcess, upstreamProcess                     *process
	upstreamArgs                                     []string
}

// harness holds the processes that one script has started and the results of its
// requests.
type harness struct {
	env        *testscript.Env
	script     *testscript.TestScript
	dir        string
	logAddress string
	logProcess *process
	instances  []*instance
	// keys holds the callers' keys by name.
	keys           map[string]string
	backgroundLoad sync.WaitGroup
	// mu guards results and loadSummaries while load runs in the background.
	mu            sync.Mutex
	results       []result
	loadSummaries []string
	// savedCounts holds the counts of remember by name.
	savedCounts map[string]int
}

// newHarness returns the harness of a script and writes the secret of the peers.
func newHarness(env *testscript.Env) *harness {
	h := &harness{env: env, dir: env.WorkDir, keys: map[string]string{}, savedCounts: map[string]int{}}
	env.Setenv("PATH", binaryDir+string(os.PathListSeparator)+os.Getenv("PATH"))
	_ = os.WriteFile(filepath.Join(h.dir, "peer.secret"), []byte("the secret of the test fleet"), 0o600)
	return h
}

// close waits for the load in the background and kills all processes.
func (h *harness) close() {
	h.backgroundLoad.Wait()
	for _, in := range h.instances {
		in.nodeProcess.kill()
		in.upstreamProcess.kill()
		in.relay.close()
		in.logRelay.close()
	}
	h.logProcess.kill()
}

// kill kills the process, unless it was never started, and waits for its exit.
func (p *process) kill() {
	if p != nil {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// startProcess starts a program; its output goes to NAME.out.
func (h *harness) startProcess(name, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(h.dir, name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(binaryDir, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// instanceNamed returns an instance by name. If there is none, the script fails.
func (h *harness) instanceNamed(name string) *instance {
	for _, in := range h.instances {
		if in.name == name {
			return in
		}
	}
	h.script.Fatalf("no node named %s", name)
	return nil
}

// startLog implements log, which starts the stand-in for the platform's log.
func (h *harness) startLog([]string) (err error) {
	h.logAddress = freeAddress()
	h.script.Setenv("PLANTAINRAMP_LOG", "http://"+h.logAddress)
	h.logProcess, err = h.startProcess("log", "standin", "--listen", h.logAddress, "log")
	if err != nil {
		return err
	}
	return await(5*time.Second, func() error { return get("http://"+h.logAddress+"/stats", nil) })
}

// startInstance implements the command
//
//	node NAME SERVICE DATACENTRE [KEY=VALUE...] [-- UPSTREAM FLAG...]
//
// which starts a node with its upstream. Settings by key: off, retention, rateLease,
// drain, seeds (a node), and relay (any value puts relays between the node, its
// peers and the log).
func (h *harness) startInstance(args []string) error {
	in := &instance{
		name: args[0], callers: freeAddress(), callsOut: freeAddress(), peers: freeAddress(),
		admin: freeAddress(), upstreamAddress: freeAddress(),
	}
	settingArgs, upstreamArgs := args[3:], []string(nil)
	if i := slices.Index(settingArgs, "--"); i >= 0 {
		settingArgs, upstreamArgs = settingArgs[:i], settingArgs[i+1:]
	}
	in.upstreamArgs = upstreamArgs
	settings := map[string]string{"off": "", "retention": "1h", "rateLease": "1h", "drain": "200ms", "seeds": ""}
	for _, pair := range settingArgs {
		key, value, _ := strings.Cut(pair, "=")
		settings[key] = value
	}
	if settings["seeds"] != "" {
		settings["seeds"] = h.instanceNamed(settings["seeds"]).peersAnnounced
	}
	nodeLogAddress := h.logAddress
	if settings["relay"] == "" {
		in.peersAnnounced = in.peers
	} else {
		in.relay = newRelay(in.peers)
		in.logRelay = newRelay(h.logAddress)
		in.peersAnnounced, nodeLogAddress = in.relay.address(), in.logRelay.address()
	}
	text := fmt.Sprintf("[node]\ninstance=%s\nservice=%s\ndataCentre=%s\nregion=r\n[listen]\ncallers=%s\ncallsOut=%s\npeers=%s\npeersAnnounced=%s\nadmin=%s\n[upstream]\naddress=%s\n[log]\nurl=http://%s\nretention=%s\n[peers]\nsecretFile=%s\nseeds=%s\n[policy]\noff=%s\nrateLease=%s\ndrain=%s\n",
		in.name, args[1], args[2], in.callers, in.callsOut, in.peers, in.peersAnnounced, in.admin, in.upstreamAddress, nodeLogAddress,
		settings["retention"], filepath.Join(h.dir, "peer.secret"), settings["seeds"], settings["off"], settings["rateLease"], settings["drain"])
	if err := os.WriteFile(filepath.Join(h.dir, in.name+".ini"), []byte(text), 0o600); err != nil {
		return err
	}
	h.instances = append(h.instances, in)
	if len(h.instances) == 1 {
		h.script.Setenv("PLANTAINRAMP_NODE", "http://"+in.admin)
	}
	return h.launchInstance(in)
}

// launchInstance starts the processes of an instance.
func (h *harness) launchInstance(in *instance) (err error) {
	if in.nodeProcess, err = h.startProcess(in.name, "plantainnode", "--settings", filepath.Join(h.dir, in.name+".ini")); err != nil {
		return err
	}
	args := append([]string{"--listen", in.upstreamAddress, "upstream", "--keep-headers", "--name", in.name, "--node", "http://" + in.callsOut}, in.upstreamArgs...)
	in.upstreamProcess, err = h.startProcess(in.name+".upstream", "standin", args...)
	return err
}

// restartInstance implements restart NAME [TERM], which kills a node with its upstream
// and starts both again. With TERM the node is stopped by SIGTERM and must exit with
// code 0.
func (h *harness) restartInstance(args []string) error {
	in := h.instanceNamed(args[0])
	if len(args) > 1 && args[1] == "TERM" {
		if err := h.sendSignal([]string{args[0], "TERM"}); err != nil {
			return err
		}
		if err := h.waitForExit([]string{args[0], "0"}); err != nil {
			return err
		}
	}
	in.nodeProcess.kill()
	in.upstreamProcess.kill()
	return h.launchInstance(in)
}

// waitForMembers implements ready N, which waits until every running node lists N
// members, including all running nodes.
func (h *harness) waitForMembers(args []string) error {
	want, _ := strconv.Atoi(args[0])
	err := await(20*time.Second, func() error {
		running := map[fleet.MemberID]bool{}
		for _, in := range h.runningInstances() {
			status, err := (&adminclient.Client{URL: "http://" + in.admin}).Status(h.ctx())
			if err != nil {
				return err
			}
			running[status.Member] = true
		}
		for _, in := range h.runningInstances() {
			members, err := (&adminclient.Client{URL: "http://" + in.admin}).Members(h.ctx())
			if err != nil || len(members) != want {
				return fmt.Errorf("%s lists %d members, want %d (%v)", in.name, len(members), want, err)
			}
			listed := lo.CountBy(members, func(m state.Member) bool { return running[m.ID] })
			if listed != len(running) {
				return fmt.Errorf("%s lists %d of %d running nodes", in.name, listed, len(running))
			}
		}
		return nil
	})
	if err != nil {
		h.logOutputs()
	}
	return err
}

// logOutputs writes the ends of the outputs of all processes to the log of the script.
func (h *harness) logOutputs() {
	files, _ := filepath.Glob(filepath.Join(h.dir, "*.out"))
	for _, file := range files {
		output, err := os.ReadFile(file)
		h.script.Logf("%s, %d bytes, %v: %s", filepath.Base(file), len(output), err, output[max(0, len(output)-loggedBytes):])
	}
}

// runningInstances returns the instances whose node has not exited.
func (h *harness) runningInstances() []*instance {
	var list []*instance
	for _, in := range h.instances {
		select {
		case <-in.nodeProcess.exited:
		default:
			list = append(list, in)
		}
	}
	return list
}

// createKey implements key NAME, which creates a caller's key and sets the variables
// NAME_digest and NAME_key, with each - in NAME replaced by _.
func (h *harness) createKey(args []string) error {
	key, digest := ticket.NewKey(keyID(args[0]))
	h.keys[args[0]] = key
	name := strings.ReplaceAll(args[0], "-", "_")
	h.script.Setenv(name+"_digest", string(digest))
	h.script.Setenv(name+"_key", key)
	return nil
}

var signals = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// sendSignal implements signal NAME SIGNAL, where NAME is a node, NODE.upstream or log.
// After KILL it waits for the exit.
func (h *harness) sendSignal(args []string) error {
	p := h.logProcess
	if name, isUpstream := strings.CutSuffix(args[0], ".upstream"); isUpstream {
		p = h.instanceNamed(name).upstreamProcess
	} else if args[0] != "log" {
		p = h.instanceNamed(args[0]).nodeProcess
	}
	if err := p.cmd.Process.Signal(signals[args[1]]); err != nil {
		return err
	}
	if args[1] == "KILL" {
		<-p.exited
	}
	return nil
}

// waitForExit implements exits NAME CODE, which waits until a node has exited and checks
// its exit code.
func (h *harness) waitForExit(args []string) error {
	p := h.instanceNamed(args[0]).nodeProcess
	select {
	case <-p.exited:
	case <-time.After(15 * time.Second):
		return fmt.Errorf("%s has not exited after 15 s", args[0])
	}
	if code := strconv.Itoa(p.cmd.ProcessState.ExitCode()); code != args[1] {
		return fmt.Errorf("%s exited with code %s, want %s", args[0], code, args[1])
	}
	return nil
}

// setLogFaults implements faults JSON, which sets the faults of the log.
func (h *harness) setLogFaults(args []string) error {
	return put("http://"+h.logAddress+"/faults", args[0])
}

// setBehaviour implements behave NAME JSON, which changes the behaviour of an upstream.
func (h *harness) setBehaviour(args []string) error {
	return put("http://"+h.instanceNamed(args[0]).upstreamAddress+"/-/behaviour", args[1])
}

// put sends body in a PUT request and returns an error for a failed status.
func put(url, body string) error {
	req, err := http.NewRequest(http.MethodPut, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("PUT %s: %s", url, resp.Status)
	}
	return nil
}

// get sends a GET request and decodes the JSON response into value, unless nil.
func get(url string, value any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if value == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(value)
}

// receivedRequests returns the requests that the upstreams of the named nodes
// received, or those of all upstreams if no name is given.
func (h *harness) receivedRequests(names ...string) ([]upstream.ReceivedRequest, error) {
	var all []upstream.ReceivedRequest
	for _, in := range h.instances {
		if len(names) > 0 && !slices.Contains(names, in.name) {
			continue
		}
		var list []upstream.ReceivedRequest
		if err := get("http://"+in.upstreamAddress+"/-/received", &list); err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

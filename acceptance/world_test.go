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
	"sync/atomic"
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

// nextPort is below the range that the system uses for outgoing connections.
var nextPort atomic.Int32

func init() { nextPort.Store(int32(20000 + os.Getpid()%400*20)) }

func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// instance is a node with its upstream.
type instance struct {
	name                                      string
	callers, callsOut, peers, admin, upstream string
	announced                                 string
	relay, logRelay                           *relay
	node, beside                              *process
	upstreamArgs                              []string
}

// world is what one script has started and seen.
type world struct {
	env       *testscript.Env
	script    *testscript.TestScript
	dir       string
	log       string
	logged    *process
	instances []*instance
	keys      map[string]string
	storms    sync.WaitGroup
	mu        sync.Mutex
	// results and said are guarded by mu while storms run.
	results []result
	said    []string
	notes   map[string]int
}

func newWorld(env *testscript.Env) *world {
	w := &world{env: env, dir: env.WorkDir, keys: map[string]string{}, notes: map[string]int{}}
	env.Setenv("PATH", programs+string(os.PathListSeparator)+os.Getenv("PATH"))
	_ = os.WriteFile(filepath.Join(w.dir, "peer.secret"), []byte("the secret of the test fleet"), 0o600)
	return w
}

func (w *world) close() {
	w.storms.Wait()
	for _, in := range w.instances {
		in.node.kill()
		in.beside.kill()
		in.relay.close()
		in.logRelay.close()
	}
	w.logged.kill()
}

func (p *process) kill() {
	if p != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

func (w *world) start(name, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(w.dir, name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join(programs, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

func (w *world) at(name string) *instance {
	for _, in := range w.instances {
		if in.name == name {
			return in
		}
	}
	w.script.Fatalf("no node named %s", name)
	return nil
}

// startLog: log
func (w *world) startLog([]string) (err error) {
	w.log = freeAddress()
	w.script.Setenv("PLANTAINRAMP_LOG", "http://"+w.log)
	w.logged, err = w.start("log", "standin", "--listen", w.log, "log")
	if err != nil {
		return err
	}
	return await(5*time.Second, func() error { return get("http://"+w.log+"/stats", nil) })
}

// startNode: node NAME SERVICE DATACENTRE [key=value settings...] [-- upstream flags...]
// Settings: off, retention, rateLease, drain, seeds (a node), relay (any value
// puts relays between the node, its peers and the log).
func (w *world) startNode(args []string) error {
	in := &instance{
		name: args[0], callers: freeAddress(), callsOut: freeAddress(), peers: freeAddress(),
		admin: freeAddress(), upstream: freeAddress(), announced: freeAddress(),
	}
	own, flags := args[3:], []string(nil)
	if at := slices.Index(own, "--"); at >= 0 {
		own, flags = own[:at], own[at+1:]
	}
	in.upstreamArgs = flags
	settings := map[string]string{"off": "", "retention": "1h", "rateLease": "1h", "drain": "200ms", "seeds": ""}
	for _, pair := range own {
		key, value, _ := strings.Cut(pair, "=")
		settings[key] = value
	}
	if settings["seeds"] != "" {
		settings["seeds"] = w.at(settings["seeds"]).announced
	}
	logVia := w.log
	if settings["relay"] == "" {
		in.announced = in.peers
	} else {
		logVia = freeAddress()
		in.relay = newRelay(in.announced, in.peers)
		in.logRelay = newRelay(logVia, w.log)
	}
	text := fmt.Sprintf("[node]\ninstance=%s\nservice=%s\ndataCentre=%s\nregion=r\n[listen]\ncallers=%s\ncallsOut=%s\npeers=%s\npeersAnnounced=%s\nadmin=%s\n[upstream]\naddress=%s\n[log]\nurl=http://%s\nretention=%s\n[peers]\nsecretFile=%s\nseeds=%s\n[policy]\noff=%s\nrateLease=%s\ndrain=%s\n",
		in.name, args[1], args[2], in.callers, in.callsOut, in.peers, in.announced, in.admin, in.upstream, logVia,
		settings["retention"], filepath.Join(w.dir, "peer.secret"), settings["seeds"], settings["off"], settings["rateLease"], settings["drain"])
	if err := os.WriteFile(filepath.Join(w.dir, in.name+".ini"), []byte(text), 0o600); err != nil {
		return err
	}
	w.instances = append(w.instances, in)
	if len(w.instances) == 1 {
		w.script.Setenv("PLANTAINRAMP_NODE", "http://"+in.admin)
	}
	return w.launch(in)
}

func (w *world) launch(in *instance) (err error) {
	if in.node, err = w.start(in.name, "plantainnode", "--settings", filepath.Join(w.dir, in.name+".ini")); err != nil {
		return err
	}
	flags := append([]string{"--listen", in.upstream, "upstream", "--keep-headers", "--name", in.name, "--node", "http://" + in.callsOut}, in.upstreamArgs...)
	in.beside, err = w.start(in.name+".upstream", "standin", flags...)
	return err
}

// restart: restart NAME [SIGNAL] ends a node with its upstream and starts both
// again; with TERM the node must exit 0.
func (w *world) restart(args []string) error {
	in := w.at(args[0])
	if len(args) > 1 && args[1] == "TERM" {
		if err := w.signal([]string{args[0], "TERM"}); err != nil {
			return err
		}
		if err := w.exits([]string{args[0], "0"}); err != nil {
			return err
		}
	}
	in.node.kill()
	in.beside.kill()
	return w.launch(in)
}

// ready: ready N waits until every running node lists N members, all running
// nodes among them.
func (w *world) ready(args []string) error {
	want, _ := strconv.Atoi(args[0])
	return await(20*time.Second, func() error {
		running := map[fleet.MemberID]bool{}
		for _, in := range w.running() {
			status, err := (&adminclient.Client{URL: "http://" + in.admin}).Status(w.ctx())
			if err != nil {
				return err
			}
			running[status.Member] = true
		}
		for _, in := range w.running() {
			members, err := (&adminclient.Client{URL: "http://" + in.admin}).Members(w.ctx())
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
}

func (w *world) running() []*instance {
	var list []*instance
	for _, in := range w.instances {
		select {
		case <-in.node.done:
		default:
			list = append(list, in)
		}
	}
	return list
}

// makeKey: key NAME makes a key and sets NAME_digest and NAME_key, with - as _.
func (w *world) makeKey(args []string) error {
	key, digest := ticket.NewKey(ticketKeyID(args[0]))
	w.keys[args[0]] = key
	name := strings.ReplaceAll(args[0], "-", "_")
	w.script.Setenv(name+"_digest", string(digest))
	w.script.Setenv(name+"_key", key)
	return nil
}

var signals = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// signal: signal NAME SIGNAL, where NAME is a node, NAME.upstream or log.
func (w *world) signal(args []string) error {
	p := w.logged
	if name, isUpstream := strings.CutSuffix(args[0], ".upstream"); isUpstream {
		p = w.at(name).beside
	} else if args[0] != "log" {
		p = w.at(args[0]).node
	}
	if err := p.cmd.Process.Signal(signals[args[1]]); err != nil {
		return err
	}
	if args[1] == "KILL" {
		<-p.done
	}
	return nil
}

// exits: exits NAME CODE waits for the end of a node.
func (w *world) exits(args []string) error {
	p := w.at(args[0]).node
	select {
	case <-p.done:
	case <-time.After(15 * time.Second):
		return fmt.Errorf("%s has not exited after 15 s", args[0])
	}
	if code := strconv.Itoa(p.cmd.ProcessState.ExitCode()); code != args[1] {
		return fmt.Errorf("%s exited with %s, want %s", args[0], code, args[1])
	}
	return nil
}

// faults: faults JSON sets the faults of the log.
func (w *world) faults(args []string) error { return put("http://"+w.log+"/faults", args[0]) }

// behave: behave NAME JSON changes the behaviour of an upstream.
func (w *world) behave(args []string) error {
	return put("http://"+w.at(args[0]).upstream+"/-/behaviour", args[1])
}

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

// received returns what the upstreams of the named nodes received, or of all.
func (w *world) received(names ...string) ([]upstream.ReceivedRequest, error) {
	var all []upstream.ReceivedRequest
	for _, in := range w.instances {
		if len(names) > 0 && !slices.Contains(names, in.name) {
			continue
		}
		var list []upstream.ReceivedRequest
		if err := get("http://"+in.upstream+"/-/received", &list); err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}

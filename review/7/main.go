// Command 7 shows that a server which has left is used again after a short outage of the store and
// the end of all nodes (with the argument "all"), or of the node beside it (case 8).
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/platform/platformtest"
	"github.com/plantainramp/plantainramp/review/harness"
)

const (
	// drain is the bound of the rule.
	drain = 2 * time.Second
	// The times below count from the word of the server that it leaves.
	//
	// killAt is when the node beside it is killed, and startAt when it starts again.
	killAt  = 300 * time.Millisecond
	startAt = 500 * time.Millisecond
	// outageLead is how long before that the store begins to answer 503, and outageEnd when it
	// ends.
	outageLead = 300 * time.Millisecond
	outageEnd  = 700 * time.Millisecond
	// trafficAt is when the requests begin: the store has been up, and the node has run, for
	// longer than connectivity, 3 s.
	trafficAt = 3800 * time.Millisecond
	// trafficTail is how long after that the requests go on.
	trafficTail = 500 * time.Millisecond

	requestInterval = 20 * time.Millisecond
	workTime        = 200 * time.Millisecond
	timeLimit       = 5 * time.Second
	startTime       = 15 * time.Second
	settleTime      = 4 * time.Second

	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	host            = "homes.example"
	path            = "/swaps/1"
	recordFile      = "record.txt"
	program         = "target/plantainmesh"
	troubleVariable = "TROUBLE"
	// killsAll is the argument with which all nodes are killed.
	killsAll = "all"
)

// schedule is what differs between the cases.
type schedule struct {
	// killsAll reports whether all nodes are killed, not only the one beside the server.
	killsAll bool
	// heartbeatAt is when a heartbeat arrives that the server sent before it left, and exitAt when
	// the server exits.
	heartbeatAt, exitAt time.Duration
}

func newSchedule(args []string) schedule {
	if len(args) > 2 && args[2] == killsAll {
		return schedule{killsAll: true, heartbeatAt: 1500 * time.Millisecond, exitAt: 5500 * time.Millisecond}
	}
	return schedule{heartbeatAt: 4 * time.Second, exitAt: 8 * time.Second}
}

func main() { os.Exit(run()) }

func run() int {
	record, err := harness.NewRecord(os.Args[1] + "/" + recordFile)
	if err != nil {
		return exitNotRun
	}
	fleet, err := harness.NewFleet(program, record)
	if err != nil {
		record.Printf("cannot run: %v", err)
		return exitNotRun
	}
	defer fleet.Stop()
	leaving, err := start(fleet)
	if err != nil {
		record.Printf("cannot run: %v", err)
		return exitNotRun
	}
	answers := &answers{byID: map[string]int{}}
	acknowledged, err := play(fleet, leaving, newSchedule(os.Args), answers)
	if err != nil {
		record.Printf("cannot run: %v", err)
		return exitNotRun
	}
	late, lost := 0, 0
	for _, r := range leaving.Runs() {
		if r.At.Sub(acknowledged) <= drain {
			continue
		}
		late++
		if answers.of(r.RequestID) != http.StatusOK {
			lost++
		}
	}
	record.Printf("%d requests reached server %s later than %s after the acknowledgement; %d of these were lost", late, leaving.ID, drain, lost)
	if late > 0 {
		return exitBroken
	}
	return exitHeld
}

// start starts four nodes with a server each and returns the server that is to leave.
func start(fleet *harness.Fleet) (*harness.Server, error) {
	fleet.Configure(map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "swap-commit", "host": host, "path_prefix": "/swaps/", "kind": "non_idempotent", "timeout": "1200ms",
			"target_latency": "1500ms", "priority": 0, "service": "pactdesk", "max_attempts": 1, "allow_anonymous": true,
		}},
		"services": []any{map[string]any{"name": "pactdesk", "health_path": harness.HealthPath}, map[string]any{"name": "vitrine", "health_path": harness.HealthPath}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 1048576, "header_timeout": "5s", "idle_timeout": "10s"},
	})
	zones := []string{"medina", "mbour", "yoff", "medina"}
	for i, service := range []string{"pactdesk", "pactdesk", "vitrine", "vitrine"} {
		node := fleet.AddNode(fmt.Sprintf("node-%d", i+1), service, zones[i])
		if err := node.Start(); err != nil {
			return nil, err
		}
		server := fleet.AddServer(node, fmt.Sprintf("i-%d", i+1))
		server.Answer = func(s *harness.Server, r *http.Request, _ []byte) []byte {
			time.Sleep(workTime)
			return s.Success(r.Header.Get(harness.HeaderRequestID), []byte("done"))
		}
		if err := server.Start(); err != nil {
			return nil, err
		}
	}
	ready := func() bool {
		for _, n := range fleet.Nodes {
			if !n.IsReady() {
				return false
			}
		}
		return true
	}
	if !harness.Await(startTime, ready) {
		return nil, errors.New("the nodes are not ready")
	}
	time.Sleep(settleTime)
	return fleet.Servers()[0], nil
}

// play lets the server leave, and returns when that was acknowledged.
func play(fleet *harness.Fleet, leaving *harness.Server, plan schedule, answers *answers) (time.Time, error) {
	node, trouble := leaving.Node, os.Getenv(troubleVariable) != "0"
	late := leaving.Delay()
	fleet.Record.Printf("server %s sends a heartbeat, which arrives late", leaving.ID)
	if trouble {
		fleet.Record.Printf("the store answers 503")
		fleet.Store.SetFault(platformtest.FaultBusy)
		time.Sleep(outageLead)
	}
	began := time.Now()
	status := leaving.Deregister()
	acknowledged := time.Now()
	fleet.Record.Printf("server %s deregisters, answer %d", leaving.ID, status)
	if status != http.StatusOK {
		return time.Time{}, errors.New("the server's leaving is not acknowledged")
	}
	var group sync.WaitGroup
	at := func(offset time.Duration, do func()) {
		group.Go(func() {
			time.Sleep(time.Until(began.Add(offset)))
			do()
		})
	}
	startErr := error(nil)
	if trouble {
		killed := []*harness.Node{node}
		if plan.killsAll {
			killed = fleet.Nodes
		}
		at(killAt, func() { killNodes(killed) })
		at(startAt, func() { startErr = startNodes(killed) })
		at(outageEnd, func() {
			fleet.Record.Printf("the store answers again")
			fleet.Store.SetFault(platformtest.FaultNone)
		})
	}
	at(plan.heartbeatAt, func() {
		fleet.Record.Printf("the late heartbeat of server %s arrives, answer %d", leaving.ID, late())
	})
	at(plan.exitAt, leaving.Crash)
	for i := 0; ; i++ {
		offset := trafficAt + time.Duration(i)*requestInterval
		if offset >= plan.exitAt+trafficTail {
			break
		}
		at(offset, func() { answers.ask(fleet.Record, node, fmt.Sprintf("q%d", i)) })
	}
	group.Wait()
	return acknowledged, startErr
}

func killNodes(nodes []*harness.Node) {
	var group sync.WaitGroup
	for _, n := range nodes {
		group.Go(n.Kill)
	}
	group.Wait()
}

func startNodes(nodes []*harness.Node) error {
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// answers holds the statuses of whole answers by the id of their request.
type answers struct {
	mu   sync.Mutex
	byID map[string]int
}

func (a *answers) of(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byID[id]
}

// ask sends a request on a new connection.
func (a *answers) ask(record *harness.Record, node *harness.Node, id string) {
	conn, err := net.Dial("tcp", node.Callers)
	if err != nil {
		record.Printf("request %s: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeLimit))
	_, _ = conn.Write(harness.Request(http.MethodPost, host, path, id, timeLimit))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		record.Printf("request %s at %s: %v", id, node.Name, err)
		return
	}
	if _, err = io.Copy(io.Discard, response.Body); err == nil {
		a.mu.Lock()
		a.byID[id] = response.StatusCode
		a.mu.Unlock()
	}
	record.Printf("request %s at %s: answer %d of %q, error %v", id, node.Name, response.StatusCode, response.Header.Get(harness.HeaderSignature), err)
}

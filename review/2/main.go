// Command 2 plays case 2 of the review: a server has deregistered, its node is killed and
// starts again, and a heartbeat from before the deregistration arrives late.
package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/platform/platformtest"
	"github.com/plantainramp/plantainramp/review/testbed"
)

const (
	timeLimit = 5 * time.Second
	workTime  = 600 * time.Millisecond
	// drain is the bound of the small deployment, connectivity the time until a machine is
	// in touch.
	drain        = 2 * time.Second
	connectivity = 3 * time.Second
	// killAfter is the time from the acknowledged deregistration to the kill, restartAfter
	// from there to the start, and heartbeatDelay how late the heartbeat arrives.
	killAfter      = 500 * time.Millisecond
	restartAfter   = 300 * time.Millisecond
	heartbeatDelay = 2 * time.Second
	requestCount   = 30
	// serveTime is how long the server serves after the acknowledged deregistration.
	serveTime  = 5500 * time.Millisecond
	requestGap = 50 * time.Millisecond
)

const manifest = `{"version":1,"routes":[
{"name":"swap-commit","host":"homes.example","path_prefix":"/swaps/","kind":"non_idempotent","timeout":"5000ms","target_latency":"1500ms","priority":0,"service":"pactdesk","max_attempts":1}],
"services":[{"name":"pactdesk"}],"limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout":"10s","idle_timeout":"60s"}}`

func main() {
	bed, err := testbed.New("review/2/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(testbed.ExitNotRun)
	}
	late, err := play(bed)
	code := testbed.ExitHeld
	switch {
	case err != nil:
		bed.Record("the case could not run: %v", err)
		code = testbed.ExitNotRun
	case late > 0:
		code = testbed.ExitBroken
	}
	bed.Record("%d requests reached the server that had left, later than %s after the ack; exit code %d", late, drain, code)
	bed.Close()
	os.Exit(code)
}

// play returns the number of requests that reached the leaving server too late.
func play(bed *testbed.Bed) (int, error) {
	store := platformtest.NewStore()
	store.Put("keyed.op", "config", []byte(manifest))
	storeAddress, err := bed.Serve(store.Handler())
	if err != nil {
		return 0, err
	}
	var nodes []*testbed.Node
	var servers []*testbed.Server
	for i := range 2 {
		n, err := bed.NewNode(fmt.Sprintf("node-%d", i+1), "pactdesk", "medina", storeAddress)
		if err != nil {
			return 0, err
		}
		s := &testbed.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "pactdesk", Zone: "medina", Slots: 68, Work: workTime, AnswerBytes: 1500, HeartbeatInterval: 1500 * time.Millisecond}
		if err := n.Start(); err != nil {
			return 0, err
		}
		if err := s.Start(bed, n); err != nil {
			return 0, err
		}
		nodes, servers = append(nodes, n), append(servers, s)
	}
	node, leaving := nodes[0], servers[0]
	var lost atomic.Int64
	ask := func(id string) {
		answer := node.Send(testbed.Ask{ID: id, Method: "POST", Host: "homes.example", Path: "/swaps/1", Body: "swap", TimeLimit: timeLimit})
		if answer.Status == 0 || answer.Status == 502 {
			lost.Add(1)
		}
	}
	serves := func() bool {
		ask(fmt.Sprintf("probe-%d", time.Now().UnixNano()))
		return len(servers[0].Runs()) > 0 && len(servers[1].Runs()) > 0
	}
	if err := testbed.Await("both servers serve", 20*time.Second, serves); err != nil {
		return 0, err
	}
	time.Sleep(connectivity + time.Second)

	leaving.StopBeats()
	lateHeartbeat := leaving.NextHeartbeat()
	if err := leaving.Deregister(); err != nil {
		return 0, err
	}
	acked := time.Now()
	bed.Record("server %s has deregistered, and its node has acknowledged that", leaving.ID)
	time.Sleep(killAfter)
	if bed.Trouble {
		bed.Record("node %s is killed", node.Name)
		node.Kill()
		node.FirstStart = false
		time.Sleep(restartAfter)
		if err := node.Start(); err != nil {
			return 0, err
		}
		if err := testbed.Await("node-1 is ready", 10*time.Second, node.Ready); err != nil {
			return 0, err
		}
	}
	inTouch := time.Now().Add(connectivity)
	time.Sleep(time.Until(acked.Add(heartbeatDelay)))
	bed.Record("the heartbeat that server %s sent before arrives: %v", leaving.ID, leaving.Heartbeat(lateHeartbeat))
	time.Sleep(max(time.Until(acked.Add(drain+100*time.Millisecond)), time.Until(inTouch)))
	time.AfterFunc(time.Until(acked.Add(serveTime)), leaving.Exit)
	for i := range requestCount {
		go ask(fmt.Sprintf("commit-%d", i))
		time.Sleep(requestGap)
	}
	time.Sleep(time.Second)
	bed.Record("%d requests were lost: 502 or no answer", lost.Load())
	runs, late := leaving.Runs(), 0
	for i := range requestCount {
		late += runs[fmt.Sprintf("commit-%d", i)]
	}
	return late, nil
}

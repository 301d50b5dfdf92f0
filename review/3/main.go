// Command 3 plays case 3 of the review: all nodes start again while the partition of their
// directory is down, and each takes the whole usage cap of a tenant for its own.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/platform/platformtest"
	"github.com/plantainramp/plantainramp/review/testbed"
)

const (
	nodeCount = 6
	timeLimit = 5 * time.Second
	// ratePerS and burst are the usage cap of the tenant; the other values are the bounds of
	// the small deployment.
	ratePerS     = 20
	burst        = 20
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	// requestInterval is the time between two requests at one node.
	requestInterval = 25 * time.Millisecond
	// outageTime is how long the partition is down. All nodes are killed killAfter its begin
	// and start again after restartAfter.
	outageTime   = 9 * time.Second
	killAfter    = 500 * time.Millisecond
	restartAfter = 500 * time.Millisecond
	// calmTime is how long requests are sent before the outage.
	calmTime = 7 * time.Second
)

const manifest = `{"version":1,"routes":[
{"name":"listing-view","host":"homes.example","path_prefix":"/homes/","kind":"idempotent","timeout":"1000ms","target_latency":"1500ms","priority":2,"service":"vitrine","max_attempts":2}],
"services":[{"name":"vitrine"}],"limits":{"header_bytes":16384,"body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"dakar","api_keys":["key-of-dakar"],"rate_per_s":%d,"burst":%d}]}`

// runLog holds when each request that ran was sent.
type runLog struct {
	mu   sync.Mutex
	sent map[string]time.Time
}

func main() {
	bed, err := testbed.New("review/3/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(testbed.ExitNotRun)
	}
	most, err := play(bed)
	allowed := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOverage) + quotaSlack
	code := testbed.ExitHeld
	switch {
	case err != nil:
		bed.Record("the case could not run: %v", err)
		code = testbed.ExitNotRun
	case float64(most) > allowed:
		code = testbed.ExitBroken
	}
	bed.Record("%d requests of the tenant were sent and run in %s; allowed are %.0f; exit code %d", most, quotaWindow, allowed, code)
	bed.Close()
	os.Exit(code)
}

// partlyDown serves a store of which the partition of the directory can be down.
func partlyDown(store http.Handler, down *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down.Load() && strings.HasPrefix(r.URL.Query().Get("topic"), "keyed.directory") {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	})
}

// play returns the largest number of requests that were sent and run in a window.
func play(bed *testbed.Bed) (int, error) {
	store := platformtest.NewStore()
	store.Put("keyed.op", "config", fmt.Appendf(nil, manifest, ratePerS, burst))
	var down atomic.Bool
	storeAddress, err := bed.Serve(partlyDown(store.Handler(), &down))
	if err != nil {
		return 0, err
	}
	var nodes []*testbed.Node
	var servers []*testbed.Server
	for i := range nodeCount {
		n, err := bed.NewNode(fmt.Sprintf("node-%d", i+1), "vitrine", []string{"medina", "mbour", "yoff"}[i%3], storeAddress)
		if err != nil {
			return 0, err
		}
		s := &testbed.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "vitrine", Zone: n.Zone, Slots: 51, Work: 50 * time.Millisecond, AnswerBytes: 5000, HeartbeatInterval: 1500 * time.Millisecond}
		if err := n.Start(); err != nil {
			return 0, err
		}
		if err := s.Start(bed, n); err != nil {
			return 0, err
		}
		nodes, servers = append(nodes, n), append(servers, s)
	}
	time.Sleep(4 * time.Second)
	log := &runLog{sent: map[string]time.Time{}}
	end := time.Now().Add(calmTime + outageTime)
	var clients sync.WaitGroup
	for i, n := range nodes {
		clients.Go(func() { log.sendUntil(end, n, i) })
	}
	time.Sleep(calmTime)
	if bed.Trouble {
		if err := restartAll(bed, nodes, &down); err != nil {
			return 0, err
		}
	}
	clients.Wait()
	return log.most(servers), nil
}

// restartAll takes the partition down, kills all nodes and starts them again.
func restartAll(bed *testbed.Bed, nodes []*testbed.Node, down *atomic.Bool) error {
	bed.Record("the partition of keyed.directory is down for %s", outageTime)
	down.Store(true)
	time.AfterFunc(outageTime, func() { down.Store(false) })
	time.Sleep(killAfter)
	for _, n := range nodes {
		bed.Record("node %s is killed", n.Name)
		n.Kill()
		n.FirstStart = false
	}
	time.Sleep(restartAfter)
	for _, n := range nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// sendUntil sends requests to a node until a time, and waits for their answers.
func (l *runLog) sendUntil(end time.Time, n *testbed.Node, node int) {
	var asked sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("view-%d-%d", node, i)
		asked.Go(func() {
			l.mu.Lock()
			l.sent[id] = time.Now()
			l.mu.Unlock()
			n.Send(testbed.Ask{ID: id, Method: "GET", Host: "homes.example", Path: "/homes/1", Key: "key-of-dakar", TimeLimit: timeLimit})
		})
		time.Sleep(requestInterval)
	}
	asked.Wait()
}

// most returns the largest number of requests that were sent in one window and ran.
func (l *runLog) most(servers []*testbed.Server) int {
	var times []time.Time
	for _, s := range servers {
		for id := range s.Runs() {
			times = append(times, l.sent[id])
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= quotaWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

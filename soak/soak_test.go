package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/platform"
	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// defaultDuration is how long faults are injected; the environment variable
	// SOAK overrides it.
	defaultDuration = 8 * time.Second
	// defaultSeed seeds the choice of faults; the environment variable SOAK_SEED
	// overrides it.
	defaultSeed = 1
	// recoveryTimeout is the time after the last fault within which goodput must
	// be back at minGoodput, a fraction of the requests. Both are requirements of
	// the users.
	recoveryTimeout = 5 * time.Second
	minGoodput      = 0.95
	// requestInterval is the time between requests to the same machine.
	requestInterval = 12 * time.Millisecond
	// keptConnections is the number of kept connections to each machine.
	keptConnections = 3
	// cutDelay bounds the time from the exit of a process until a client has seen that
	// its connection is closed.
	cutDelay = 200 * time.Millisecond
	// leaveInterval is the time between two callers of a machine that leave.
	leaveInterval = 300 * time.Millisecond
	// maxNoticeTime is the time from the close of a caller's connection within which its
	// request may still reach a server, and maxLateArrivals the number of requests that may
	// do so later. Both are requirements of the users.
	maxNoticeTime   = 500 * time.Millisecond
	maxLateArrivals = 3
)

// outcome is the result of a request as its client saw it.
type outcome struct {
	result

	// machine is the name of the machine that the request was sent to.
	id, path, machine string
	action            bool
	// kept reports whether the request was sent on a kept connection, and so once only.
	kept       bool
	start, end time.Time
}

// sendFunc sends a request to a node.
type sendFunc func(ctx context.Context, method, path, id string) result

// clients send requests to every machine and record their outcomes.
type clients struct {
	cluster *cluster
	// mu guards outcomes and left.
	mu       sync.Mutex
	outcomes []outcome
	// left holds when callers closed their connections, by the ids of their requests.
	left  map[string]time.Time
	group sync.WaitGroup
}

// run starts the clients, which send reads and actions in turn until ctx ends, and on
// kept connections also slow reads. It returns at once; group waits for the requests.
func (c *clients) run(ctx context.Context) {
	for i, m := range c.cluster.machines {
		c.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				prefix := []string{"/homes/", "/swaps/"}[n%2]
				c.group.Go(func() { c.sendRequest(m.send, outcome{id: fmt.Sprintf("s%d-%d", i, n), machine: m.name}, prefix) })
				time.Sleep(requestInterval)
			}
		})
		c.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.group.Go(func() { c.leave(m, fmt.Sprintf("l%d-%d", i, n), time.Duration(n%6)*50*time.Millisecond) })
				time.Sleep(leaveInterval)
			}
		})
		for j := range keptConnections {
			c.group.Go(func() {
				k := &keptConnection{machine: m}
				defer k.close()
				for n := 0; ctx.Err() == nil; n++ {
					c.sendRequest(k.send, outcome{id: fmt.Sprintf("k%d-%d-%d", i, j, n), machine: m.name, kept: true}, []string{"/homes/", "/swaps/", "/archive/"}[(j+n)%3])
					time.Sleep(requestInterval)
				}
			})
		}
	}
}

// sendRequest sends a read, or an action, and records its outcome in o.
func (c *clients) sendRequest(send sendFunc, o outcome, prefix string) {
	o.action, o.path, o.start = prefix == "/swaps/", prefix+o.id, time.Now()
	method := "GET"
	if o.action {
		method = "POST"
	}
	o.result = send(context.Background(), method, o.path, o.id)
	o.end = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// leave sends a slow read, closes its connection after the given time and records when.
func (c *clients) leave(m *machine, id string, wait time.Duration) {
	leftAt, err := sendAndLeave(context.Background(), m, "/archive/"+id, id, wait)
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == nil {
		c.left = map[string]time.Time{}
	}
	c.left[id] = leftAt
}

// checkLeft records a violation if more than a few requests reached a server long after
// their callers had left.
func (c *clients) checkLeft() {
	late := 0
	for _, m := range c.cluster.machines {
		late += arrivalsAfter(m.server, c.left, maxNoticeTime)
	}
	if late > maxLateArrivals {
		c.cluster.addViolation("%d of %d requests reached a server over %s after their callers had left", late, len(c.left), maxNoticeTime)
	}
}

// goodput returns the fraction of the requests started in [from, to) that
// succeeded, and their total.
func (c *clients) goodput(from, to time.Time) (fraction float64, total int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	succeeded := 0
	for _, o := range c.outcomes {
		if o.start.Before(from) || !o.start.Before(to) {
			continue
		}
		total++
		if o.status == 200 {
			succeeded++
		}
	}
	return float64(succeeded) / float64(max(total, 1)), total
}

// summary returns the number and the median time of the requests started in [from, to), by
// route and status.
func (c *clients) summary(from, to time.Time) string {
	times := map[string][]time.Duration{}
	for _, o := range c.outcomes {
		if !o.start.Before(from) && o.start.Before(to) {
			route, _, _ := strings.Cut(o.path[1:], "/")
			key := fmt.Sprintf("%s %d", route, o.status)
			times[key] = append(times[key], o.end.Sub(o.start))
		}
	}
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(times)) {
		slices.Sort(times[key])
		fmt.Fprintf(&text, "%s: %d, %s; ", key, len(times[key]), times[key][len(times[key])/2].Round(time.Millisecond))
	}
	return text.String()
}

// faultFunctions returns the faults by name. Each fault ends without further
// calls: before its function returns or, for lost responses, after the next few
// requests of the server.
func faultFunctions(c *cluster, r *rand.Rand) map[string]func() {
	randomMachine := func() *machine { return c.machines[r.IntN(len(c.machines))] }
	randomDuration := func() time.Duration { return time.Duration(200+r.IntN(1200)) * time.Millisecond }
	return map[string]func(){
		"kill": func() {
			m := randomMachine()
			c.stopNode(m, syscall.SIGKILL)
			time.Sleep(randomDuration() / 2)
			c.startNode(m)
		},
		"stop": func() {
			m := randomMachine()
			c.stopNode(m, syscall.SIGTERM)
			c.startNode(m)
		},
		"stops": func() {
			var group sync.WaitGroup
			for _, i := range r.Perm(len(c.machines))[:2+r.IntN(2)] {
				group.Go(func() {
					c.stopNode(c.machines[i], syscall.SIGTERM)
					c.startNode(c.machines[i])
				})
			}
			group.Wait()
		},
		"pause": func() { randomMachine().pause(randomDuration()) },
		"store": func() {
			c.store.SetFault(platformtest.StoreFault(1 + r.IntN(3)))
			time.Sleep(randomDuration())
			c.store.SetFault(platformtest.FaultNone)
		},
		"forget":    func() { c.store.Truncate(platform.TopicDirectory) },
		"evacuate":  func() { c.evacuate(r, randomDuration()) },
		"lost":      func() { randomMachine().server.ResponsesToAbort.Store(int64(1 + r.IntN(5))) },
		"configure": func() { c.version++; c.putConfig() },
		"restore":   func() { restoreStore(c, r, randomMachine(), randomDuration) },
		"herd": func() {
			for _, m := range c.machines {
				c.stopNode(m, syscall.SIGKILL)
			}
			for _, m := range c.machines {
				c.startNode(m)
			}
		},
	}
}

// restoreStore restores the store from a copy that lacks what was written in the
// meantime: up to two configurations, and perhaps the entry of a restarted node. The
// newest configuration is written again, perhaps with a further one, before a node
// reaches the store again. It must then come into force at all nodes.
func restoreStore(c *cluster, r *rand.Rand, restarted *machine, randomDuration func() time.Duration) {
	earlier := c.store.Copy()
	if r.IntN(2) == 0 {
		c.stopNode(restarted, syscall.SIGKILL)
		c.startNode(restarted)
	}
	time.Sleep(randomDuration())
	for range r.IntN(3) {
		c.version++
		c.putConfig()
		time.Sleep(randomDuration() / 4)
	}
	c.store.SetFault(platformtest.FaultBusy)
	c.store.Restore(earlier)
	c.putConfig()
	if r.IntN(2) == 0 {
		c.version++
		c.putConfig()
	}
	time.Sleep(time.Duration(200+r.IntN(1300)) * time.Millisecond)
	c.store.SetFault(platformtest.FaultNone)
	if !platformtest.Await(recoveryTimeout, func() bool { return len(c.lackingConfig(context.Background())) == 0 }) {
		c.addViolation("configuration %d is not in force %s after the store was restored", c.version, recoveryTimeout)
	}
}

// injectFaults injects random faults one after another for about d, and returns
// their times and names.
func injectFaults(c *cluster, r *rand.Rand, d time.Duration) []string {
	functions := faultFunctions(c, r)
	names := []string{"kill", "stop", "pause", "store", "forget", "lost", "configure", "herd", "kill", "stop", "pause", "stops", "stops", "restore", "restore"}
	if evacuates(faultSeed(c.t)) {
		names = append(names, "evacuate", "evacuate", "evacuate")
	}
	var history []string
	for start := time.Now(); time.Since(start) < d; {
		name := names[r.IntN(len(names))]
		history = append(history, fmt.Sprintf("%.1fs %s", time.Since(start).Seconds(), name))
		functions[name]()
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
	}
	return history
}

// faultSeed returns the seed for the choice of faults.
func faultSeed(t *testing.T) uint64 {
	text := os.Getenv("SOAK_SEED")
	if text == "" {
		return defaultSeed
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("SOAK_SEED=%q is not a number", text)
	}
	return seed
}

// faultDuration returns how long to inject faults.
func faultDuration(t *testing.T) time.Duration {
	text := os.Getenv("SOAK")
	if text == "" {
		return defaultDuration
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("SOAK=%q is not a duration such as 10m", text)
	}
	return d
}

// checkOutcomes compares the outcomes that clients saw with what the servers did, and
// records violations of the guarantees.
func checkOutcomes(c *cluster, r platformtest.Records, outcomes []outcome) {
	for _, o := range outcomes {
		n := r.Executions[o.id]
		switch {
		case o.action && n > 1:
			c.addViolation("action %s was executed %d times", o.id, n)
		case (o.action || o.kept) && n > 0 && (o.status == 429 || o.status == 503):
			c.addViolation("request %s was rejected with status %d (signature %q) but was executed", o.id, o.status, o.signature)
		case o.status == 200 && n == 0:
			c.addViolation("request %s succeeded but was never executed", o.id)
		case o.status == 200 && !strings.Contains(o.body, " "+o.path+" "+o.id+" "):
			c.addViolation("request %s got the response of another request: %q", o.id, o.body)
		case (o.status == 200 || o.signature != "") && !r.Gave(o.id, o.answer(), o.signature):
			c.addViolation("request %s got status %d and body %q with signature %q, but servers gave %v", o.id, o.status, o.body, o.signature, r.Answers[o.id])
		case o.status >= 400 && o.status < 429 && o.status != 408 && o.status != 421:
			c.addViolation("request %s was denied with status %d", o.id, o.status)
		case n > 0 && o.cut && c.cutByStop(o):
			c.addViolation("request %s was executed but its connection was closed without a response, while node %s was being stopped", o.id, o.machine)
		}
	}
}

// cutByStop reports whether the connection of a request was closed while its node was
// being stopped by SIGTERM, and the node was not killed during the request.
func (c *cluster) cutByStop(o outcome) bool {
	stopped := false
	for _, s := range c.shutdowns {
		if s.machine != o.machine || o.start.After(s.to) || o.end.Before(s.from) {
			continue
		}
		if s.signal != syscall.SIGTERM {
			return false
		}
		stopped = stopped || o.end.Before(s.to.Add(cutDelay))
	}
	return stopped
}

// Guards against a soak test that passes because checkOutcomes misses a violation:
// each kind of violation must be reported, and valid outcomes must not be.
func TestCheckOutcomes(t *testing.T) {
	action := func(id string, status int) outcome {
		return outcome{id: id, path: "/swaps/" + id, action: true, result: result{status: status, body: "i POST /swaps/" + id + " " + id + " 0"}}
	}
	// signed returns a response with the mark of a server.
	signed := func(status int, body string) outcome {
		o := action("a", status)
		o.body, o.signature = body, "signed-a"
		return o
	}
	// The node m is stopped in the seconds 10 to 14, and killed in those 14.5 to 15.
	at := func(seconds float64) time.Time {
		return time.Unix(100, 0).Add(time.Duration(seconds * float64(time.Second)))
	}
	shutdowns := []shutdown{{"m", syscall.SIGTERM, at(10), at(14)}, {"m", syscall.SIGKILL, at(14.5), at(15)}}
	unanswered := func(cut bool, machine string, start, end float64) outcome {
		return outcome{id: "a", path: "/homes/a", machine: machine, start: at(start), end: at(end), result: result{cut: cut}}
	}
	sound := action("a", 200).body
	for name, test := range map[string]struct {
		executions int
		outcome    outcome
		want       int
	}{
		"sound":                       {1, signed(200, sound), 0},
		"sound failure":               {1, signed(500, "i failed a"), 0},
		"success without signature":   {1, action("a", 200), 1},
		"success for a failure":       {1, signed(200, "i failed a"), 1},
		"another status":              {1, signed(504, "i failed a"), 1},
		"part of a body":              {1, signed(200, "i POST /swaps/a a "), 1},
		"refused":                     {0, action("a", 503), 0},
		"execution unknown":           {1, action("a", 502), 0},
		"twice":                       {2, action("a", 502), 1},
		"rejected but executed":       {1, action("a", 503), 1},
		"read rejected but executed":  {1, outcome{id: "a", kept: true, result: result{status: 503}}, 1},
		"read that was sent again":    {1, outcome{id: "a", result: result{status: 503}}, 0},
		"success without execution":   {0, action("a", 200), 1},
		"response of another request": {1, outcome{id: "a", path: "/swaps/a", result: result{status: 200, body: "i POST /swaps/b b 0"}}, 1},
		"denied":                      {0, action("a", 401), 1},
		"cut by stop":                 {1, unanswered(true, "m", 9, 11), 1},
		"cut by exit after stop":      {1, unanswered(true, "m", 13, 14.1), 1},
		"cut but not executed":        {0, unanswered(true, "m", 9, 11), 0},
		"given up during stop":        {1, unanswered(false, "m", 9, 11), 0},
		"cut before stop":             {1, unanswered(true, "m", 9, 9.5), 0},
		"cut by kill":                 {1, unanswered(true, "m", 13.9, 14.6), 0},
		"cut at another machine":      {1, unanswered(true, "n", 9, 11), 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := &cluster{shutdowns: shutdowns}
			answers := map[string][]platformtest.Answer{"a": {{Status: 200, Body: sound}, {Status: 500, Body: "i failed a"}}}
			checkOutcomes(c, platformtest.Records{Executions: map[string]int{"a": test.executions}, Answers: answers}, []outcome{test.outcome})
			is.New(t).Equal(len(c.violations), test.want)
		})
	}
}

// Processes that do not handle signals stand in for the node. Guards against a soak test that
// passes although SIGTERM ends a node that has started: only one that has not is let pass.
func TestCheckStop(t *testing.T) {
	const starts, silent = "echo node started; exec sleep 60", "exec sleep 60"
	for name, test := range map[string]struct {
		// scripts are those of the machine's processes, of which each is stopped.
		scripts []string
		want    int
	}{
		"not started":                 {[]string{silent}, 0},
		"started":                     {[]string{starts}, 1},
		"not started after a started": {[]string{starts, silent}, 1},
		"started after a started":     {[]string{starts, starts}, 2},
		"exit code, nothing written":  {[]string{"trap 'exit 1' TERM; : >$2.trapped; while :; do sleep 0.01; done"}, 1},
		"handled":                     {[]string{"trap 'exit 0' TERM; echo node started; while :; do sleep 0.01; done"}, 0},
		"other signal":                {[]string{"trap 'kill -KILL $$' TERM; : >$2.trapped; while :; do sleep 0.01; done"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			folder := t.TempDir()
			log, err := os.Create(filepath.Join(folder, "node.log"))
			is.NoErr(err)
			defer func() { _ = log.Close() }()
			c := &cluster{t: t, binary: filepath.Join(folder, "node")}
			m := &machine{name: "m", settings: filepath.Join(folder, "node.ini"), log: log}
			for _, script := range test.scripts {
				is.NoErr(os.WriteFile(c.binary, []byte("#!/bin/sh\n"+script+"\n"), 0o700))
				c.startNode(m)
				is.True(platformtest.Await(5*time.Second, func() bool {
					_, err := os.Stat(m.settings + ".trapped")
					return script == silent || err == nil || m.logFrom(m.logStart) != ""
				}))
				c.stopNode(m, syscall.SIGTERM)
			}
			is.Equal(len(c.violations), test.want)
		})
	}
}

// Guards against a soak test that passes although the directory lacks an entry.
func TestCheckDirectory(t *testing.T) {
	is := is.New(t)
	c := &cluster{machines: []*machine{{name: "a", port: 10}, {name: "b", port: 20}}}
	c.checkDirectory(map[string]string{"127.0.0.1:13": "{}", "127.0.0.1:23": "{}"})
	is.Equal(len(c.violations), 0)
	c.checkDirectory(map[string]string{"127.0.0.1:13": "{}", "127.0.0.1:20": "{}"})
	is.Equal(c.violations, []string{"the directory lacks the entry of node b"})
}

// Node processes are killed, stopped, suspended and restarted while the store fails
// or is restored from an older copy, and responses are lost. Guards against an action
// that is executed twice, a rejected action that is executed, a success without
// execution or with another answer than that of the server, requests that reach a server after their callers have left, a node that exits
// unexpectedly or takes longer than its grace period to
// stop, an executed request that a stopping node does not answer, a configuration that
// is not in force or an entry that the directory lacks after a restore, and goodput
// that has not recovered 5 s after the last fault.
func TestSoak(t *testing.T) {
	is := is.New(t)
	seed := faultSeed(t)
	c := newCluster(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.logTails())
		}
	})
	is.True(platformtest.Await(15*time.Second, func() bool {
		for _, m := range c.machines {
			got := m.send(t.Context(), "POST", "/swaps/first", fmt.Sprintf("first-%d", time.Now().UnixNano()))
			if !m.ready() || got.status != 200 {
				return false
			}
		}
		return true
	}))
	for _, m := range c.machines {
		is.True(strings.Contains(m.logFrom(m.logStart), "node started")) // stopNode relies on it
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	load := &clients{cluster: c}
	load.run(ctx)
	held := &holdUps{sleep: time.Sleep, now: time.Now}
	go held.watch(ctx)
	c.stutter.set(stutters(seed))
	history := injectFaults(c, rand.New(rand.NewPCG(seed, 5)), faultDuration(t))
	c.stutter.set(false)
	recovered := time.Now().Add(recoveryTimeout)
	time.Sleep(recoveryTimeout + 2*time.Second)
	stop()
	load.group.Wait()
	fraction, total := load.goodput(recovered, recovered.Add(2*time.Second))
	t.Logf("SOAK_SEED=%d: %v; %d requests; %d second answers; %.4f of %d succeeded after the recovery timeout", seed, history, len(load.outcomes), c.stutter.count.Load(), fraction, total)
	t.Logf("then by route and status, with the median time: %s", load.summary(recovered, recovered.Add(2*time.Second)))
	t.Logf("this process was held up at: %s", held)
	checkOutcomes(c, c.records(), load.outcomes)
	c.checkNestedCalls()
	load.checkLeft()
	c.checkDirectory(c.store.Newest(platform.TopicDirectory))
	if lacking := c.lackingConfig(t.Context()); len(lacking) > 0 {
		c.addViolation("configuration %d is not in force at %v", c.version, lacking)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, violation := range c.violations {
		t.Error(violation)
	}
	is.True(total > 0)
	is.True(fraction >= minGoodput)
}

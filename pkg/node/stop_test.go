package node_test

import (
	"fmt"
	"io"
	"net/http"
	"path"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

// lateCall is a call that a caller sends around the stop of a node.
type lateCall struct {
	sent   time.Time
	status int
	// body is the body of the response.
	body string
	err  error
}

// executions records which calls an upstream executed, by the last part of their path.
// The zero value is ready to use. It is safe for concurrent use.
type executions struct{ ids sync.Map }

func (e *executions) add(r *http.Request) { e.ids.Store(path.Base(r.URL.Path), true) }

func (e *executions) has(id string) bool {
	_, found := e.ids.Load(id)
	return found
}

// send sends an action to the service desk through a node of the cluster.
func (c *cluster) send(client *http.Client, entry int, id string, deadline time.Duration) lateCall {
	sent := lateCall{sent: time.Now()}
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/desk/%s", c.settings[entry].CallersAddress, id), nil)
	if err != nil {
		return lateCall{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(call.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		sent.err = err
		return sent
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	sent.status, sent.body, sent.err = resp.StatusCode, string(body), err
	return sent
}

// sendUntil sends an action at each interval until ended is closed, and returns all of
// them by their id once they have ended.
func (c *cluster) sendUntil(ended <-chan struct{}, client *http.Client, interval time.Duration) map[string]lateCall {
	var mu sync.Mutex
	var group sync.WaitGroup
	calls := map[string]lateCall{}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ended:
			group.Wait()
			return calls
		case <-ticker.C:
		}
		group.Go(func() {
			id := fmt.Sprintf("late%d", i)
			sent := c.send(client, 0, id, 5*time.Second)
			mu.Lock()
			defer mu.Unlock()
			calls[id] = sent
		})
	}
}

// Callers send actions for as long as a stopping node takes them. Guards against one that it takes, executes and cuts.
func TestStoppingNodeAnswersEveryCallItTook(t *testing.T) {
	const (
		drainPeriod  = 400 * time.Millisecond
		serviceTime  = 1500 * time.Millisecond
		sendInterval = 100 * time.Millisecond
		// warmUp is long enough for the new upstream to get its full load.
		warmUp = 2 * time.Second
		// maxStopTime is the time after which what a node took gets an error.
		maxStopTime = 30 * time.Second
	)
	t.Parallel()
	http2 := new(http.Protocols)
	http2.SetUnencryptedHTTP2(true)
	tests := []struct {
		name      string
		transport *http.Transport
	}{
		{"a new connection for each call", &http.Transport{DisableKeepAlives: true}},
		{"kept connections", &http.Transport{MaxIdleConnsPerHost: 100}},
		{"one HTTP/2 connection", &http.Transport{Protocols: http2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var executed executions
			c := newCluster(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				executed.add(r)
				time.Sleep(serviceTime)
			}), "front", "desk")
			c.settings[0].DrainPeriod = drainPeriod
			defer tt.transport.CloseIdleConnections()
			eventually(t, func() bool { return c.send(http.DefaultClient, 0, "warm", 5*time.Second).status == http.StatusOK })
			var stopAt time.Time
			var stopTime time.Duration
			stopped := make(chan struct{})
			time.AfterFunc(warmUp, func() {
				defer close(stopped)
				stopAt = time.Now()
				c.stopNode[0]()
				stopTime = time.Since(stopAt)
			})
			calls := c.sendUntil(stopped, &http.Client{Transport: tt.transport}, sendInterval)
			answered, notExecuted, cut := 0, 0, 0
			for id, sent := range calls {
				switch {
				case sent.err == nil && sent.status == http.StatusOK:
					answered++
				case !executed.has(id):
					notExecuted++
				default:
					cut++
				}
				// Other refusals are no matter of the stop: the organisation's rate slots
				// change hands meanwhile.
				sentAfter := sent.sent.Sub(stopAt)
				if sentAfter < drainPeriod && (sent.err != nil || strings.Contains(sent.body, string(problem.KindLeaving))) {
					t.Errorf("sent %s after the signal to stop: status %d, %v, %s", sentAfter, sent.status, sent.err, sent.body)
				}
			}
			t.Logf("stopped after %s: %d answered, %d not executed, %d executed and cut", stopTime, answered, notExecuted, cut)
			is.Equal(cut, 0)
			is.True(stopTime < maxStopTime)
		})
	}
}

// A call that runs when its node stops makes a call in turn, late. Guards against a stopping node that cuts those.
func TestStoppingNodeAcceptsCallsOfRunningCalls(t *testing.T) {
	const (
		drainPeriod = 100 * time.Millisecond
		serviceTime = time.Second
	)
	t.Parallel()
	is := is.New(t)
	var c *cluster
	running := make(chan struct{})
	c = newCluster(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if path.Base(r.URL.Path) != "outer" {
			return
		}
		close(running)
		time.Sleep(serviceTime)
		w.WriteHeader(c.callOut(r.Header.Get(call.HeaderContext)))
	}), "desk", "front")
	c.settings[0].DrainPeriod = drainPeriod
	sent := c.start(t, 1, "outer", running)
	c.stopNode[0]()
	answer := <-sent
	is.NoErr(answer.err)
	is.Equal(answer.status, http.StatusOK)
}

// start sends an action with a deadline of one minute once the service responds, and
// waits until running is closed.
func (c *cluster) start(t *testing.T, entry int, id string, running <-chan struct{}) <-chan lateCall {
	t.Helper()
	eventually(t, func() bool { return c.send(http.DefaultClient, entry, "warm", 5*time.Second).status == http.StatusOK })
	sent := make(chan lateCall, 1)
	go func() { sent <- c.send(http.DefaultClient, entry, id, time.Minute) }()
	select {
	case <-running:
	case <-time.After(5 * time.Second):
		t.Fatal("the action does not run after 5 seconds")
	}
	return sent
}

// callOut makes a call to the service front through the first node, as its upstream. It
// returns the status of the response.
func (c *cluster) callOut(token string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.settings[0].CallsOutAddress+"/front/inner", nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	req.Header.Set(call.HeaderContext, token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return http.StatusInternalServerError
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// A call outlasts the time for calls in flight. Guards against a stopping node that closes its connection without an answer.
func TestStoppingNodeAnswersCallsThatItGivesUp(t *testing.T) {
	const (
		callsTimeout = 300 * time.Millisecond
		serviceTime  = 4 * time.Second
		// maxStopTime ends before the call does.
		maxStopTime = 3 * time.Second
	)
	t.Parallel()
	is := is.New(t)
	running := make(chan struct{})
	c := newCluster(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if path.Base(r.URL.Path) == "long" {
			close(running)
			time.Sleep(serviceTime)
		}
	}), "front", "desk")
	c.nodes[0].SetCallsTimeout(callsTimeout)
	sent := c.start(t, 0, "long", running)
	stopAt := time.Now()
	c.stopNode[0]()
	is.True(time.Since(stopAt) < maxStopTime)
	answer := <-sent
	is.NoErr(answer.err)
	is.Equal(answer.status, http.StatusGatewayTimeout)
}

package acceptance

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/plantainramp/plantainramp/pkg/adminclient"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

// checkRateLimit implements within ORGANISATION RATE BURST, which checks that the
// upstreams received no more of the organisation's requests than the rate and burst
// allow, in any window of time. A request counts once, when it first reached an
// upstream.
func (h *harness) checkRateLimit(args []string) error {
	requests, err := h.receivedRequests()
	if err != nil {
		return err
	}
	perSecond, _ := strconv.ParseFloat(args[1], 64)
	burst, _ := strconv.ParseFloat(args[2], 64)
	firstReceived := map[string]time.Time{}
	for _, r := range requests {
		if at, ok := firstReceived[r.RequestID]; r.Organisation == args[0] && (!ok || r.ReceivedAt.Before(at)) {
			firstReceived[r.RequestID] = r.ReceivedAt
		}
	}
	starts := make([]time.Time, 0, len(firstReceived))
	for _, at := range firstReceived {
		starts = append(starts, at)
	}
	slices.SortFunc(starts, time.Time.Compare)
	worst, from, to := 0.0, 0, 0
	for i := range starts {
		for j := i; j < len(starts); j++ {
			excess := float64(j-i+1) - burst - perSecond*starts[j].Sub(starts[i]).Seconds()
			if excess > worst {
				worst, from, to = excess, i, j
			}
		}
	}
	h.script.Logf("%s: %d requests started, limit exceeded by %.2f", args[0], len(starts), worst)
	if worst >= 1 {
		return fmt.Errorf("%s: %d requests started in %s, rate x window + burst exceeded by %.2f", args[0], to-from+1, starts[to].Sub(starts[from]), worst)
	}
	return nil
}

// checkAtMostOnce implements once, which checks that no idempotency key reached
// upstreams more than once.
func (h *harness) checkAtMostOnce([]string) error {
	requests, err := h.receivedRequests()
	if err != nil {
		return err
	}
	executions := map[string]int{}
	for _, r := range requests {
		if r.IdempotencyKey != "" && r.Method == http.MethodPost {
			executions[r.IdempotencyKey]++
		}
	}
	h.script.Logf("%d idempotency keys reached upstreams", len(executions))
	for key, n := range executions {
		if n > 1 {
			return fmt.Errorf("action %s reached upstreams %d times", key, n)
		}
	}
	return nil
}

// checkNotExecuted implements truthful, which checks that no request rejected with
// run "no" reached an upstream. Requests are compared by request id, so that another
// request with the same idempotency key may have reached one.
func (h *harness) checkNotExecuted([]string) error {
	requests, err := h.receivedRequests()
	if err != nil {
		return err
	}
	reached := map[string]bool{}
	for _, r := range requests {
		reached[r.RequestID] = true
	}
	n := 0
	for _, r := range h.results {
		if r.execution != problem.NotExecuted {
			continue
		}
		n++
		if reached[r.requestID] {
			return fmt.Errorf("request %s was rejected as not executed (%s) but reached an upstream", r.requestID, r.problemType)
		}
	}
	h.script.Logf("%d requests rejected with run no", n)
	return nil
}

// checkKeyHidden implements hidden KEY, which checks that a key is in no request that
// upstreams received, nor in the output of any program.
func (h *harness) checkKeyHidden(args []string) error {
	requests, err := h.receivedRequests()
	if err != nil {
		return err
	}
	secret := []byte(strings.ToLower(h.keys[args[0]]))
	raw, err := json.Marshal(requests)
	if err != nil {
		return err
	}
	if bytes.Contains(bytes.ToLower(raw), secret) {
		return fmt.Errorf("an upstream received key %s", args[0])
	}
	files, _ := filepath.Glob(filepath.Join(h.dir, "*.out"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if bytes.Contains(bytes.ToLower(text), secret) {
			return fmt.Errorf("%s contains key %s", file, args[0])
		}
	}
	return nil
}

// checkSameState implements agree, which checks that all running nodes hold the same
// state at the same offset.
func (h *harness) checkSameState([]string) error {
	states := map[string]string{}
	for _, in := range h.runningInstances() {
		status, err := (&adminclient.Client{URL: "http://" + in.admin}).Status(h.ctx())
		if err != nil {
			return err
		}
		states[fmt.Sprintf("%d %s", status.Next, status.Digest)] = in.name
	}
	if len(states) != 1 {
		return fmt.Errorf("nodes hold different states: %v", states)
	}
	return nil
}

// sendForgedPeerCall implements peercall NODE PATH, which sends a forged peer message
// that would call PATH on the node's upstream, and checks that it is rejected.
func (h *harness) sendForgedPeerCall(args []string) error {
	status, err := (&adminclient.Client{URL: "http://" + h.instanceNamed(args[0]).admin}).Status(h.ctx())
	if err != nil {
		return err
	}
	body := strings.NewReader(fmt.Sprintf(
		`{"callId":"forged","target":%q,"organisation":"thies","method":"GET","path":%q,"startBy":"3600000000000","deadline":"3600000000000"}`,
		status.Member, args[1]))
	resp, err := http.Post("http://"+h.instanceNamed(args[0]).peers+"/twirp/plantainramp.peer.Peer/Run", "application/json", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusForbidden {
		return fmt.Errorf("forged peer message got status %s, want 403", resp.Status)
	}
	return nil
}

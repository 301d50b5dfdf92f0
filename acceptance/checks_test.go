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

// checkRateLimit: checkRateLimit ORGANISATION RATE BURST checks every window of what upstreams
// received of an organisation's requests at their entrance.
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
	h.script.Logf("%s: %d requests started, over by %.2f", args[0], len(starts), worst)
	if worst >= 1 {
		return fmt.Errorf("%s: %d starts in %s, over rate x window + burst by %.2f", args[0], to-from+1, starts[to].Sub(starts[from]), worst)
	}
	return nil
}

// checkAtMostOnce: checkAtMostOnce [PATTERN] checks that no idempotency key reached upstreams twice.
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
	h.script.Logf("%d keys reached upstreams", len(executions))
	for key, n := range executions {
		if n > 1 {
			return fmt.Errorf("action %s reached upstreams %d times", key, n)
		}
	}
	return nil
}

// checkNotExecuted: checkNotExecuted checks that no request refused with run "no" reached an
// upstream, unless another request with its idempotency key did.
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
			return fmt.Errorf("request %s was refused as not run (%s) and reached an upstream", r.requestID, r.problemType)
		}
	}
	h.script.Logf("%d refusals with run no", n)
	return nil
}

// checkKeyHidden: checkKeyHidden KEY checks that a key is in nothing that upstreams received and
// in no log line or record.
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
			return fmt.Errorf("%s holds key %s", file, args[0])
		}
	}
	return nil
}

// checkSameState: checkSameState checks that all running nodes hold the same state at the same offset.
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
		return fmt.Errorf("nodes differ: %v", states)
	}
	return nil
}

// sendForgedPeerCall: sendForgedPeerCall NODE PATH sends a forged peer message that would run PATH on
// the node's upstream; it must be refused.
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
		return fmt.Errorf("a forged peer message got %s", resp.Status)
	}
	return nil
}

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

// within: within ORGANISATION RATE BURST checks every window of what upstreams
// received of an organisation's requests at their entrance.
func (w *world) within(args []string) error {
	list, err := w.received()
	if err != nil {
		return err
	}
	perSecond, _ := strconv.ParseFloat(args[1], 64)
	burst, _ := strconv.ParseFloat(args[2], 64)
	first := map[string]time.Time{}
	for _, r := range list {
		if at, seen := first[r.RequestID]; r.Organisation == args[0] && (!seen || r.ReceivedAt.Before(at)) {
			first[r.RequestID] = r.ReceivedAt
		}
	}
	starts := make([]time.Time, 0, len(first))
	for _, at := range first {
		starts = append(starts, at)
	}
	slices.SortFunc(starts, time.Time.Compare)
	worst, from, to := 0.0, 0, 0
	for i := range starts {
		for j := i; j < len(starts); j++ {
			over := float64(j-i+1) - burst - perSecond*starts[j].Sub(starts[i]).Seconds()
			if over > worst {
				worst, from, to = over, i, j
			}
		}
	}
	w.script.Logf("%s: %d requests started, over by %.2f", args[0], len(starts), worst)
	if worst >= 1 {
		return fmt.Errorf("%s: %d starts in %s, over rate x window + burst by %.2f", args[0], to-from+1, starts[to].Sub(starts[from]), worst)
	}
	return nil
}

// once: once [PATTERN] checks that no idempotency key reached upstreams twice.
func (w *world) once([]string) error {
	list, err := w.received()
	if err != nil {
		return err
	}
	runs := map[string]int{}
	for _, r := range list {
		if r.IdempotencyKey != "" && r.Method == http.MethodPost {
			runs[r.IdempotencyKey]++
		}
	}
	w.script.Logf("%d keys reached upstreams", len(runs))
	for key, n := range runs {
		if n > 1 {
			return fmt.Errorf("action %s reached upstreams %d times", key, n)
		}
	}
	return nil
}

// truthful: truthful checks that no request refused with run "no" reached an
// upstream, unless another request with its idempotency key did.
func (w *world) truthful([]string) error {
	list, err := w.received()
	if err != nil {
		return err
	}
	reached := map[string]bool{}
	for _, r := range list {
		reached[r.RequestID] = true
	}
	n := 0
	for _, r := range w.results {
		if r.run != problem.NotExecuted {
			continue
		}
		n++
		if reached[r.requestID] {
			return fmt.Errorf("request %s was refused as not run (%s) and reached an upstream", r.requestID, r.kind)
		}
	}
	w.script.Logf("%d refusals with run no", n)
	return nil
}

// hidden: hidden KEY checks that a key is in nothing that upstreams received and
// in no log line or record.
func (w *world) hidden(args []string) error {
	list, err := w.received()
	if err != nil {
		return err
	}
	secret := []byte(strings.ToLower(w.keys[args[0]]))
	raw, err := json.Marshal(list)
	if err != nil {
		return err
	}
	if bytes.Contains(bytes.ToLower(raw), secret) {
		return fmt.Errorf("an upstream received key %s", args[0])
	}
	files, _ := filepath.Glob(filepath.Join(w.dir, "*.out"))
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

// agree: agree checks that all running nodes hold the same state at the same offset.
func (w *world) agree([]string) error {
	seen := map[string]string{}
	for _, in := range w.running() {
		status, err := (&adminclient.Client{URL: "http://" + in.admin}).Status(w.ctx())
		if err != nil {
			return err
		}
		seen[fmt.Sprintf("%d %s", status.Next, status.Digest)] = in.name
	}
	if len(seen) != 1 {
		return fmt.Errorf("nodes differ: %v", seen)
	}
	return nil
}

// peercall: peercall NODE PATH sends a forged peer message that would run PATH on
// the node's upstream; it must be refused.
func (w *world) peercall(args []string) error {
	status, err := (&adminclient.Client{URL: "http://" + w.at(args[0]).admin}).Status(w.ctx())
	if err != nil {
		return err
	}
	body := strings.NewReader(fmt.Sprintf(
		`{"callId":"forged","target":%q,"organisation":"thies","method":"GET","path":%q,"startBy":"3600000000000","deadline":"3600000000000"}`,
		status.Member, args[1]))
	resp, err := http.Post("http://"+w.at(args[0]).peers+"/twirp/plantainramp.peer.Peer/Run", "application/json", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusForbidden {
		return fmt.Errorf("a forged peer message got %s", resp.Status)
	}
	return nil
}

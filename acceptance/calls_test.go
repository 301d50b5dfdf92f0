package acceptance

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/internal/standin/upstream"
	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

func keyID(name string) fleet.KeyID { return fleet.KeyID(name) }

func (h *harness) ctx() context.Context { return context.Background() }

// result is the outcome of a request as its caller saw it.
type result struct {
	start, end     time.Time
	status         int
	problemType    string
	execution      problem.Execution
	requestID      string
	idempotencyKey string
	path           string
	method         string
	// mismatch says why a successful response is incomplete or belongs to another
	// request; it is empty if the response is correct.
	mismatch string
	err      error
}

// request is a request of a caller to a node.
type request struct {
	node                                 *instance
	apiKey, method, path, idempotencyKey string
	body                                 string
	header                               http.Header
	deadline                             time.Duration
	client                               *http.Client
}

var sharedClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: 30 * time.Second}

// send sends the request and returns its result, with err set if no complete
// response came.
func (r *request) send() result {
	res := result{start: time.Now(), path: r.path, idempotencyKey: r.idempotencyKey, method: r.method}
	defer func() { res.end = time.Now() }()
	req, err := http.NewRequest(r.method, "http://"+r.node.callers+r.path, strings.NewReader(r.body))
	if err != nil {
		res.err = err
		return res
	}
	req.GetBody = nil
	for name, values := range r.header {
		req.Header[name] = values
	}
	if r.apiKey != "" {
		req.Header.Set("Authorization", "Bearer "+r.apiKey)
	}
	if r.idempotencyKey != "" {
		req.Header.Set(call.HeaderIdempotencyKey, `"`+r.idempotencyKey+`"`)
	}
	if r.deadline > 0 {
		req.Header.Set(call.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	resp, err := r.client.Do(req)
	if err != nil {
		res.err = err
		return res
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.requestID = resp.StatusCode, resp.Header.Get(call.HeaderRequestID)
	r.checkResponse(&res, resp, raw)
	return res
}

// checkResponse reads the problem or, on success, compares the response with the
// request, and sets the fields of res.
func (r *request) checkResponse(res *result, resp *http.Response, raw []byte) {
	if resp.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Document
		_ = json.Unmarshal(raw, &p)
		res.execution, res.problemType = p.Execution, p.Type[strings.LastIndex(p.Type, ":")+1:]
		return
	}
	if res.status != http.StatusOK {
		return
	}
	var response upstream.Response
	_, wantURI, _ := strings.Cut(r.path[1:], "/")
	switch err := json.Unmarshal(raw, &response); {
	case err != nil:
		res.mismatch = "incomplete response: " + err.Error()
	case response.URI != "/"+wantURI:
		res.mismatch = fmt.Sprintf("response for %s, want /%s", response.URI, wantURI)
	case response.Body != r.body:
		res.mismatch = fmt.Sprintf("response with body %q, want %q", response.Body, r.body)
	case r.idempotencyKey == "" && response.RequestID != res.requestID:
		res.mismatch = fmt.Sprintf("response for request %s, want %s", response.RequestID, res.requestID)
	}
}

// parseArgs splits args into the positional arguments, of the given number, and the
// key=value arguments after them.
func parseArgs(args []string, positional int) ([]string, map[string]string) {
	named := map[string]string{}
	for _, pair := range args[positional:] {
		key, value, _ := strings.Cut(pair, "=")
		named[key] = value
	}
	return args[:positional], named
}

// callNode implements the command
//
//	call NODE KEY METHOD PATH [want=STATUS] [run=no|unknown|yes] [kind=KIND]
//	[idempotencyKey=K] [body=TEXT] [header=NAME:VALUE] [deadline=D]
//
// which sends a request and checks the status, the execution status and the type
// of the problem in its response.
func (h *harness) callNode(args []string) error {
	positional, named := parseArgs(args, 4)
	r := request{
		node: h.instanceNamed(positional[0]), apiKey: h.resolveKey(positional[1]), method: positional[2], path: positional[3], idempotencyKey: named["idempotencyKey"],
		body: named["body"], header: http.Header{}, client: sharedClient,
	}
	if name, value, ok := strings.Cut(named["header"], ":"); ok {
		r.header[name] = []string{value}
	}
	r.deadline, _ = time.ParseDuration(named["deadline"])
	res := r.send()
	if res.err == nil {
		h.results = append(h.results, res)
	}
	got := fmt.Sprintf("got status %d run %q kind %q mismatch %q (%v)", res.status, res.execution, res.problemType, res.mismatch, res.err)
	if want := named["want"]; want != "" && want != strconv.Itoa(res.status) {
		return fmt.Errorf("%s, want status %s", got, want)
	}
	if want := named["run"]; want != "" && want != string(res.execution) {
		return fmt.Errorf("%s, want run %s", got, want)
	}
	if want := named["kind"]; want != "" && want != res.problemType {
		return fmt.Errorf("%s, want kind %s", got, want)
	}
	if res.mismatch != "" {
		return fmt.Errorf("%s", got)
	}
	return nil
}

// resolveKey returns the key created under this name. Other names are returned as
// they are, except that "-" means no key.
func (h *harness) resolveKey(name string) string {
	if key, ok := h.keys[name]; ok {
		return key
	}
	if name == "-" {
		return ""
	}
	return name
}

// sendLoad implements the command
//
//	storm NODE,NODE KEY METHOD PATH rate=N for=D [deadline=D] [actions=N] [&]
//
// which sends requests to the nodes in turn at a fixed rate, regardless of the
// responses. With & it runs in the background, until calm. A %d in the path is
// replaced by the number of the request. With actions=N each idempotency key is used
// for N requests, at different nodes. The results are kept for the other commands.
func (h *harness) sendLoad(args []string) error {
	if background := args[len(args)-1] == "&"; background {
		args = args[:len(args)-1]
		h.backgroundLoad.Go(func() {
			if err := h.sendLoad(args); err != nil {
				fmt.Fprintln(os.Stderr, "storm:", err)
			}
		})
		return nil
	}
	positional, named := parseArgs(args, 4)
	var nodes []*instance
	for _, name := range strings.Split(positional[0], ",") {
		nodes = append(nodes, h.instanceNamed(name))
	}
	perSecond, _ := strconv.Atoi(named["rate"])
	duration, err := time.ParseDuration(named["for"])
	if err != nil {
		return err
	}
	deadline, _ := time.ParseDuration(named["deadline"])
	attempts, _ := strconv.Atoi(named["actions"])
	var group sync.WaitGroup
	results := make([]result, int(duration.Seconds()*float64(perSecond)))
	start := time.Now()
	for i := range results {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		r := request{
			node: nodes[i%len(nodes)], apiKey: h.resolveKey(positional[1]), method: positional[2],
			path: strings.ReplaceAll(positional[3], "%d", strconv.Itoa(i)), client: sharedClient, deadline: deadline,
		}
		if attempts > 0 {
			r.idempotencyKey = fmt.Sprintf("%s-%d-%d", positional[1], start.UnixNano(), i/attempts)
			r.body = r.idempotencyKey
			r.path = strings.ReplaceAll(positional[3], "%d", strconv.Itoa(i/attempts))
		}
		group.Go(func() { results[i] = r.send() })
	}
	group.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.results = append(h.results, results...)
	h.loadSummaries = append(h.loadSummaries, fmt.Sprintf("storm %s %s: %s", positional[2], positional[3], summarize(results)))
	return nil
}

// waitForLoad implements calm, which waits for the load in the background.
func (h *harness) waitForLoad([]string) error {
	h.backgroundLoad.Wait()
	for _, line := range h.loadSummaries {
		h.script.Logf("%s", line)
	}
	h.loadSummaries = nil
	return nil
}

// summarize returns the numbers of results by outcome.
func summarize(results []result) string {
	counts := map[string]int{}
	for _, r := range results {
		switch {
		case r.err != nil:
			counts["error"]++
		case r.execution != "":
			counts[fmt.Sprintf("%d %s run=%s", r.status, r.problemType, r.execution)]++
		default:
			counts[strconv.Itoa(r.status)]++
		}
	}
	return fmt.Sprint(counts)
}

// checkResultCount implements total WHAT OP N, which compares the number of results so
// far with N. WHAT is all, ok, failed (no complete response), wrong (a response that
// is incomplete or of another request), a status, a type of problem, actions, or
// actionsRefused (POSTs without status 200).
func (h *harness) checkResultCount(args []string) error {
	n := 0
	for _, r := range h.results {
		matches := map[string]bool{
			"all": true, "ok": r.err == nil && r.status == http.StatusOK, "failed": r.err != nil,
			"actions": r.method == http.MethodPost, "actionsRefused": r.method == http.MethodPost && r.status != http.StatusOK,
			"wrong": r.mismatch != "", strconv.Itoa(r.status): r.err == nil, r.problemType: r.problemType != "",
		}
		if matches[args[0]] {
			n++
		}
	}
	return checkCount(args[0], n, args[1], args[2])
}

// checkCount returns an error unless n compares with the operand as the operator
// requires.
func checkCount(subject string, n int, operator, operand string) error {
	want, err := strconv.Atoi(operand)
	if err != nil {
		return err
	}
	ok := map[string]bool{"==": n == want, "<=": n <= want, ">=": n >= want, "!=": n != want}[operator]
	if !ok {
		return fmt.Errorf("%s: %d, want %s %d", subject, n, operator, want)
	}
	return nil
}

// clearResults implements forget, which drops the results so far.
func (h *harness) clearResults([]string) error {
	h.results = nil
	return nil
}

// checkReceivedCount implements ran NODE,NODE|all PATTERN OP N, which compares the
// number of requests that the upstreams received and whose URI matches PATTERN with
// N, a number or a name set by remember.
func (h *harness) checkReceivedCount(args []string) error {
	n, err := h.countReceived(args[0], args[1])
	if err != nil {
		return err
	}
	if operand, ok := h.savedCounts[args[3]]; ok {
		args[3] = strconv.Itoa(operand)
	}
	return checkCount(args[0]+" received "+args[1], n, args[2], args[3])
}

// saveReceivedCount implements remember NAME NODE,NODE|all PATTERN, which saves a
// count for ran.
func (h *harness) saveReceivedCount(args []string) (err error) {
	h.savedCounts[args[0]], err = h.countReceived(args[1], args[2])
	return err
}

// countReceived counts the requests that the upstreams of the named nodes, or of all,
// received and whose URI matches pattern.
func (h *harness) countReceived(nodes, pattern string) (int, error) {
	var names []string
	if nodes != "all" {
		names = strings.Split(nodes, ",")
	}
	requests, err := h.receivedRequests(names...)
	if err != nil {
		return 0, err
	}
	expression, err := regexp.Compile(pattern)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, r := range requests {
		if expression.MatchString(r.URI) {
			n++
		}
	}
	return n, nil
}

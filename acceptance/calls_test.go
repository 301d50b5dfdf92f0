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

func ticketKeyID(name string) fleet.KeyID { return fleet.KeyID(name) }

func (w *world) ctx() context.Context { return context.Background() }

// result is what a caller saw of one request.
type result struct {
	began, ended time.Time
	status       int
	kind         string
	run          problem.Execution
	requestID    string
	key          string
	path         string
	method       string
	// wrong is set where the answer is not whole or not the request's own.
	wrong string
	err   error
}

type request struct {
	node                   *instance
	key, method, path, idk string
	body                   string
	header                 http.Header
	deadline               time.Duration
	client                 *http.Client
}

var sharedClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: 30 * time.Second}

func (r *request) do() result {
	out := result{began: time.Now(), path: r.path, key: r.idk, method: r.method}
	defer func() { out.ended = time.Now() }()
	req, err := http.NewRequest(r.method, "http://"+r.node.callers+r.path, strings.NewReader(r.body))
	if err != nil {
		out.err = err
		return out
	}
	req.GetBody = nil
	for name, values := range r.header {
		req.Header[name] = values
	}
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	if r.idk != "" {
		req.Header.Set(call.HeaderIdempotencyKey, `"`+r.idk+`"`)
	}
	if r.deadline > 0 {
		req.Header.Set(call.HeaderDeadline, strconv.FormatInt(r.deadline.Milliseconds(), 10))
	}
	resp, err := r.client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.requestID = resp.StatusCode, resp.Header.Get(call.HeaderRequestID)
	r.judge(&out, resp, raw)
	return out
}

// judge compares the answer with the request.
func (r *request) judge(out *result, resp *http.Response, raw []byte) {
	if resp.Header.Get("Content-Type") == problem.ContentType {
		var p problem.Document
		_ = json.Unmarshal(raw, &p)
		out.run, out.kind = p.Execution, p.Type[strings.LastIndex(p.Type, ":")+1:]
		return
	}
	if out.status != http.StatusOK {
		return
	}
	var a upstream.Response
	_, want, _ := strings.Cut(r.path[1:], "/")
	switch err := json.Unmarshal(raw, &a); {
	case err != nil:
		out.wrong = "not whole: " + err.Error()
	case a.URI != "/"+want:
		out.wrong = fmt.Sprintf("answer for %s, want /%s", a.URI, want)
	case a.Body != r.body:
		out.wrong = fmt.Sprintf("answer with body %q, want %q", a.Body, r.body)
	case r.idk == "" && a.RequestID != out.requestID:
		out.wrong = fmt.Sprintf("answer for request %s, want %s", a.RequestID, out.requestID)
	}
}

// flags reads key=value words; the first words are returned apart.
func flags(args []string, plain int) ([]string, map[string]string) {
	named := map[string]string{}
	for _, pair := range args[plain:] {
		key, value, _ := strings.Cut(pair, "=")
		named[key] = value
	}
	return args[:plain], named
}

// call: call NODE KEY METHOD PATH [want=STATUS] [run=no|unknown|yes] [kind=KIND]
// [idempotencyKey=K] [body=TEXT] [header=NAME:VALUE] [deadline=D] makes one request.
func (w *world) call(args []string) error {
	words, named := flags(args, 4)
	r := request{
		node: w.at(words[0]), key: w.secret(words[1]), method: words[2], path: words[3], idk: named["idempotencyKey"],
		body: named["body"], header: http.Header{}, client: sharedClient,
	}
	if name, value, ok := strings.Cut(named["header"], ":"); ok {
		r.header[name] = []string{value}
	}
	r.deadline, _ = time.ParseDuration(named["deadline"])
	out := r.do()
	if out.err == nil {
		w.results = append(w.results, out)
	}
	seen := fmt.Sprintf("status %d run %q kind %q wrong %q (%v)", out.status, out.run, out.kind, out.wrong, out.err)
	if want := named["want"]; want != "" && want != strconv.Itoa(out.status) {
		return fmt.Errorf("%s, want status %s", seen, want)
	}
	if want := named["run"]; want != "" && want != string(out.run) {
		return fmt.Errorf("%s, want run %s", seen, want)
	}
	if want := named["kind"]; want != "" && want != out.kind {
		return fmt.Errorf("%s, want kind %s", seen, want)
	}
	if out.wrong != "" {
		return fmt.Errorf("%s", seen)
	}
	return nil
}

// secret returns a made key by name; any other word stands for itself, and "-"
// for none.
func (w *world) secret(name string) string {
	if key, known := w.keys[name]; known {
		return key
	}
	if name == "-" {
		return ""
	}
	return name
}

// storm: storm NODE,NODE KEY METHOD PATH rate=N for=D [deadline=D] [actions=N]
// [&] sends requests at a fixed rate, whatever comes back; with & in the background,
// until calm. A %d in the path becomes the number of the request. actions=N gives idempotency keys that
// repeat N times each, at different nodes. Results are kept for the other commands.
func (w *world) storm(args []string) error {
	if background := args[len(args)-1] == "&"; background {
		args = args[:len(args)-1]
		w.storms.Go(func() {
			if err := w.storm(args); err != nil {
				fmt.Fprintln(os.Stderr, "storm:", err)
			}
		})
		return nil
	}
	words, named := flags(args, 4)
	var nodes []*instance
	for _, name := range strings.Split(words[0], ",") {
		nodes = append(nodes, w.at(name))
	}
	perSecond, _ := strconv.Atoi(named["rate"])
	length, err := time.ParseDuration(named["for"])
	if err != nil {
		return err
	}
	deadline, _ := time.ParseDuration(named["deadline"])
	repeats, _ := strconv.Atoi(named["actions"])
	var group sync.WaitGroup
	results := make([]result, int(length.Seconds()*float64(perSecond)))
	began := time.Now()
	for i := range results {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		r := request{
			node: nodes[i%len(nodes)], key: w.secret(words[1]), method: words[2],
			path: strings.ReplaceAll(words[3], "%d", strconv.Itoa(i)), client: sharedClient, deadline: deadline,
		}
		if repeats > 0 {
			r.idk = fmt.Sprintf("%s-%d-%d", words[1], began.UnixNano(), i/repeats)
			r.body = r.idk
			r.path = strings.ReplaceAll(words[3], "%d", strconv.Itoa(i/repeats))
		}
		group.Go(func() { results[i] = r.do() })
	}
	group.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.results = append(w.results, results...)
	w.said = append(w.said, fmt.Sprintf("storm %s %s: %s", words[2], words[3], summary(results)))
	return nil
}

// calm: calm waits for the storms in the background.
func (w *world) calm([]string) error {
	w.storms.Wait()
	for _, line := range w.said {
		w.script.Logf("%s", line)
	}
	w.said = nil
	return nil
}

func summary(results []result) string {
	counts := map[string]int{}
	for _, r := range results {
		switch {
		case r.err != nil:
			counts["error"]++
		case r.run != "":
			counts[fmt.Sprintf("%d %s run=%s", r.status, r.kind, r.run)]++
		default:
			counts[strconv.Itoa(r.status)]++
		}
	}
	return fmt.Sprint(counts)
}

// total: total WHAT OP N compares what the callers have seen so far. WHAT is all,
// ok, failed (no answer at all), wrong, a status, a kind of problem, actions, or
// actionsRefused (POSTs that were not answered 200).
func (w *world) total(args []string) error {
	n := 0
	for _, r := range w.results {
		hit := map[string]bool{
			"all": true, "ok": r.err == nil && r.status == http.StatusOK, "failed": r.err != nil,
			"actions": r.method == http.MethodPost, "actionsRefused": r.method == http.MethodPost && r.status != http.StatusOK,
			"wrong": r.wrong != "", strconv.Itoa(r.status): r.err == nil, r.kind: r.kind != "",
		}
		if hit[args[0]] {
			n++
		}
	}
	return compare(args[0], n, args[1], args[2])
}

func compare(what string, n int, operator, operand string) error {
	want, err := strconv.Atoi(operand)
	if err != nil {
		return err
	}
	ok := map[string]bool{"==": n == want, "<=": n <= want, ">=": n >= want, "!=": n != want}[operator]
	if !ok {
		return fmt.Errorf("%s: %d, want %s %d", what, n, operator, want)
	}
	return nil
}

// forget: forget drops what the callers have seen so far.
func (w *world) forget([]string) error {
	w.results = nil
	return nil
}

// ran: ran NODE,NODE|all PATTERN OP N compares how many requests upstreams received.
func (w *world) ran(args []string) error {
	n, err := w.countReceived(args[0], args[1])
	if err != nil {
		return err
	}
	if operand, noted := w.notes[args[3]]; noted {
		args[3] = strconv.Itoa(operand)
	}
	return compare(args[0]+" received "+args[1], n, args[2], args[3])
}

// remember: remember NAME NODE,NODE|all PATTERN keeps a count for ran.
func (w *world) remember(args []string) (err error) {
	w.notes[args[0]], err = w.countReceived(args[1], args[2])
	return err
}

func (w *world) countReceived(nodes, pattern string) (int, error) {
	var names []string
	if nodes != "all" {
		names = strings.Split(nodes, ",")
	}
	list, err := w.received(names...)
	if err != nil {
		return 0, err
	}
	expression, err := regexp.Compile(pattern)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, r := range list {
		if expression.MatchString(r.URI) {
			n++
		}
	}
	return n, nil
}

// Package upstream is a stand-in for an upstream instance, for tests and the
// demo. It simulates a limited number of slots, a service time, a cold start,
// load shedding of its own and calls to downstream services, and records the
// requests that it received and completed.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/node"
)

const (
	announceInterval = time.Second
	announceTimeout  = time.Second
	callTimeout      = 30 * time.Second
	// maxReceivedRequests limits the requests kept in memory; later ones are
	// counted but not kept.
	maxReceivedRequests = 200_000
)

// DownstreamCall is a call to Target, a path at the node, that the instance
// makes for each request whose path begins with Prefix.
type DownstreamCall struct {
	Prefix string `json:"prefix"`
	Method string `json:"method"`
	Target string `json:"target"`
}

// Behaviour configures the stand-in. It can be changed over HTTP while the
// stand-in runs.
type Behaviour struct {
	ServiceTime time.Duration `json:"serviceTime"`
	// Slots is the number of requests executed concurrently; others wait.
	// Values below 1 count as 1.
	Slots int `json:"slots"`
	// ShedAbove is the number of waiting requests at which further ones are
	// rejected with status 503; 0 means never.
	ShedAbove int `json:"shedAbove"`
	// FailStatus is the status of every response; 0 means success.
	FailStatus int `json:"failStatus"`
	// ColdStartDuration is the time after the start during which requests take
	// ColdStartFactor times the service time.
	ColdStartDuration time.Duration `json:"coldFor"`
	ColdStartFactor   float64       `json:"coldFactor"`
	// HideLoad makes the health endpoint report a load of 0.
	HideLoad bool `json:"lie"`
	// Leaving announces the instance to its node as leaving.
	Leaving    bool             `json:"leaving"`
	Downstream []DownstreamCall `json:"deeper"`
	// Parallel makes the downstream calls of a request concurrently.
	Parallel bool `json:"parallel"`
}

// ReceivedRequest describes a request that reached the stand-in.
type ReceivedRequest struct {
	ReceivedAt     time.Time   `json:"at"`
	RequestID      string      `json:"requestId"`
	Organisation   string      `json:"organisation"`
	Method         string      `json:"method"`
	URI            string      `json:"uri"`
	IdempotencyKey string      `json:"idempotencyKey,omitempty"`
	Header         http.Header `json:"header,omitempty"`
	// Completed reports whether the request was executed to its end before its
	// context was cancelled.
	Completed bool `json:"ran"`
}

// Response is the JSON body of every successful response. Body is the body of the
// request; the length of Padding is the request's query parameter size, at most 4 MiB.
type Response struct {
	Instance     string `json:"instance"`
	RequestID    string `json:"requestId"`
	Organisation string `json:"organisation"`
	URI          string `json:"uri"`
	Body         string `json:"body,omitempty"`
	Padding      string `json:"padding,omitempty"`
}

// Instance is the stand-in. Name, Clock and NodeURL must be set. Its handler is
// safe for concurrent use once Start has returned.
type Instance struct {
	Name string
	// NodeURL is the base URL at which the local node accepts outgoing calls.
	NodeURL string
	Clock   clock.Clock
	// KeepHeaders records the headers of all requests.
	KeepHeaders bool

	behaviour atomic.Pointer[Behaviour]
	started   time.Time
	client    http.Client

	// mu guards received, its entries and the slots field.
	mu       sync.Mutex
	received []*ReceivedRequest
	// slots holds one element for each request being executed.
	slots chan struct{}

	// waiting and running are the current numbers of requests; completed, shed
	// and receivedTotal count since the start.
	waiting       atomic.Int64
	running       atomic.Int64
	completed     atomic.Int64
	shed          atomic.Int64
	receivedTotal atomic.Int64
}

// Start sets the behaviour and announces the instance to its node periodically
// until ctx ends.
func (u *Instance) Start(ctx context.Context, b Behaviour) {
	u.started = u.Clock.Now()
	u.client.Timeout = callTimeout
	u.client.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
	u.setBehaviour(b)
	go clock.Every(ctx, u.Clock, clock.FixedPeriod(announceInterval), u.announce)
	u.announce(ctx)
}

// setBehaviour replaces the behaviour and, if the number of slots changes, the
// slots.
func (u *Instance) setBehaviour(b Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	b.Slots = max(b.Slots, 1)
	if previous := u.behaviour.Load(); previous == nil || previous.Slots != b.Slots {
		u.slots = make(chan struct{}, b.Slots)
	}
	u.behaviour.Store(&b)
}

func (u *Instance) announce(ctx context.Context) {
	b := u.behaviour.Load()
	announcement := node.Announcement{State: node.UpstreamServing, Slots: b.Slots, Started: u.started.Format(time.RFC3339Nano)}
	if b.Leaving {
		announcement.State = node.UpstreamLeaving
	}
	body, _ := json.Marshal(announcement)
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, u.NodeURL+node.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := u.client.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// Handler returns the HTTP handler of the instance: the control endpoints under
// /-/ and the simulated service at all other paths.
func (u *Instance) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /-/behaviour", u.putBehaviour)
	mux.HandleFunc("GET /-/behaviour", u.getBehaviour)
	mux.HandleFunc("GET /-/received", u.getReceived)
	mux.HandleFunc("GET /-/stats", u.getStats)
	mux.HandleFunc("GET /-/health", u.health)
	mux.HandleFunc("/", u.serve)
	return mux
}

func (u *Instance) putBehaviour(w http.ResponseWriter, r *http.Request) {
	b := *u.behaviour.Load()
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.setBehaviour(b)
	u.announce(r.Context())
}

func (u *Instance) getBehaviour(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.behaviour.Load())
}

func (u *Instance) getReceived(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = json.NewEncoder(w).Encode(u.received)
}

func (u *Instance) getStats(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]int64{"received": u.receivedTotal.Load(), "ran": u.completed.Load(), "shed": u.shed.Load(), "running": u.running.Load()})
}

func (u *Instance) health(w http.ResponseWriter, _ *http.Request) {
	load := u.running.Load() + u.waiting.Load()
	if u.behaviour.Load().HideLoad {
		load = 0
	}
	_ = json.NewEncoder(w).Encode(map[string]int64{"load": load})
}

// record counts a request and keeps it in the list of received requests.
func (u *Instance) record(r *http.Request) *ReceivedRequest {
	entry := &ReceivedRequest{
		ReceivedAt: u.Clock.Now(), RequestID: r.Header.Get(call.HeaderRequestID), Organisation: r.Header.Get(call.HeaderOrganisation),
		Method: r.Method, URI: r.RequestURI, IdempotencyKey: r.Header.Get(call.HeaderIdempotencyKey),
	}
	if u.KeepHeaders {
		entry.Header = r.Header.Clone()
	}
	u.receivedTotal.Add(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.received) < maxReceivedRequests {
		u.received = append(u.received, entry)
	}
	return entry
}

func (u *Instance) serve(w http.ResponseWriter, r *http.Request) {
	entry := u.record(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b := u.behaviour.Load()
	if b.ShedAbove > 0 && u.waiting.Load() >= int64(b.ShedAbove) {
		u.shed.Add(1)
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	if !u.acquireSlot(r.Context()) {
		return
	}
	status := u.execute(r, b)
	u.releaseSlot()
	if r.Context().Err() != nil {
		return
	}
	u.completed.Add(1)
	u.mu.Lock()
	entry.Completed = true
	u.mu.Unlock()
	if status != http.StatusOK {
		http.Error(w, "failed", status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	padding, _ := strconv.Atoi(r.URL.Query().Get("size"))
	_ = json.NewEncoder(w).Encode(Response{
		Instance: u.Name, RequestID: entry.RequestID, Organisation: entry.Organisation, URI: r.RequestURI,
		Body: string(body), Padding: strings.Repeat("x", min(max(padding, 0), 4<<20)),
	})
}

// acquireSlot waits for a free slot. It returns false if ctx ends first.
func (u *Instance) acquireSlot(ctx context.Context) bool {
	u.mu.Lock()
	slots := u.slots
	u.mu.Unlock()
	u.waiting.Add(1)
	defer u.waiting.Add(-1)
	select {
	case slots <- struct{}{}:
		u.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Instance) releaseSlot() {
	u.mu.Lock()
	slots := u.slots
	u.mu.Unlock()
	u.running.Add(-1)
	select {
	case <-slots:
	default:
	}
}

// execute waits for the service time, makes the downstream calls of the request
// and returns the status of its response.
func (u *Instance) execute(r *http.Request, b *Behaviour) int {
	duration := b.ServiceTime
	if u.Clock.Now().Sub(u.started) < b.ColdStartDuration && b.ColdStartFactor > 1 {
		duration = time.Duration(float64(duration) * b.ColdStartFactor)
	}
	_ = clock.Sleep(r.Context(), u.Clock, duration)
	if b.FailStatus != 0 {
		return b.FailStatus
	}
	return u.callDownstream(r, b)
}

// callDownstream makes the downstream calls of a request, either concurrently or
// one after another until one fails. It returns 200, or 502 or above if a call
// failed.
func (u *Instance) callDownstream(r *http.Request, b *Behaviour) int {
	var group sync.WaitGroup
	var worst atomic.Int64
	worst.Store(http.StatusOK)
	for _, d := range b.Downstream {
		if !strings.HasPrefix(r.URL.Path, d.Prefix) {
			continue
		}
		group.Go(func() {
			if status := u.sendDownstream(r, d); status >= http.StatusBadRequest {
				worst.Store(int64(max(status, http.StatusBadGateway)))
			}
		})
		if !b.Parallel {
			group.Wait()
		}
		if worst.Load() != http.StatusOK {
			break
		}
	}
	group.Wait()
	return int(worst.Load())
}

// sendDownstream makes one downstream call through the node and returns the
// status of its response. Calls other than GET get a new idempotency key.
func (u *Instance) sendDownstream(r *http.Request, d DownstreamCall) int {
	req, err := http.NewRequestWithContext(r.Context(), d.Method, u.NodeURL+d.Target, nil)
	if err != nil {
		return http.StatusInternalServerError
	}
	req.Header.Set(call.HeaderContext, r.Header.Get(call.HeaderContext))
	if d.Method != http.MethodGet {
		req.Header.Set(call.HeaderIdempotencyKey, `"`+fleet.NewID()+`"`)
	}
	resp, err := u.client.Do(req)
	if err != nil {
		return http.StatusBadGateway
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

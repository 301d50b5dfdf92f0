package entrance

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/connection"
	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	keptConnCallers = 16
	keptConnCalls   = 120
)

// answerOf returns the status and the body with which an instance answers a request.
func answerOf(id string) (status int, body string) {
	sum := 0
	for _, c := range id {
		sum += int(c)
	}
	return []int{200, 201, 500, 504}[sum%4], strings.Repeat("answer to "+id+";", 1+sum*sum%5000)
}

// answerByID answers a request after a random time.
func answerByID(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(rand.N(4 * time.Millisecond))
	id := r.Header.Get("Id")
	status, body := answerOf(id)
	w.Header().Set("Id", id)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// sendOnKept sends one request and returns what is wrong with its response, or "". It reports
// whether the response is the instance's.
func sendOnKept(ctx context.Context, client *http.Client, url, id string, r *rand.Rand) (problem string, answered bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.IntN(5) == 0 {
		time.AfterFunc(time.Duration(r.IntN(5000))*time.Microsecond, cancel)
	}
	method, upload := http.MethodGet, ""
	if r.IntN(3) == 0 {
		method, upload = http.MethodPost, strings.Repeat("u", r.IntN(100_000))
	}
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(upload))
	if err != nil {
		return err.Error(), false
	}
	request.Host = "h"
	request.Header.Set("Id", id)
	response, err := client.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	got := response.Header.Get("Id")
	wantStatus, wantBody := answerOf(id)
	switch {
	case got != id:
		return fmt.Sprintf("request %s got status %d with the id %q", id, response.StatusCode, got), false
	case err != nil, response.Header.Get("Content-Type") == "application/problem+json":
		return "", false // broken off, or the node's own refusal
	case response.StatusCode != wantStatus || string(body) != wantBody:
		return fmt.Sprintf("request %s got status %d and %d bytes, not %d and %d", id, response.StatusCode, len(body), wantStatus, len(wantBody)), false
	}
	return "", true
}

// Callers keep their connections to the entrance, give up some requests, and send others behind
// them, while the links to the gates are cut. Guards against the answer to another request, a
// status of another answer, and a body that is not whole.
func TestCallersOnKeptConnectionsGetTheirOwnAnswers(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t, 3, routing.Route{Idempotent: true, AllowAnonymous: true, MaxAttempts: 3})
	cluster.answer = answerByID
	cluster.entrance.SetRetryLimits(RetryLimits{Ratio: 1, Slack: 100}, 1)
	server := httptest.NewUnstartedServer(cluster.entrance)
	tracker := &connection.Tracker{Clock: cluster.entrance.Clock}
	tracker.Track(server.Config)
	server.Start()
	t.Cleanup(server.Close)
	var answered atomic.Int64
	var group sync.WaitGroup
	for caller := range keptConnCallers {
		group.Go(func() {
			r := rand.New(rand.NewPCG(36, uint64(caller)))
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
			defer client.CloseIdleConnections()
			for i := range keptConnCalls {
				problem, ok := sendOnKept(t.Context(), client, server.URL+"/x", fmt.Sprintf("%d-%d", caller, i), r)
				if problem != "" {
					t.Error(problem)
				}
				if ok {
					answered.Add(1)
				}
				if r.IntN(100) == 0 {
					cluster.closeConns()
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d of %d requests answered", answered.Load(), keptConnCallers*keptConnCalls)
	is.True(answered.Load() > keptConnCallers*keptConnCalls/2)
}

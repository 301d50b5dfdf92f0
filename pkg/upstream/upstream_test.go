package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/problem"
	"github.com/plantainramp/plantainramp/pkg/retry"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/pkg/upstream"
)

// TestCallAfterStartDeadlineIsRefused handles a call after its start deadline, as happens
// if the sender is suspended before it sends the call. The call must not reach the
// upstream.
func TestCallAfterStartDeadlineIsRefused(t *testing.T) {
	is := is.New(t)
	ran := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran++ }))
	defer server.Close()
	fake := new(clock.Fake)
	fake.Advance(time.Hour)
	c := &call.Call{
		Method: http.MethodGet, Path: "/x", Route: &ticket.Route{}, Retries: retry.NewAllowance(0),
		StartBy: fake.Now().Add(-time.Millisecond), Deadline: fake.Now().Add(time.Second),
	}
	u := &upstream.Client{Address: server.Listener.Addr().String(), Clock: fake, MaxResponseBytes: 1 << 10}
	_, err := u.Handle(context.Background(), c)
	p, refused := err.(*problem.Error)
	is.True(refused)
	is.Equal(p.Execution, problem.NotExecuted)
	is.Equal(ran, 0)
	u.Unfenced = true // without the check, the call runs
	_, err = u.Handle(context.Background(), c)
	is.NoErr(err)
	is.Equal(ran, 1)
}

// TestTruncatedResponseIsNotReturned has the upstream close the connection in the middle
// of a response. The part received must not be returned as a response.
func TestTruncatedResponseIsNotReturned(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	c := &call.Call{
		Method: http.MethodGet, Path: "/x", Route: &ticket.Route{}, Retries: retry.NewAllowance(0),
		Deadline: time.Now().Add(time.Second),
	}
	u := &upstream.Client{Address: server.Listener.Addr().String(), Clock: clock.System{}, MaxResponseBytes: 1 << 10}
	response, err := u.Handle(context.Background(), c)
	p, refused := err.(*problem.Error)
	is.True(response == nil && refused)
	is.Equal(p.Execution, problem.ExecutionUnknown)
}

package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/problem"
)

const (
	// retryDelay is the wait before a retry. It is short, to simulate callers that retry
	// aggressively.
	retryDelay = 20 * time.Millisecond
	// maxInFlight bounds the requests in flight; further arrivals are not sent and count
	// as failed.
	maxInFlight = 20_000
)

// Outcome is the result of one request, including its retries.
type Outcome struct {
	Traffic *Traffic
	// Arrival is the time from the start of the measured time to the planned arrival.
	Arrival time.Duration
	// Latency is the time from the planned arrival to the end of the last try.
	Latency time.Duration
	// Succeeded reports whether a complete 200 response arrived within the max wait of a
	// try.
	Succeeded bool
	// Status is the HTTP status of the last try, 0 if it had no response.
	Status int
	// TryTimes are the send times of all tries, measured like Arrival.
	TryTimes []time.Duration
	// RefusedForRate reports whether a node refused the last try because the
	// organisation was over its rate.
	RefusedForRate bool
}

// Runner runs one scenario. Set Clock before use.
type Runner struct {
	Clock clock.Clock
	// Progress, if set, is called once per second with the time since the start of the
	// measured time, and the numbers of successful and of all recorded requests so far.
	Progress func(at time.Duration, succeeded, all int)

	client http.Client
	// start is the start of the measured time, after the warmup.
	start time.Time
	// inFlight is a semaphore with one element per request in flight.
	inFlight chan struct{}

	mu        sync.Mutex // guards outcomes and succeeded
	outcomes  []Outcome
	succeeded int
}

// Run sends the traffic and applies the triggers of the scenario. It returns the outcomes
// of requests that arrived in the measured time, or the first error of a trigger. Call it
// once.
func (r *Runner) Run(ctx context.Context, s *Scenario, m *Mesh) ([]Outcome, error) {
	r.client.Transport = &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}
	r.inFlight = make(chan struct{}, maxInFlight)
	r.start = r.Clock.Now().Add(s.Warmup)
	end := r.start.Add(s.Duration)
	ctx, cancel := context.WithDeadline(ctx, end.Add(10*time.Second))
	defer cancel()
	var streams, requests sync.WaitGroup
	for i := range s.Traffic {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		streams.Go(func() { r.runTraffic(ctx, s, m, &s.Traffic[i], rng, end, &requests) })
	}
	triggerErrs := make(chan error, 2*len(s.Triggers))
	for i := range s.Triggers {
		streams.Go(func() { triggerErrs <- r.runTrigger(ctx, m, &s.Triggers[i]) })
	}
	stop := r.startProgress(ctx)
	streams.Wait()
	requests.Wait()
	stop()
	close(triggerErrs)
	for err := range triggerErrs {
		if err != nil {
			return nil, err
		}
	}
	return r.outcomes, nil
}

// startProgress starts calling Progress, if set, and returns a function that stops it.
func (r *Runner) startProgress(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	if r.Progress != nil {
		go clock.Every(ctx, r.Clock, clock.FixedPeriod(time.Second), func(context.Context) {
			r.mu.Lock()
			succeeded, all := r.succeeded, len(r.outcomes)
			r.mu.Unlock()
			r.Progress(r.Clock.Now().Sub(r.start), succeeded, all)
		})
	}
	return cancel
}

// runTraffic sends requests with exponentially distributed gaps until end. It is an open
// loop: arrivals do not wait for responses.
func (r *Runner) runTraffic(ctx context.Context, s *Scenario, m *Mesh, t *Traffic, rng *rand.Rand, end time.Time, requests *sync.WaitGroup) {
	next := r.Clock.Now()
	for number := 0; next.Before(end); number++ {
		rate := t.Rate * s.surgeFactor(t, next.Sub(r.start))
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if clock.Sleep(ctx, r.Clock, next.Sub(r.Clock.Now())) != nil {
			return
		}
		firstNode := rng.IntN(len(m.CallerURLs))
		arrival := next
		select {
		case r.inFlight <- struct{}{}:
			requests.Go(func() {
				r.sendWithRetries(ctx, m, t, number, firstNode, arrival)
				<-r.inFlight
			})
		default:
			r.record(Outcome{Traffic: t, Arrival: arrival.Sub(r.start)})
		}
	}
}

// surgeFactor returns the factor by which surges multiply the arrival rate of t at a time.
func (s *Scenario) surgeFactor(t *Traffic, at time.Duration) float64 {
	factor := 1.0
	for _, trigger := range s.Triggers {
		if trigger.Kind == TriggerSurge && strings.HasPrefix(t.Name, trigger.TrafficPrefix) && at >= trigger.From && at < trigger.Until {
			factor *= trigger.ArrivalFactor
		}
	}
	return factor
}

// sendWithRetries sends one request, retries it until it succeeds, is refused for rate or
// has no retries left, and records the outcome. Each try goes to the next node.
func (r *Runner) sendWithRetries(ctx context.Context, m *Mesh, t *Traffic, number, firstNode int, arrival time.Time) {
	outcome := Outcome{Traffic: t, Arrival: arrival.Sub(r.start)}
	key := fmt.Sprintf("%q", fleet.NewID())
	for try := 0; try <= t.MaxRetries; try++ {
		if try > 0 && clock.Sleep(ctx, r.Clock, retryDelay) != nil {
			break
		}
		outcome.TryTimes = append(outcome.TryTimes, r.Clock.Now().Sub(r.start))
		outcome.Succeeded, outcome.Status, outcome.RefusedForRate = r.sendOnce(ctx, m, t, number, m.CallerURLs[(firstNode+try)%len(m.CallerURLs)], key)
		if outcome.Succeeded || outcome.RefusedForRate {
			break
		}
	}
	outcome.Latency = r.Clock.Now().Sub(arrival)
	r.record(outcome)
}

// record adds an outcome, unless its request arrived during the warmup.
func (r *Runner) record(outcome Outcome) {
	if outcome.Arrival < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, outcome)
	if outcome.Succeeded {
		r.succeeded++
	}
}

// sendOnce makes one try. Status is 0 without a response. The response succeeded if it is
// a 200 with a complete body, which the stand-ins end with "}\n".
func (r *Runner) sendOnce(ctx context.Context, m *Mesh, t *Traffic, number int, node, key string) (succeeded bool, status int, refusedForRate bool) {
	ctx, cancel := context.WithTimeout(ctx, t.MaxWait)
	defer cancel()
	path := strings.ReplaceAll(t.Path, "%d", strconv.Itoa(number))
	req, err := http.NewRequestWithContext(ctx, t.Method, node+path, nil)
	if err != nil {
		return false, 0, false
	}
	req.Header.Set("Authorization", "Bearer "+m.CallerKeys[t.Organisation])
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(t.MaxWait.Milliseconds(), 10))
	if t.Action {
		req.Header.Set(call.HeaderIdempotencyKey, key)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false, 0, false
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, resp.StatusCode, false
	}
	refused := resp.Header.Get("Content-Type") == problem.ContentType
	refusedForRate = refused && resp.StatusCode == http.StatusTooManyRequests
	return resp.StatusCode == http.StatusOK && bytes.HasSuffix(raw, []byte("}\n")), resp.StatusCode, refusedForRate
}

// runTrigger applies a trigger at its start and reverts it at its end. It does nothing for
// a surge, which surgeFactor applies.
func (r *Runner) runTrigger(ctx context.Context, m *Mesh, t *Trigger) error {
	if t.Kind == TriggerSurge {
		return nil
	}
	for _, step := range []struct {
		at   time.Duration
		body string
	}{{t.From, t.SetBody}, {t.Until, t.ResetBody}} {
		if clock.Sleep(ctx, r.Clock, r.start.Add(step.at).Sub(r.Clock.Now())) != nil {
			return eris.Wrap(ctx.Err(), "wait for trigger "+t.Name)
		}
		if err := r.applyTrigger(ctx, m, t, step.body); err != nil {
			return err
		}
	}
	return nil
}

// applyTrigger sends a body to the log stand-in, or to all upstream stand-ins whose name
// has the prefix of the trigger.
func (r *Runner) applyTrigger(ctx context.Context, m *Mesh, t *Trigger, body string) error {
	if t.Kind == TriggerLog {
		return r.put(ctx, m.LogURL+"/faults", body)
	}
	for name, address := range m.UpstreamURLs {
		if !strings.HasPrefix(name, t.UpstreamPrefix) {
			continue
		}
		if err := r.put(ctx, address+"/-/behaviour", body); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) put(ctx context.Context, url, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create trigger request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send trigger request")
	}
	return eris.Wrap(resp.Body.Close(), "close trigger response")
}

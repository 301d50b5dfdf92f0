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
	// retryDelay is the wait of a caller that retries hard.
	retryDelay = 20 * time.Millisecond
	// maxInFlight bounds the requests under way; arrivals beyond count as failed.
	maxInFlight = 20_000
)

// Outcome is what became of one request with all its repeats.
type Outcome struct {
	Traffic *Traffic
	// Arrival is the arrival, counted from the start of the measured time.
	Arrival time.Duration
	// Latency is the time to the last answer.
	Latency time.Duration
	// Succeeded is true where a whole good answer came while the caller waited.
	Succeeded bool
	// Status is that of the last answer, 0 for none.
	Status int
	// TryTimes holds when each try was sent, counted like At.
	TryTimes []time.Duration
	// RefusedForRate is true where the last answer was a refusal for rate.
	RefusedForRate bool
}

// Runner plays a scenario. Clock must be set.
type Runner struct {
	Clock clock.Clock
	// Progress, where set, is told once a second what was seen so far.
	Progress func(at time.Duration, succeeded, all int)

	client   http.Client
	start    time.Time
	inFlight chan struct{}

	mu        sync.Mutex
	outcomes  []Outcome
	succeeded int
}

// Run plays the scenario and returns the outcomes of the measured time.
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

func (r *Runner) startProgress(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	if r.Progress != nil {
		go clock.Every(ctx, r.Clock, clock.Fixed(time.Second), func(context.Context) {
			r.mu.Lock()
			succeeded, all := r.succeeded, len(r.outcomes)
			r.mu.Unlock()
			r.Progress(r.Clock.Now().Sub(r.start), succeeded, all)
		})
	}
	return cancel
}

// runTraffic sends arrivals with exponential gaps, whatever becomes of them.
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

// surgeFactor returns by how much surges multiply the traffic at a time.
func (s *Scenario) surgeFactor(t *Traffic, at time.Duration) float64 {
	factor := 1.0
	for _, trigger := range s.Triggers {
		if trigger.Kind == TriggerSurge && strings.HasPrefix(t.Name, trigger.TrafficPrefix) && at >= trigger.From && at < trigger.Until {
			factor *= trigger.ArrivalFactor
		}
	}
	return factor
}

// sendWithRetries sends one sendWithRetries and its repeats, each to the next node.
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

// sendOnce makes one try.
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

// runTrigger applies one runTrigger and takes it back.
func (r *Runner) runTrigger(ctx context.Context, m *Mesh, t *Trigger) error {
	if t.Kind == TriggerSurge {
		return nil
	}
	for _, step := range []struct {
		at   time.Duration
		body string
	}{{t.From, t.SetBody}, {t.Until, t.ResetBody}} {
		if clock.Sleep(ctx, r.Clock, r.start.Add(step.at).Sub(r.Clock.Now())) != nil {
			return eris.Wrap(ctx.Err(), "trigger "+t.Name)
		}
		if err := r.applyTrigger(ctx, m, t, step.body); err != nil {
			return err
		}
	}
	return nil
}

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
		return eris.Wrap(err, "make trigger request")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "send trigger")
	}
	return eris.Wrap(resp.Body.Close(), "close trigger answer")
}

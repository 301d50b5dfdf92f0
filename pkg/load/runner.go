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
	// hardRetryPause is the wait of a caller that retries hard.
	hardRetryPause = 20 * time.Millisecond
	// maxOpen bounds the requests under way; arrivals beyond count as failed.
	maxOpen = 20_000
)

// Outcome is what became of one request with all its repeats.
type Outcome struct {
	Traffic *Traffic
	// At is the arrival, counted from the start of the measured time.
	At time.Duration
	// Took is the time to the last answer.
	Took time.Duration
	// Whole is true where a whole good answer came while the caller waited.
	Whole bool
	// Status is that of the last answer, 0 for none.
	Status int
	// Tries holds when each try was sent, counted like At.
	Tries []time.Duration
	// OverRate is true where the last answer was a refusal for rate.
	OverRate bool
}

// Runner plays a scenario. Clock must be set.
type Runner struct {
	Clock clock.Clock
	// Progress, where set, is told once a second what was seen so far.
	Progress func(at time.Duration, whole, all int)

	client http.Client
	began  time.Time
	open   chan struct{}

	mu       sync.Mutex
	outcomes []Outcome
	whole    int
}

// Run plays the scenario and returns the outcomes of the measured time.
func (r *Runner) Run(ctx context.Context, s *Scenario, m *Mesh) ([]Outcome, error) {
	r.client.Transport = &http.Transport{MaxIdleConnsPerHost: 2048, DisableCompression: true}
	r.open = make(chan struct{}, maxOpen)
	r.began = r.Clock.Now().Add(s.Warmup)
	end := r.began.Add(s.Duration)
	ctx, cancel := context.WithDeadline(ctx, end.Add(10*time.Second))
	defer cancel()
	var streams, requests sync.WaitGroup
	for i := range s.Traffic {
		seed := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		streams.Go(func() { r.stream(ctx, s, m, &s.Traffic[i], seed, end, &requests) })
	}
	failed := make(chan error, 2*len(s.Triggers))
	for i := range s.Triggers {
		streams.Go(func() { failed <- r.trigger(ctx, m, &s.Triggers[i]) })
	}
	stop := r.report(ctx)
	streams.Wait()
	requests.Wait()
	stop()
	close(failed)
	for err := range failed {
		if err != nil {
			return nil, err
		}
	}
	return r.outcomes, nil
}

func (r *Runner) report(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	if r.Progress != nil {
		go clock.Every(ctx, r.Clock, clock.FixedPeriod(time.Second), func(context.Context) {
			r.mu.Lock()
			whole, all := r.whole, len(r.outcomes)
			r.mu.Unlock()
			r.Progress(r.Clock.Now().Sub(r.began), whole, all)
		})
	}
	return cancel
}

// stream sends arrivals with exponential gaps, whatever becomes of them.
func (r *Runner) stream(ctx context.Context, s *Scenario, m *Mesh, t *Traffic, seed *rand.Rand, end time.Time, requests *sync.WaitGroup) {
	next := r.Clock.Now()
	for n := 0; next.Before(end); n++ {
		rate := t.Rate * s.factor(t, next.Sub(r.began))
		next = next.Add(time.Duration(seed.ExpFloat64() / rate * float64(time.Second)))
		if clock.Sleep(ctx, r.Clock, next.Sub(r.Clock.Now())) != nil {
			return
		}
		first := seed.IntN(len(m.Callers))
		arrival := next
		select {
		case r.open <- struct{}{}:
			requests.Go(func() {
				r.request(ctx, m, t, n, first, arrival)
				<-r.open
			})
		default:
			r.note(Outcome{Traffic: t, At: arrival.Sub(r.began)})
		}
	}
}

// factor returns by how much surges multiply the traffic at a time.
func (s *Scenario) factor(t *Traffic, at time.Duration) float64 {
	factor := 1.0
	for _, trigger := range s.Triggers {
		if trigger.Kind == TriggerSurge && strings.HasPrefix(t.Name, trigger.Traffic) && at >= trigger.From && at < trigger.Until {
			factor *= trigger.Factor
		}
	}
	return factor
}

// request sends one request and its repeats, each to the next node.
func (r *Runner) request(ctx context.Context, m *Mesh, t *Traffic, n, first int, arrival time.Time) {
	out := Outcome{Traffic: t, At: arrival.Sub(r.began)}
	key := fmt.Sprintf("%q", fleet.NewID())
	for try := 0; try <= t.Retries; try++ {
		if try > 0 && clock.Sleep(ctx, r.Clock, hardRetryPause) != nil {
			break
		}
		out.Tries = append(out.Tries, r.Clock.Now().Sub(r.began))
		out.Whole, out.Status, out.OverRate = r.send(ctx, m, t, n, m.Callers[(first+try)%len(m.Callers)], key)
		if out.Whole || out.OverRate {
			break
		}
	}
	out.Took = r.Clock.Now().Sub(arrival)
	r.note(out)
}

func (r *Runner) note(out Outcome) {
	if out.At < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, out)
	if out.Whole {
		r.whole++
	}
}

// send makes one try.
func (r *Runner) send(ctx context.Context, m *Mesh, t *Traffic, n int, node, key string) (whole bool, status int, overRate bool) {
	ctx, cancel := context.WithTimeout(ctx, t.Patience)
	defer cancel()
	path := strings.ReplaceAll(t.Path, "%d", strconv.Itoa(n))
	req, err := http.NewRequestWithContext(ctx, t.Method, node+path, nil)
	if err != nil {
		return false, 0, false
	}
	req.Header.Set("Authorization", "Bearer "+m.Keys[t.Organisation])
	req.Header.Set(call.HeaderDeadline, strconv.FormatInt(t.Patience.Milliseconds(), 10))
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
	overRate = refused && resp.StatusCode == http.StatusTooManyRequests
	return resp.StatusCode == http.StatusOK && bytes.HasSuffix(raw, []byte("}\n")), resp.StatusCode, overRate
}

// trigger applies one trigger and takes it back.
func (r *Runner) trigger(ctx context.Context, m *Mesh, t *Trigger) error {
	if t.Kind == TriggerSurge {
		return nil
	}
	for _, step := range []struct {
		at   time.Duration
		body string
	}{{t.From, t.Set}, {t.Until, t.Reset}} {
		if clock.Sleep(ctx, r.Clock, r.began.Add(step.at).Sub(r.Clock.Now())) != nil {
			return eris.Wrap(ctx.Err(), "trigger "+t.Name)
		}
		if err := r.apply(ctx, m, t, step.body); err != nil {
			return err
		}
	}
	return nil
}

func (r *Runner) apply(ctx context.Context, m *Mesh, t *Trigger, body string) error {
	if t.Kind == TriggerLog {
		return r.put(ctx, m.Log+"/faults", body)
	}
	for name, address := range m.Upstreams {
		if !strings.HasPrefix(name, t.Upstream) {
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

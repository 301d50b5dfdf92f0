package emulator

import (
	"math"
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

const (
	// immediateRetryDelay is the delay of a client that retries at once. It is also
	// the shortest delay after a refusal without a retry delay.
	immediateRetryDelay = 50 * time.Millisecond
	// maxRetryDelayDivisor gives the longest retry delay that a client accepts, or the
	// longest that it waits, as a share of its remaining time, and bounds the random delay after a refusal
	// without a retry delay to the same share of its timeout.
	maxRetryDelayDivisor = 3
	// clientLatency is the one-way latency between clients and nodes.
	clientLatency = 8 * time.Millisecond
)

type (
	// slotTimes holds the slot time that one try has used at each service.
	slotTimes struct {
		byService map[fleet.ServiceName]time.Duration
	}

	// request is one request of a client, including its retries.
	request struct {
		class     *Class
		startedAt time.Duration
		// immediateRetries is the number of retries that the client still makes at
		// once, whatever the retry delay; retries counts those made so far.
		immediateRetries int
		retries          int
		// nodeIndex is the index of the node that receives the next try.
		nodeIndex int
	}

	// totals are sums over the requests that started in one second, or over all
	// requests of one class.
	totals struct {
		maxWorth, worth    float64
		started, succeeded int
		// bottleneckTime is the slot time at the bottleneck of the requests that
		// succeeded, rather than started, in this second.
		bottleneckTime time.Duration
	}

	// clients simulates the clients and counts the results of their requests.
	clients struct {
		// tries counts the tries sent. Its value also numbers the requests.
		tries      uint64
		bottleneck fleet.ServiceName
		seconds    []totals
		perClass   map[*Class]*totals
		// usefulTime and wastedTime are the slot times of all tries that succeeded
		// and of all that failed.
		usefulTime time.Duration
		wastedTime time.Duration
		// refused and failed count tries, refusedRetries the refused ones that were
		// retries.
		refused        int
		refusedRetries int
		failed         int
	}
)

func (s *slotTimes) add(service fleet.ServiceName, d time.Duration) { s.byService[service] += d }

// scheduleArrival schedules the next request of a class, and then all later ones.
// Their intervals have an exponential distribution.
func (f *Fleet) scheduleArrival(c *Class) {
	if c.Rate <= 0 {
		return
	}
	rate := c.Rate * f.Load.arrivalFactor(f.now)
	interval := time.Duration(f.random.ExpFloat64() / math.Max(rate, 1e-3) * float64(time.Second))
	// The interval is drawn anew at least every 100 ms, so that the start of a
	// surge is not missed.
	f.after(min(interval, 100*time.Millisecond), func() {
		if interval <= 100*time.Millisecond {
			f.startRequest(c)
		}
		f.scheduleArrival(c)
	})
}

// startRequest starts a client request at a random node.
func (f *Fleet) startRequest(c *Class) {
	r := &request{class: c, startedAt: f.now, nodeIndex: f.random.IntN(len(f.Nodes))}
	for _, a := range f.Load.Abuse {
		if a.contains(f.now) && f.random.Float64() < a.ClientFraction {
			r.immediateRetries = a.ImmediateRetries
		}
	}
	for _, t := range f.totalsOf(r) {
		t.maxWorth += c.Worth
		t.started++
	}
	f.sendRequest(r)
}

// totalsOf returns the totals that count a request: of its second and its class.
func (f *Fleet) totalsOf(r *request) []*totals {
	for len(f.seconds) <= int(r.startedAt/time.Second) {
		f.seconds = append(f.seconds, totals{})
	}
	if f.perClass[r.class] == nil {
		f.perClass[r.class] = &totals{}
	}
	return []*totals{&f.seconds[r.startedAt/time.Second], f.perClass[r.class]}
}

// sendRequest sends a request to its node, which either refuses it or executes
// it.
func (f *Fleet) sendRequest(r *request) {
	n := f.Nodes[r.nodeIndex]
	f.tries++
	f.after(clientLatency, func() {
		if f.hooks.OnArrival != nil {
			f.hooks.OnArrival(n, r.class)
		}
		remaining := r.startedAt + r.class.Timeout - f.now
		if f.hooks.Admit != nil {
			if admitted, retryAfter := f.hooks.Admit(n, r.class, f.tries, remaining); !admitted {
				f.handleRefusal(r, retryAfter)
				return
			}
		}
		f.executeRequest(r, n, remaining)
	})
}

// executeRequest executes a request that node n has admitted, and records its
// outcome.
func (f *Fleet) executeRequest(r *request, n *Node, remaining time.Duration) {
	slotTime := &slotTimes{byService: map[fleet.ServiceName]time.Duration{}}
	f.startCall(&call{
		class: r.class, request: f.tries, expires: f.now + remaining, origin: n, tried: map[*Node]bool{}, slotTime: slotTime, priority: r.class.Priority,
		onEnd: func(outcome callOutcome) {
			f.after(clientLatency, func() { f.recordOutcome(r, outcome, slotTime) })
		},
	})
}

// recordOutcome counts the result of one try.
func (f *Fleet) recordOutcome(r *request, outcome callOutcome, slotTime *slotTimes) {
	total := time.Duration(0)
	for _, d := range slotTime.byService {
		total += d
	}
	switch outcome {
	case outcomeRefused:
		f.handleRefusal(r, immediateRetryDelay+time.Duration(f.random.Float64()*float64(r.class.Timeout)/maxRetryDelayDivisor))
		return
	case outcomeFailed:
		f.failed++
		f.wastedTime += total
		return
	}
	f.usefulTime += total
	worth := r.class.LateWorth
	if f.now-r.startedAt <= r.class.TargetLatency {
		worth = r.class.Worth
	}
	for _, t := range f.totalsOf(r) {
		t.worth += worth
		t.succeeded++
	}
	for len(f.seconds) <= int(f.now/time.Second) {
		f.seconds = append(f.seconds, totals{})
	}
	f.seconds[f.now/time.Second].bottleneckTime += slotTime.byService[f.bottleneck]
}

// handleRefusal counts a refused try and schedules a retry if the client makes
// one. The client retries at once or after retryAfter.
func (f *Fleet) handleRefusal(r *request, retryAfter time.Duration) {
	f.refused++
	if r.retries > 0 {
		f.refusedRetries++
	}
	remaining := r.startedAt + r.class.Timeout - f.now
	wait := time.Duration(-1)
	switch {
	case r.immediateRetries > 0:
		r.immediateRetries--
		wait = immediateRetryDelay
	case r.retries >= r.class.MaxRetries:
	case retryAfter <= remaining/maxRetryDelayDivisor:
		wait = retryAfter
	case f.Load.EarlyReturns:
		wait = remaining / maxRetryDelayDivisor
	}
	if wait < 0 || remaining <= wait {
		return
	}
	r.retries++
	f.after(wait+clientLatency, func() {
		if f.Load.EarlyReturns {
			r.nodeIndex = f.random.IntN(len(f.Nodes))
		}
		f.sendRequest(r)
	})
}

package entrance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/retrybudget"
)

const (
	// scheduleTime is the virtual time of one schedule, budgetWindow the window in which
	// the retries of all nodes are bounded.
	scheduleTime = 40 * time.Second
	budgetWindow = 10 * time.Second
	// scheduleCallTime is the mean time of one attempt.
	scheduleCallTime = 30 * time.Millisecond
)

type (
	// step is a piece of work at a virtual time.
	step struct {
		at time.Duration
		do func()
	}

	steps []step

	// phase is a time in which a service rejects or loses a fraction of its calls, with a
	// multiple of the usual requests.
	phase struct {
		until time.Duration
		// rejected and lost are by service.
		rejected, lost []float64
		load           float64
		// refused is the fraction of the calls that reach no instance.
		refused float64
	}

	// arrival is an attempt that reached an instance.
	arrival struct {
		at time.Duration
		// extra reports that the arrival counts against the retry budget.
		extra bool
	}

	// schedule plays random requests through a chain of services. Each service has its
	// nodes, with a budget each, and each run makes calls to the next service.
	schedule struct {
		random *rand.Rand
		limits RetryLimits
		now    time.Duration
		queue  steps
		phases []phase
		nodes  int
		// calls is the number of calls that a run of each service makes to the next one.
		calls       []int
		maxAttempts int
		// knownFraction is the fraction of the calls whose run is known.
		knownFraction float64
		// budgets, running and repeated are by service and node of the caller.
		budgets  [][]retryBudget
		running  [][]int
		repeated [][]int
		arrivals [][]arrival
	}
)

func (s steps) Len() int           { return len(s) }
func (s steps) Less(i, j int) bool { return s[i].at < s[j].at }
func (s steps) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *steps) Push(x any)        { *s = append(*s, x.(step)) }

func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

func newSchedule(seed uint64) *schedule {
	r := rand.New(rand.NewPCG(seed, 7))
	depth := 2 + r.IntN(3)
	s := &schedule{
		random: r, limits: RetryLimits{Ratio: 0.2, Slack: 95}, nodes: []int{1, 3, 13}[r.IntN(3)], maxAttempts: 2 + r.IntN(2),
		knownFraction: []float64{0, 0.5, 0.9, 1}[r.IntN(4)], arrivals: make([][]arrival, depth),
	}
	for range depth {
		s.calls = append(s.calls, 1+r.IntN(4))
		budgets := make([]retryBudget, s.nodes)
		for i := range budgets {
			// All nodes of the chain share the slack.
			budgets[i].setLimits(s.limits, s.nodes*depth)
		}
		s.budgets = append(s.budgets, budgets)
		s.running, s.repeated = append(s.running, make([]int, s.nodes)), append(s.repeated, make([]int, s.nodes))
	}
	for at := time.Duration(0); at < scheduleTime; {
		at += time.Duration((0.5 + 6*r.Float64()) * float64(time.Second))
		p := phase{until: at, load: []float64{0, 0.2, 1, 1, 4}[r.IntN(5)], refused: []float64{0, 0, 0.5}[r.IntN(3)]}
		for range depth {
			p.rejected = append(p.rejected, []float64{0, 0, 0.45, 1}[r.IntN(4)])
			p.lost = append(p.lost, []float64{0, 0, 0, 0.3, 0.8}[r.IntN(5)])
		}
		s.phases = append(s.phases, p)
	}
	return s
}

func (s *schedule) after(d time.Duration, do func()) { heap.Push(&s.queue, step{s.now + d, do}) }

func (s *schedule) phase() *phase {
	for i := range s.phases {
		if s.now < s.phases[i].until {
			return &s.phases[i]
		}
	}
	return &s.phases[len(s.phases)-1]
}

func (s *schedule) play() {
	var next func()
	next = func() {
		s.call(0, s.random.IntN(s.nodes), 1, false, false, func(bool) {})
		if s.now < scheduleTime {
			s.after(time.Duration(s.random.ExpFloat64()/(5+150*s.phase().load)*float64(time.Second)), next)
		}
	}
	next()
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(step)
		s.now = e.at
		e.do()
	}
}

// call makes a call to a service from a node, as the entrance does. repeat reports whether
// the run that makes it is a repeat, marked whether its node knows that. done is called with
// whether the call succeeded.
func (s *schedule) call(service, node, position int, repeat, marked bool, done func(bool)) {
	b, name := &s.budgets[service][node], fleet.ServiceName(fmt.Sprint(service))
	known := service == 0 || s.random.Float64() < s.knownFraction
	fraction, markedRepeat := 0.0, false
	switch {
	case known && marked:
		fraction, markedRepeat = 1, true
	case !known && s.running[service-1][node] > 0:
		fraction = float64(s.repeated[service-1][node]) / float64(s.running[service-1][node])
		markedRepeat = s.random.Float64() < fraction
	}
	added := b.addCall(name, fraction)
	if s.random.Float64() < s.phase().refused {
		b.takeBack(name, added)
		done(false)
		return
	}
	remaining := 0
	if service > 0 {
		remaining = s.calls[service-1] - position
	}
	retry := retrybudget.Call{Known: known, Remaining: remaining}
	s.attempt(service, name, b, 1, repeat, repeat, markedRepeat, retry, done)
}

// attempt sends a call to an instance.
func (s *schedule) attempt(service int, name fleet.ServiceName, b *retryBudget, number int, extra, repeat, marked bool, c retrybudget.Call, done func(bool)) {
	s.arrivals[service] = append(s.arrivals[service], arrival{s.now, extra})
	again := func() {
		if number >= s.maxAttempts || b.takeFor(name, c) != RetrySpent {
			done(false)
			return
		}
		s.attempt(service, name, b, number+1, true, true, true, c, done)
	}
	p := s.phase()
	if s.random.Float64() < p.rejected[service] {
		s.after(time.Millisecond, again)
		return
	}
	node, lost := s.random.IntN(s.nodes), s.random.Float64() < p.lost[service]
	s.running[service][node]++
	if marked {
		s.repeated[service][node]++
	}
	s.run(service, node, 1, repeat, marked, func(succeeded bool) {
		s.running[service][node]--
		if marked {
			s.repeated[service][node]--
		}
		if lost {
			again()
			return
		}
		done(succeeded)
	})
}

// run makes the calls of a run one after the other.
func (s *schedule) run(service, node, position int, repeat, marked bool, done func(bool)) {
	s.after(time.Duration(s.random.ExpFloat64()*float64(scheduleCallTime)), func() {
		if service+1 == len(s.calls) || position > s.calls[service] {
			done(true)
			return
		}
		s.call(service+1, node, position, repeat, marked, func(succeeded bool) {
			if !succeeded {
				done(false)
				return
			}
			s.run(service, node, position+1, repeat, marked, done)
		})
	})
}

// worstWindow returns the highest fraction of the limit that the extra arrivals at a service
// reach in any window.
func (s *schedule) worstWindow(service int) float64 {
	worst, first, requests, extra := 0.0, 0, 0, 0
	arrivals := s.arrivals[service]
	for _, a := range arrivals {
		if a.extra {
			extra++
		} else {
			requests++
		}
		for ; a.at-arrivals[first].at > budgetWindow; first++ {
			if arrivals[first].extra {
				extra--
			} else {
				requests--
			}
		}
		worst = max(worst, float64(extra)/(s.limits.Ratio*float64(requests)+s.limits.Slack))
	}
	return worst
}

// Requests pass through chains of services that reject, lose and refuse calls in random
// phases, while the load changes. Guards against retries of all nodes together, and calls
// of retried runs, that exceed the limit of a service in any window.
func TestRandomSchedulesStayWithinBudget(t *testing.T) {
	is := is.New(t)
	worst := 0.0
	for seed := range uint64(60) {
		s := newSchedule(seed)
		s.play()
		for service := range s.arrivals {
			fraction := s.worstWindow(service)
			if fraction > 1 {
				t.Errorf("seed %d, service %d: %.2f of the limit (known %.1f, nodes %d, calls %v, attempts %d)", seed, service, fraction, s.knownFraction, s.nodes, s.calls, s.maxAttempts)
			}
			worst = max(worst, fraction)
		}
	}
	t.Logf("worst window: %.3f of the limit", worst)
	is.True(worst > 0.5) // schedules that use no retries show nothing
}

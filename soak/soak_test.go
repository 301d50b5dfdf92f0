package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/platform"
	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// usually is how long faults are played; SOAK holds another duration.
	usually = 8 * time.Second
	// usualSeed is the order of faults; SOAK_SEED holds another.
	usualSeed = 1
	// recovery is the time in which the users want goodput back after a trigger,
	// recovered the part of it.
	recovery  = 5 * time.Second
	recovered = 0.95
	// pace is the time between two requests at one machine.
	pace = 12 * time.Millisecond
)

// told is what a client was told of one request.
type told struct {
	id, path, body string
	action         bool
	status         int
	began          time.Time
}

// clients send requests at every machine until ctx ends.
type clients struct {
	world *world
	mu    sync.Mutex
	told  []told
	group sync.WaitGroup
}

func (c *clients) run(ctx context.Context) {
	for i, m := range c.world.machines {
		c.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.group.Go(func() { c.one(m, fmt.Sprintf("s%d-%d", i, n), n%2 == 1) })
				time.Sleep(pace)
			}
		})
	}
}

func (c *clients) one(m *machine, id string, action bool) {
	t := told{id: id, action: action, began: time.Now(), path: "/homes/" + id}
	method := "GET"
	if action {
		method, t.path = "POST", "/swaps/"+id
	}
	t.status, t.body = m.send(context.Background(), method, t.path, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told = append(c.told, t)
}

// goodput returns the part of the requests that began in a time and succeeded.
func (c *clients) goodput(from, until time.Time) (part float64, asked int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	good := 0
	for _, t := range c.told {
		if t.began.Before(from) || !t.began.Before(until) {
			continue
		}
		asked++
		if t.status == 200 {
			good++
		}
	}
	return float64(good) / float64(max(asked, 1)), asked
}

// faults returns what may happen; each ends by itself.
func faults(w *world, r *rand.Rand) map[string]func() {
	one := func() *machine { return w.machines[r.IntN(len(w.machines))] }
	short := func() time.Duration { return time.Duration(200+r.IntN(1200)) * time.Millisecond }
	version := 1
	return map[string]func(){
		"kill": func() {
			m := one()
			w.end(m, syscall.SIGKILL)
			time.Sleep(short() / 2)
			w.start(m)
		},
		"stop": func() {
			m := one()
			w.end(m, syscall.SIGTERM)
			w.start(m)
		},
		"pause": func() { one().pause(short()) },
		"store": func() {
			w.store.SetFault(platformtest.StoreFault(1 + r.IntN(3)))
			time.Sleep(short())
			w.store.SetFault(platformtest.FaultNone)
		},
		"forget":    func() { w.store.Truncate(platform.TopicDirectory) },
		"lost":      func() { one().server.ResponsesToAbort.Store(int64(1 + r.IntN(5))) },
		"configure": func() { version++; w.configure(version) },
		"herd": func() {
			for _, m := range w.machines {
				w.end(m, syscall.SIGKILL)
			}
			for _, m := range w.machines {
				w.start(m)
			}
		},
	}
}

// play has faults happen one after the other, and returns what happened.
func play(w *world, r *rand.Rand, d time.Duration) []string {
	list := faults(w, r)
	names := []string{"kill", "stop", "pause", "store", "forget", "lost", "configure", "herd", "kill", "stop", "pause"}
	var happened []string
	for began := time.Now(); time.Since(began) < d; {
		name := names[r.IntN(len(names))]
		happened = append(happened, fmt.Sprintf("%.1fs %s", time.Since(began).Seconds(), name))
		list[name]()
		time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
	}
	return happened
}

func seed(t *testing.T) uint64 {
	text := os.Getenv("SOAK_SEED")
	if text == "" {
		return usualSeed
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("SOAK_SEED=%q is no number", text)
	}
	return number
}

func length(t *testing.T) time.Duration {
	text := os.Getenv("SOAK")
	if text == "" {
		return usually
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatalf("SOAK=%q is no duration, such as 10m", text)
	}
	return d
}

// judge compares what clients were told with what ran.
func judge(w *world, ran map[string]int, list []told) {
	for _, t := range list {
		runs := ran[t.id]
		switch {
		case t.action && runs > 1:
			w.fault("action %s ran %d times", t.id, runs)
		case t.action && runs > 0 && (t.status == 429 || t.status == 503):
			w.fault("action %s was refused with %d and ran", t.id, t.status)
		case t.status == 200 && runs == 0:
			w.fault("request %s succeeded and never ran", t.id)
		case t.status == 200 && !strings.Contains(t.body, " "+t.path+" "+t.id+" "):
			w.fault("request %s got another answer: %q", t.id, t.body)
		case t.status >= 400 && t.status < 429 && t.status != 408 && t.status != 421:
			w.fault("request %s was denied with %d", t.id, t.status)
		}
	}
}

// What the soak judges by must find what it is there for.
func TestJudge(t *testing.T) {
	action := func(id string, status int) told {
		return told{id: id, path: "/swaps/" + id, action: true, status: status, body: "i POST /swaps/" + id + " " + id + " 0"}
	}
	for name, c := range map[string]struct {
		runs int
		told told
		want int
	}{
		"sound":          {1, action("a", 200), 0},
		"refused":        {0, action("a", 503), 0},
		"fate unknown":   {1, action("a", 502), 0},
		"twice":          {2, action("a", 502), 1},
		"refused, ran":   {1, action("a", 503), 1},
		"made up":        {0, action("a", 200), 1},
		"another answer": {1, told{id: "a", path: "/swaps/a", status: 200, body: "i POST /swaps/b b 0"}, 1},
		"denied":         {0, action("a", 401), 1},
	} {
		t.Run(name, func(t *testing.T) {
			w := &world{}
			judge(w, map[string]int{"a": c.runs}, []told{c.told})
			is.New(t).Equal(len(w.wrong), c.want)
		})
	}
}

// Nodes as processes of their own are killed, stopped, suspended and started
// again while the store fails and answers are lost: no action runs twice, none
// that was refused runs, no success is made up, no node ends by itself or
// outlives its grace, and goodput is back within 5 s after the last fault.
func TestSoak(t *testing.T) {
	is := is.New(t)
	number := seed(t)
	w := newWorld(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(w.tails())
		}
	})
	is.True(platformtest.Await(15*time.Second, func() bool {
		for _, m := range w.machines {
			status, _ := m.send(t.Context(), "POST", "/swaps/first", fmt.Sprintf("first-%d", time.Now().UnixNano()))
			if !m.ready() || status != 200 {
				return false
			}
		}
		return true
	}))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	c := &clients{world: w}
	c.run(ctx)
	happened := play(w, rand.New(rand.NewPCG(number, 5)), length(t))
	back := time.Now().Add(recovery)
	time.Sleep(recovery + 2*time.Second)
	stop()
	c.group.Wait()
	part, asked := c.goodput(back, back.Add(2*time.Second))
	t.Logf("SOAK_SEED=%d: %v; %d requests; %.4f of %d succeeded after the recovery time", number, happened, len(c.told), part, asked)
	judge(w, w.runs(), c.told)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, what := range w.wrong {
		t.Error(what)
	}
	is.True(asked > 0)
	is.True(part >= recovered)
}

package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// testFleet is the limiters of a fleet in virtual time. Gifts arrive at once, at the home
// of the only organisation.
type testFleet struct {
	clock    *clock.Fake
	limiters []*Limiter
	home     int
	// down holds when a node that restarts is back.
	down []time.Time
	// ticks counts the calls of tick.
	ticks int
}

func newTestFleet(nodes int, limit Limit) *testFleet {
	f := &testFleet{clock: &clock.Fake{}, limiters: make([]*Limiter, nodes), down: make([]time.Time, nodes)}
	for i := range nodes {
		f.start(i, limit, true)
	}
	return f
}

func (f *testFleet) start(i int, limit Limit, full bool) {
	f.limiters[i] = &Limiter{Clock: f.clock, Uptime: f.uptime, StartFull: full}
	f.limiters[i].Update(map[fleet.OrganisationID]Limit{"dakar": limit}, len(f.limiters))
}

// uptime is the clock that counts suspensions. It is the same at all nodes and above 0, as
// for pools in use.
func (f *testFleet) uptime() time.Duration { return f.clock.Now().Sub(fleetBooted) }

// fleetBooted is a time before all times of clock.Fake.
var fleetBooted = (&clock.Fake{}).Now().Add(-time.Hour)

func (f *testFleet) isDown(i int) bool { return f.clock.Now().Before(f.down[i]) }

// give lets one node give its surplus, and what it pools unless it is the home, to the home,
// or lose it if that is down.
func (f *testFleet) give(i int) {
	isHome := func(fleet.OrganisationID) bool { return i == f.home }
	for _, g := range append(f.limiters[i].HandOver(isHome), f.limiters[i].Surplus()...) {
		switch {
		case i == f.home:
			f.limiters[i].Keep(g)
		case !f.isDown(f.home):
			f.limiters[f.home].Receive(Giver(fmt.Sprint(i)), g)
		}
	}
}

// tick lets a tenth of the nodes give.
func (f *testFleet) tick() {
	f.ticks++
	for i := range f.limiters {
		if i%10 == f.ticks%10 && !f.isDown(i) {
			f.give(i)
		}
	}
}

// take takes a token for a request that enters at a node, and borrows from the home first if
// it has none.
func (f *testFleet) take(i int) bool {
	l := f.limiters[i]
	if l.Take("dakar") {
		return true
	}
	if i == f.home || f.isDown(f.home) || !l.MayBorrow("dakar") {
		return false
	}
	l.AddBorrowed("dakar", f.limiters[f.home].Lend("dakar", l.Wanted("dakar")))
	if !l.TakeBorrowed("dakar") {
		l.PauseBorrowing("dakar")
		return false
	}
	return true
}

// fleetLoad is a load of one organisation on a fleet.
type fleetLoad struct {
	nodes int
	limit Limit
	// demand is the mean rate of requests per second.
	demand float64
	// entries is the number of nodes at which requests enter.
	entries int
	// restarting is the fraction of the nodes that restart, each once, for a second.
	restarting float64
}

// refusedPerMille plays a load for two minutes and returns how many requests of a thousand
// were refused, after a start of five seconds.
func refusedPerMille(load fleetLoad) float64 {
	random := rand.New(rand.NewPCG(1, uint64(load.nodes)))
	f := newTestFleet(load.nodes, load.limit)
	const seconds, warmUp = 120, 5
	tick := GiveInterval / 10
	requests, refused := 0.0, 0.0
	restarts := int(load.restarting * float64(load.nodes))
	for step := range int(seconds * time.Second / tick) {
		f.clock.Advance(tick)
		f.tick()
		if step%40 == 39 && restarts > 0 {
			restarts--
			i := random.IntN(load.nodes)
			f.start(i, load.limit, false)
			f.down[i] = f.clock.Now().Add(time.Second)
		}
		for range poisson(random, load.demand*tick.Seconds()) {
			i := random.IntN(load.entries)
			if f.isDown(i) {
				continue
			}
			ok := f.take(i)
			if step < int(warmUp*time.Second/tick) {
				continue
			}
			requests++
			if !ok {
				refused++
			}
		}
	}
	return 1000 * refused / requests
}

func poisson(random *rand.Rand, mean float64) int {
	n, p := 0, random.Float64()
	for limit := math.Exp(-mean); p > limit; n++ {
		p *= random.Float64()
	}
	return n
}

// Organisations within their limits send requests that enter at all nodes, or at few.
// Guards against refusals because their tokens lie elsewhere. The bounds are the goals per
// thousand requests: 2 at up to 95 nodes, 10 at 1,400, 50 while a tenth of them restart.
func TestRequestsWithinLimitAreNotRefused(t *testing.T) {
	cases := []struct {
		fleetLoad
		bound float64
	}{
		{fleetLoad{nodes: 13, demand: 0.63}, 2},
		{fleetLoad{nodes: 95, demand: 0.63}, 2},
		{fleetLoad{nodes: 95, demand: 0.63, entries: 3}, 2},
		{fleetLoad{nodes: 1400, demand: 0.63}, 10},
		{fleetLoad{nodes: 1400, demand: 0.63, entries: 20}, 10},
		{fleetLoad{nodes: 95, demand: 0.63, restarting: 0.1}, 50},
		{fleetLoad{nodes: 1400, demand: 0.63, restarting: 0.1}, 50},
	}
	for _, c := range cases {
		for _, rate := range []float64{7, 60} {
			load := c.fleetLoad
			// As updateRateLimits of a node sets them, from a rate and a burst of a second.
			load.limit = Limit{Rate: fleet.Rate(1.09 * rate), Burst: fleet.Tokens(rate + 18)}
			load.demand *= rate
			if load.entries == 0 {
				load.entries = load.nodes
			}
			t.Run(fmt.Sprintf("%d nodes, %d entries, rate %v, restarting %v", load.nodes, load.entries, rate, load.restarting), func(t *testing.T) {
				refused := refusedPerMille(load)
				t.Logf("%.2f of a thousand refused", refused)
				is.New(t).True(refused <= c.bound)
			})
		}
	}
}

// Gifts, loans and requests in any order, with homes on which nodes disagree, restarts,
// and lost messages. Guards against tokens that exist twice: in no window may more requests
// pass than the rate and burst allow, beside the few tokens that each node may have borrowed.
func TestPoolsStayWithinLimit(t *testing.T) {
	limit := Limit{Rate: 20, Burst: 30}
	rapid.Check(t, func(rt *rapid.T) {
		const nodes = 5
		f := newTestFleet(nodes, limit)
		var taken []time.Time
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			i := rapid.IntRange(0, nodes-1).Draw(rt, "node")
			home := rapid.IntRange(0, nodes-1).Draw(rt, "home")
			switch rapid.SampledFrom([]string{"take", "take", "borrow", "borrow", "give", "give", "wait", "restart"}).Draw(rt, "step") {
			case "take":
				for f.limiters[i].Take("dakar") {
					taken = append(taken, f.clock.Now())
				}
			case "borrow":
				granted := f.limiters[home].Lend("dakar", f.limiters[i].Wanted("dakar"))
				if home != i && rapid.Bool().Draw(rt, "arrives") {
					f.limiters[i].AddBorrowed("dakar", granted)
				}
			case "give":
				f.home = home
				f.give(i)
			case "wait":
				f.clock.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
			case "restart":
				f.start(i, limit, false)
			}
		}
		for start := range taken {
			for end := start; end < len(taken); end++ {
				allowed := float64(limit.Burst) + float64(limit.Rate)*taken[end].Sub(taken[start]).Seconds() + nodes*maxBorrowedTokens + 1e-6
				if float64(end-start+1) > allowed {
					rt.Fatalf("%d taken within %v, at most %.1f allowed", end-start+1, taken[end].Sub(taken[start]), allowed)
				}
			}
		}
	})
}

// A home that was suspended for a while still has a pool. Guards against tokens that are
// spent there although the nodes have long given to another home.
func TestPoolOfSuspendedHomeExpires(t *testing.T) {
	is := is.New(t)
	var uptime time.Duration
	l := &Limiter{Clock: &clock.Fake{}, Uptime: func() time.Duration { return uptime }}
	l.Update(map[fleet.OrganisationID]Limit{"dakar": {Rate: 10, Burst: 40}}, 2)
	l.Receive("other", Gift{Organisation: "dakar", Tokens: 100})
	is.Equal(l.PoolTokens("dakar"), pooledFraction*20)
	uptime += giftLifetime
	is.Equal(l.PoolTokens("dakar"), 0.0)
	is.True(!l.Take("dakar"))
}

// Guards against a malformed number of a peer that spoils the tokens of an organisation for
// good, or creates some.
func TestMalformedNumbersAreHarmless(t *testing.T) {
	for _, number := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64} {
		t.Run(fmt.Sprint(number), func(t *testing.T) {
			is := is.New(t)
			l := &Limiter{Clock: &clock.Fake{}, StartFull: true}
			l.Update(map[fleet.OrganisationID]Limit{"dakar": {Rate: 10, Burst: 10}}, 1)
			lent := l.Lend("dakar", number)
			is.True(lent >= 0 && lent <= 10)
			l.AddBorrowed("dakar", number)
			l.Receive("other", Gift{Organisation: "dakar", Tokens: number})
			taken := 0
			for l.Take("dakar") {
				taken++
			}
			is.True(taken >= 5 && taken <= 15)
		})
	}
}

// Each node knows a part of the fleet only, gives what it does not need, and then gets to
// know all of it. Guards against shares that nodes hold beside what they gave as part of a
// smaller fleet: requests that come then would exceed the burst.
func TestNodesThatGetToKnowTheFleetStayWithinBurst(t *testing.T) {
	const nodes = 6
	limit := Limit{Rate: 2, Burst: 4}
	for known := 1; known < nodes; known++ {
		for intervals := 1; intervals <= 8; intervals++ {
			t.Run(fmt.Sprintf("%d known, %d intervals", known, intervals), func(t *testing.T) {
				is := is.New(t)
				f := newKnownFleet(nodes, known, limit)
				for range intervals {
					f.clock.Advance(GiveInterval)
					for _, l := range f.limiters {
						keepSurplus(l)
					}
				}
				for _, l := range f.limiters {
					l.Update(map[fleet.OrganisationID]Limit{"dakar": limit}, nodes)
				}
				is.True(f.tokens("dakar") <= float64(limit.Burst)+roundingError)
			})
		}
	}
}

// roundingError bounds the error of sums of tokens.
const roundingError = 1e-9

// newKnownFleet returns nodes that know of the given number of nodes.
func newKnownFleet(nodes, known int, limit Limit) *testFleet {
	f := &testFleet{clock: &clock.Fake{}}
	for range nodes {
		l := &Limiter{Clock: f.clock, Uptime: f.uptime, StartFull: true}
		l.Update(map[fleet.OrganisationID]Limit{"dakar": limit}, known)
		f.limiters = append(f.limiters, l)
	}
	return f
}

// keepSurplus lets a node give its surplus to itself.
func keepSurplus(l *Limiter) {
	for _, g := range l.Surplus() {
		l.Keep(g)
	}
}

// tokens returns all tokens of an organisation that nodes hold.
func (f *testFleet) tokens(id fleet.OrganisationID) float64 {
	sum := 0.0
	for _, l := range f.limiters {
		sum += l.buckets[id].tokens + l.PoolTokens(id)
	}
	return sum
}

// A pool counts a node as a giver and holds up to half of its share. Guards against a node
// that holds more than the other half beside that: a burst would exceed the limit.
func TestGiverHoldsHalfOfItsShare(t *testing.T) {
	const share = 100
	cases := []struct {
		name string
		play func(l *Limiter, c *clock.Fake)
	}{
		{"tokens are returned", func(l *Limiter, _ *clock.Fake) {
			keepSurplus(l)
			for range share {
				l.Return("dakar")
			}
		}},
		{"tokens are borrowed", func(l *Limiter, _ *clock.Fake) {
			keepSurplus(l)
			l.AddBorrowed("dakar", share)
		}},
		{"it needs its tokens", func(l *Limiter, c *clock.Fake) {
			for range 10 * share {
				l.Take("dakar")
			}
			c.Advance(time.Minute)
			keepSurplus(l)
		}},
		{"it gave long ago", func(l *Limiter, c *clock.Fake) {
			keepSurplus(l)
			c.Advance(time.Minute)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newKnownFleet(1, 1, Limit{Rate: share, Burst: share})
			c.play(f.limiters[0], f.clock)
			is.New(t).True(f.heldInBucket(0) <= (1-pooledFraction)*share)
		})
	}
	t.Run("it gave before it restarted", func(t *testing.T) {
		f := newTestFleet(1, Limit{Rate: share, Burst: share})
		f.start(0, Limit{Rate: share, Burst: share}, false)
		f.clock.Advance(time.Minute)
		is.New(t).True(f.heldInBucket(0) <= (1-pooledFraction)*share)
	})
}

// heldInBucket returns the tokens that a node holds beside its pool.
func (f *testFleet) heldInBucket(i int) float64 {
	b := *f.limiters[i].buckets["dakar"]
	b.refill(f.clock.Now())
	return b.tokens
}

// All nodes agree on the home of an organisation, but it changes again and again, as links
// break and nodes come and go. Guards against pools of earlier homes that are still full
// while the next one fills: requests that come then would exceed the burst.
func TestNodesThatChangeTheirHomeStayWithinBurst(t *testing.T) {
	const nodes = 6
	limit := Limit{Rate: 2, Burst: 4}
	for intervals := 1; intervals <= 12; intervals++ {
		t.Run(fmt.Sprintf("%d intervals", intervals), func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(nodes, limit)
			for i := range 8 * intervals {
				f.home = i / intervals % nodes
				f.clock.Advance(GiveInterval)
				for giver := range nodes {
					f.give(giver)
				}
				is.True(f.tokens("dakar") <= float64(limit.Burst)+roundingError)
			}
		})
	}
}

// All nodes give to one home and then to another. Guards against tokens that the pool of the
// first still holds while that of the second fills.
func TestChangeOfHomeKeepsTokensWithinBurst(t *testing.T) {
	is := is.New(t)
	// As updateRateLimits of a node sets them, from a rate of 100 and a burst of a second.
	limit := Limit{Rate: 109, Burst: 118}
	f := newTestFleet(5, limit)
	most := 0.0
	for interval := range 40 {
		f.home = interval / 20
		f.clock.Advance(GiveInterval)
		held := 0.0
		for i, l := range f.limiters {
			held += f.heldInBucket(i) + l.PoolTokens("dakar")
		}
		most = max(most, held)
		for i := range f.limiters {
			f.give(i)
		}
	}
	t.Logf("%.2f tokens at most", most)
	is.True(most <= float64(limit.Burst)+roundingError)
}

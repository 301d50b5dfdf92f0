package quota

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/fleet"
)

// schedule plays a random schedule on a fleet whose nodes have clocks, views of the fleet
// and homes of their own, and whose messages take time.
type schedule struct {
	*testFleet
	rt    *rapid.T
	rules scheduleRules
	nodes []*scheduledNode
	// onTheWay holds the messages that have not arrived.
	onTheWay []message
	// limit is the newest limit.
	limit Limit
	// taken holds the requests that passed since all nodes agreed on the limit and its shares.
	taken []passed
}

// passed is a request that passed.
type passed struct {
	at      time.Time
	node    int
	limiter *Limiter
	// onTheWay is the number of tokens that messages carried when the request passed. They
	// had been deducted at a node, and come to another.
	onTheWay float64
}

// scheduleRules says what may happen in a schedule.
type scheduleRules struct {
	nodes int
	limit Limit
	// giftTransit is the longest time that a gift is on its way.
	giftTransit time.Duration
	// rehome and suspend report whether homes change and whether nodes are suspended.
	rehome, suspend bool
	// tokensBeside is what all nodes together may hold beside the burst.
	tokensBeside float64
}

// scheduledNode is what one node of a schedule believes.
type scheduledNode struct {
	clock *clock.Fake
	// suspended stops the node; its messages wait.
	suspended bool
	// frozen stops the clock of the node while it is suspended.
	frozen bool
	home   int
	known  int
	limit  Limit
	// lateUntil is the time until which the node may wait for a late loan.
	lateUntil time.Time
	// cut holds the nodes that this one has no connection to.
	cut map[int]bool
}

// message is a message between nodes.
type message struct {
	to      int
	sentAt  time.Time
	expires time.Duration
	tokens  float64
	arrive  func()
}

func newSchedule(rt *rapid.T, rules scheduleRules) *schedule {
	s := &schedule{testFleet: newTestFleet(rules.nodes, rules.limit), rt: rt, rules: rules, limit: rules.limit}
	for i := range rules.nodes {
		s.nodes = append(s.nodes, &scheduledNode{clock: &clock.Fake{}, known: rules.nodes, limit: rules.limit, cut: map[int]bool{}})
		s.startNode(i, true)
	}
	return s
}

// startNode starts a node that takes the fleet for as large as it knows.
func (s *schedule) startNode(i int, full bool) {
	n := s.nodes[i]
	s.limiters[i] = &Limiter{Clock: n.clock, Uptime: s.uptime, StartFull: full}
	s.update(i)
}

func (s *schedule) update(i int) {
	n := s.nodes[i]
	s.limiters[i].Update(map[fleet.OrganisationID]Limit{"dakar": n.limit}, n.known)
}

// index draws an index below n. All are equally likely, unlike those of rapid.IntRange.
func (s *schedule) index(label string, n int) int {
	indexes := make([]int, n)
	for i := range indexes {
		indexes[i] = i
	}
	return rapid.SampledFrom(indexes).Draw(s.rt, label)
}

func (s *schedule) node(label string) int { return s.index(label, s.rules.nodes) }

// wait lets time pass, at all nodes whose clocks run.
func (s *schedule) wait(d time.Duration) {
	s.clock.Advance(d)
	for _, n := range s.nodes {
		if !n.frozen {
			n.clock.Advance(d)
		}
	}
	kept := s.onTheWay[:0]
	for _, m := range s.onTheWay {
		if s.clock.Now().Sub(m.sentAt) <= m.expires {
			kept = append(kept, m)
		}
	}
	s.onTheWay = kept
}

// deliver lets a message arrive, in any order, unless its receiver is suspended.
func (s *schedule) deliver() {
	if len(s.onTheWay) == 0 {
		return
	}
	i := s.index("message", len(s.onTheWay))
	m := s.onTheWay[i]
	if s.nodes[m.to].suspended {
		return
	}
	s.onTheWay = append(s.onTheWay[:i:i], s.onTheWay[i+1:]...)
	m.arrive()
}

func (s *schedule) send(to int, expires time.Duration, tokens float64, arrive func()) {
	s.onTheWay = append(s.onTheWay, message{to: to, sentAt: s.clock.Now(), expires: expires, tokens: tokens, arrive: arrive})
}

func (s *schedule) tokensOnTheWay() float64 {
	sum := 0.0
	for _, m := range s.onTheWay {
		sum += m.tokens
	}
	return sum
}

// giveSurplus gives as a node does: to its home, or to its own pool without a connection.
func (s *schedule) giveSurplus(i int) {
	n := s.nodes[i]
	isHome := func(fleet.OrganisationID) bool { return n.home == i }
	for _, g := range append(s.limiters[i].HandOver(isHome), s.limiters[i].Surplus()...) {
		if n.home == i || n.cut[n.home] {
			s.limiters[i].Keep(g)
			continue
		}
		home := n.home
		s.send(home, s.rules.giftTransit, g.Tokens, func() { s.limiters[home].Receive(Giver(fmt.Sprint(i)), g) })
	}
}

// borrowFrom asks a peer for a loan for a request; the question or the loan may be late or
// lost. As in the entrance it may take up to lateLoanTime if it is the only one of the node,
// and up to loanTime otherwise.
func (s *schedule) borrowFrom(i, lender int) {
	n, borrower := s.nodes[i], s.limiters[i]
	if i == lender || n.cut[lender] {
		return
	}
	wait, asked := loanTime, s.clock.Now()
	if asked.After(n.lateUntil) {
		wait, n.lateUntil = lateLoanTime, asked.Add(lateLoanTime)
	}
	wanted := borrower.Wanted("dakar")
	s.send(lender, wait, 0, func() {
		granted := s.limiters[lender].Lend("dakar", wanted)
		left := wait - s.clock.Now().Sub(asked)
		s.send(i, left, granted, func() {
			if s.limiters[i] != borrower {
				return // the node has restarted
			}
			borrower.AddBorrowed("dakar", granted)
			if s.clock.Now().Sub(asked) <= loanTime && borrower.TakeBorrowed("dakar") {
				s.notePassed(i, borrower)
			}
		})
	})
}

// loanTime is the time that a request waits for a loan, and lateLoanTime is that after
// which no node waits for one.
const (
	loanTime     = 30 * time.Millisecond
	lateLoanTime = 2 * time.Second
)

// pass lets a request pass at a node if that has a token.
func (s *schedule) pass(i int) bool {
	if !s.limiters[i].Take("dakar") {
		return false
	}
	s.notePassed(i, s.limiters[i])
	return true
}

func (s *schedule) notePassed(i int, l *Limiter) {
	s.taken = append(s.taken, passed{s.clock.Now(), i, l, s.tokensOnTheWay()})
}

// takeAll takes all tokens that a node has.
func (s *schedule) takeAll(i int) {
	for s.pass(i) {
	}
}

// returnToken gives back the token of the last request that passed, which did not run.
func (s *schedule) returnToken() {
	last := len(s.taken) - 1
	if last < 0 || s.taken[last].limiter != s.limiters[s.taken[last].node] {
		return
	}
	s.taken[last].limiter.Return("dakar")
	s.taken = s.taken[:last]
}

// resume ends the suspension of a node.
func (s *schedule) resume(i int) { s.nodes[i].suspended, s.nodes[i].frozen = false, false }

// agree tells a node the size of the fleet and the newest limit. Once all nodes agree, the
// bound holds anew.
func (s *schedule) agree(i int) {
	if s.agreed() {
		s.update(i)
		return
	}
	s.nodes[i].known, s.nodes[i].limit = s.rules.nodes, s.limit
	s.update(i)
	if s.agreed() {
		s.taken = nil
	}
}

// cutOff cuts the connection of a node to another, or restores it. A node without one to its
// home takes itself for the home.
func (s *schedule) cutOff(i, other int) {
	if cut := s.nodes[i].cut; s.rules.rehome || other != s.nodes[i].home {
		cut[other] = !cut[other]
	}
}

// rehomeAll lets all nodes that are not suspended take another node for the home.
func (s *schedule) rehomeAll() {
	if !s.rules.rehome {
		return
	}
	home := s.node("home")
	for _, n := range s.nodes {
		if !n.suspended {
			n.home = home
		}
	}
}

// agreed reports whether all nodes know the newest limit, and no node takes the fleet for
// too small.
func (s *schedule) agreed() bool {
	for _, n := range s.nodes {
		if n.limit != s.limit || n.known < s.rules.nodes && n.known > 0 {
			return false
		}
	}
	return true
}

// step plays one step at a node that runs.
func (s *schedule) step(i int) {
	n := s.nodes[i]
	switch rapid.SampledFrom(scheduleSteps).Draw(s.rt, "step") {
	case "take":
		s.takeAll(i)
	case "take one":
		s.pass(i)
	case "return":
		s.returnToken()
	case "borrow":
		if !s.pass(i) {
			s.borrowFrom(i, s.node("lender"))
		}
	case "borrow after all":
		s.takeAll(i)
		s.borrowFrom(i, s.node("lender"))
	case "give":
		s.giveSurplus(i)
	case "all give":
		for j := range s.nodes {
			if !s.nodes[j].suspended {
				s.giveSurplus(j)
			}
		}
	case "cut":
		s.cutOff(i, s.node("cut off"))
	case "rehome":
		if s.rules.rehome {
			n.home = s.node("home")
		}
	case "all rehome":
		s.rehomeAll()
	case "restart":
		n.known = rapid.SampledFrom([]int{0, 1, s.rules.nodes - 1, s.rules.nodes, s.rules.nodes, 2 * s.rules.nodes}).Draw(s.rt, "known")
		s.startNode(i, false)
	case "limit":
		s.limit.Rate, s.limit.Burst = s.rules.limit.Rate/2, s.rules.limit.Burst/2
	case "agree":
		s.agree(i)
	case "all agree":
		for j := range s.nodes {
			s.agree(j)
		}
	case "suspend":
		if s.rules.suspend {
			n.suspended, n.frozen = true, rapid.Bool().Draw(s.rt, "frozen")
		}
	}
}

// scheduleSteps holds the steps of a schedule, the frequent ones several times.
var scheduleSteps = []string{
	"take", "take", "take one", "return", "borrow", "borrow after all", "borrow after all", "borrow after all", "give", "give", "all give", "all give", "all give",
	"cut", "rehome", "all rehome", "restart", "limit", "agree", "agree", "all agree", "suspend",
}

// scheduleWaits holds the times that a schedule waits.
var scheduleWaits = []time.Duration{
	10 * time.Millisecond, 100 * time.Millisecond, GiveInterval, GiveInterval, GiveInterval, 450 * time.Millisecond,
	maxGiftInterval, giftLifetime - 10*time.Millisecond, giftLifetime + time.Second, 10 * time.Second,
}

// play plays the schedule, and then takes what is left in the fleet.
func (s *schedule) play() {
	for range rapid.SampledFrom([]int{10, 30, 100, 200}).Draw(s.rt, "steps") {
		switch rapid.SampledFrom([]string{"step", "step", "deliver", "wait", "resume"}).Draw(s.rt, "kind") {
		case "step":
			if i := s.node("node"); !s.nodes[i].suspended {
				s.step(i)
			}
		case "deliver":
			for range 1 + s.index("messages", 2*s.rules.nodes) {
				s.deliver()
			}
		case "wait":
			s.wait(rapid.SampledFrom(scheduleWaits).Draw(s.rt, "wait"))
		case "resume":
			s.resume(s.node("resumed"))
		}
		s.check()
	}
	for i := range s.nodes {
		s.resume(i)
	}
	for len(s.onTheWay) > 0 {
		s.deliver()
	}
	for i := range s.nodes {
		s.takeAll(i)
	}
	s.check()
}

// held returns the tokens that all nodes hold now.
func (s *schedule) held() float64 {
	sum := 0.0
	for i, l := range s.limiters {
		b := *l.buckets["dakar"]
		b.refill(s.nodes[i].clock.Now())
		sum += b.tokens + l.PoolTokens("dakar")
	}
	return sum
}

// check fails if the nodes hold more than a burst, or if more requests passed in some window since all nodes agree than rate and
// burst allow. While they do not, nothing is promised.
func (s *schedule) check() {
	if !s.agreed() {
		s.taken = nil
		return
	}
	allowed := float64(s.limit.Burst) + s.rules.tokensBeside + roundingError
	if held := s.held(); held > allowed {
		s.rt.Fatalf("%.2f tokens are held, at most %.2f allowed", held, allowed)
	}
	least := math.Inf(1)
	for i, p := range s.taken {
		allowance := float64(i) - float64(s.limit.Rate)*p.at.Sub(s.taken[0].at).Seconds()
		least = min(least, allowance+p.onTheWay)
		if used := allowance + 1 - least; used > allowed {
			s.rt.Fatalf("%.2f requests beyond the rate passed in a window, at most %.2f allowed", used, allowed)
		}
	}
}

// largeLimit leaves each node a fifth of a share that is no less than what it may borrow, so
// that nothing is held beside the burst.
var largeLimit = Limit{Rate: 100, Burst: 300}

// Gifts, loans and requests in any order, with late, lost and reordered messages, nodes
// that are cut off from others, suspended and restarted, and limits that are lowered. Guards
// against tokens that exist twice: once all nodes agree on the limit and none takes the fleet
// for too small, the nodes hold no more than a burst, and no window has more requests than
// rate and burst allow beside the tokens on their way when it begins.
func TestSchedulesStayWithinLimit(t *testing.T) {
	cases := []struct {
		name  string
		rules scheduleRules
	}{
		{"nodes run", scheduleRules{nodes: 5, limit: largeLimit, giftTransit: 500 * time.Millisecond}},
		{"nodes are suspended", scheduleRules{nodes: 5, limit: largeLimit, giftTransit: 500 * time.Millisecond, suspend: true}},
		{"late gifts", scheduleRules{nodes: 5, limit: largeLimit, giftTransit: time.Minute, suspend: true}},
		{"small shares", scheduleRules{nodes: 12, limit: Limit{Rate: 2, Burst: 4}, giftTransit: 500 * time.Millisecond, rehome: true, suspend: true, tokensBeside: 12 * maxBorrowedTokens}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) { newSchedule(rt, c.rules).play() })
		})
	}
}

// The same, with nodes that change the home or disagree on it, and nodes without a connection
// to it that pool their own tokens.
func TestSchedulesWithSeveralHomesStayWithinLimit(t *testing.T) {
	rules := scheduleRules{nodes: 5, limit: largeLimit, giftTransit: 500 * time.Millisecond, rehome: true, suspend: true}
	rapid.Check(t, func(rt *rapid.T) { newSchedule(rt, rules).play() })
}

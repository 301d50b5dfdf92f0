package rate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/internal/standin/logservice"
	"github.com/plantainramp/plantainramp/pkg/call"
	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/logs"
	"github.com/plantainramp/plantainramp/pkg/platformlog"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/pkg/ticket"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	workloadSeed     = 7
	fleetNodes       = 13
	fleetRate        = 100
	fleetBurst       = 20
	workloadDuration = 20 * time.Second
	killDelay        = 5 * time.Second
	detectionDelay   = 1500 * time.Millisecond
	messageDelay     = 300 * time.Microsecond
)

// connRefusedError is the error of requests to a member that was killed.
type connRefusedError struct{}

// Error implements error.
func (connRefusedError) Error() string { return "connection refused" }

// workload describes the calls of a benchmark and what fails meanwhile.
type workload struct {
	name string
	// skew is the number of calls at the first node for each call at any other node.
	skew float64
	// bursts sends fleetBurst calls at once to one node, instead of single calls. kill
	// stops the first member after killDelay. With logOutage, its end is never
	// recorded.
	bursts, kill, logOutage bool
}

// testFleet is a fleet in one process whose members share one follower.
type testFleet struct {
	follower    *config.Follower
	allocators  []*Allocator
	limiters    []*Limiter
	killed      atomic.Pointer[fleet.MemberID]
	equalShares bool
}

// applyRecord appends a record to the log and applies it.
func (f *testFleet) applyRecord(kind platformlog.Kind, body any) {
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), kind, body)
	if err != nil {
		panic(err)
	}
	if _, err := f.follower.Log.Append(context.Background(), platformlog.StreamConfig, record); err != nil {
		panic(err)
	}
	if err := f.follower.ReadLog(context.Background(), 0); err != nil {
		panic(err)
	}
}

// newFleet returns a fleet in which the first members, holders in number, hold the
// slots. With equalShares, each node limits its calls to an equal share and uses no
// slots.
func newFleet(t testing.TB, holders int, equalShares bool) *testFleet {
	server := httptest.NewServer((&logservice.Service{Clock: clock.System{}}).Handler())
	t.Cleanup(server.Close)
	f := &testFleet{equalShares: equalShares, follower: &config.Follower{Log: &platformlog.Client{URL: server.URL}, Clock: clock.System{}, Logger: logs.Discard()}}
	for i := range fleetNodes {
		id := fleet.MemberID(fmt.Sprintf("m%d", i))
		f.allocators = append(f.allocators, &Allocator{Self: id, Follower: f.follower, Clock: clock.System{}})
		f.limiters = append(f.limiters, &Limiter{Self: id, Follower: f.follower, Clock: clock.System{}, RequestTokens: f.requestTokens()})
		f.applyRecord(state.RecordMemberJoin, state.Member{ID: id, PeerAddress: string(id)})
	}
	f.follower.OnChange = func(v *config.View) {
		for _, a := range f.allocators {
			a.Update(v)
		}
	}
	f.claim(holders)
	o := ticket.Organisation{ID: testOrg, Rate: fleetRate, Burst: fleetBurst, Weight: 1}
	f.applyRecord(ticket.RecordKind, ticket.Ticket{
		Number: 1, Against: map[ticket.Ref]fleet.TicketNumber{{Kind: ticket.KindOrganisation, Name: testOrg}: 0},
		Organisations: []ticket.Organisation{o},
	})
	return f
}

// claim claims each vacant slot for the listed member that ranks highest for it, among
// the first members, holders in number.
func (f *testFleet) claim(holders int) {
	v := f.follower.View()
	claims := map[fleet.MemberID][]state.ClaimedSlot{}
	for i, slot := range v.State.Slots {
		var top fleet.MemberID
		for _, a := range f.allocators[:holders] {
			key := fmt.Sprintf("slot.%d", i)
			if v.Member(a.Self) != nil && (top == "" || fleet.RendezvousScore(key, a.Self) > fleet.RendezvousScore(key, top)) {
				top = a.Self
			}
		}
		if slot.Holder == "" {
			claims[top] = append(claims[top], state.ClaimedSlot{Slot: i, PreviousEpoch: slot.Epoch})
		}
	}
	for member, slots := range claims {
		f.applyRecord(state.RecordSlotClaim, state.SlotClaim{Member: member, Slots: slots})
	}
}

// requestTokens returns a function that passes requests to their holder, or to a bucket
// with an equal share.
func (f *testFleet) requestTokens() func(context.Context, fleet.MemberID, *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
	var mu sync.Mutex
	equalShare := bucket{share: share{rate: fleet.Rate(fleetRate) / fleetNodes, burst: fleet.Tokens(fleetBurst) / fleetNodes}, refilled: time.Now()}
	return func(_ context.Context, holder fleet.MemberID, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
		if f.equalShares {
			mu.Lock()
			defer mu.Unlock()
			return equalShare.handleBorrow(req), nil
		}
		time.Sleep(messageDelay)
		if killed := f.killed.Load(); killed != nil && *killed == holder {
			return nil, connRefusedError{}
		}
		for _, a := range f.allocators {
			if a.Self == holder {
				return a.Borrow(req), nil
			}
		}
		return nil, connRefusedError{}
	}
}

// handleBorrow grants tokens from a bucket that belongs to one node.
func (b *bucket) handleBorrow(req *peerrpc.BorrowRequest) *peerrpc.BorrowReply {
	now := time.Now()
	for _, s := range req.GetSettled() {
		b.settle(GrantID(s.GetLoan()), fleet.Tokens(s.GetSpent()), fleet.Tokens(s.GetReturned()), now)
	}
	reply := &peerrpc.BorrowReply{}
	for _, w := range req.GetWanted() {
		id := GrantID(rand.Uint64())
		if granted := b.grant(id, fleet.Tokens(w.GetTokens()), now); granted > 0 {
			reply.Granted = append(reply.Granted, &peerrpc.Granted{Loan: uint64(id), Tokens: float64(granted), TermMs: grantTerm.Milliseconds()})
		} else {
			reply.RetryAfterMs = b.timeToToken().Milliseconds() + 1
		}
	}
	return reply
}

// run runs a workload and returns the fraction of the calls within rate and burst that
// were rejected.
func (f *testFleet) run(w workload, holders int) float64 {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, l := range f.limiters {
		go l.Run(ctx)
	}
	if w.kill {
		time.AfterFunc(killDelay, func() { f.killed.Store(&f.allocators[0].Self) })
	}
	if w.kill && !w.logOutage {
		time.AfterFunc(killDelay+detectionDelay, func() {
			f.applyRecord(state.RecordMemberEnd, state.MemberEnd{Member: f.allocators[0].Self, Evidence: state.EvidenceRefused})
			f.claim(max(holders, 2))
		})
	}
	random := rand.New(rand.NewPCG(workloadSeed, workloadSeed))
	reference := bucket{share: share{rate: fleetRate, burst: fleetBurst}, level: fleetBurst, refilled: time.Now()}
	var withinRate, refused atomic.Int64
	var calls sync.WaitGroup
	for start, offset := time.Now(), time.Duration(0); offset < workloadDuration; {
		time.Sleep(time.Until(start.Add(offset)))
		count, gap := 1, time.Duration(random.ExpFloat64()*float64(time.Second)/(0.7*fleetRate))
		if w.bursts {
			count, gap = fleetBurst, time.Second/2
		}
		offset += gap
		node := f.pickNode(w, random)
		for range count {
			allowed := reference.grant(1, 1, time.Now()) == 1
			reference.outstanding, reference.grants, reference.expiryOrder = 0, nil, nil
			calls.Go(func() {
				if f.call(node, fleet.ClassNormal) != nil && allowed {
					refused.Add(1)
				}
				if allowed {
					withinRate.Add(1)
				}
			})
		}
	}
	calls.Wait()
	return float64(refused.Load()) / float64(withinRate.Load())
}

// pickNode returns the limiter of the node where a call enters. A node that will be
// killed gets no calls.
func (f *testFleet) pickNode(w workload, random *rand.Rand) *Limiter {
	live := f.limiters
	if w.kill {
		live = live[1:]
	}
	if position := random.Float64() * (w.skew + float64(len(live)-1)); position > w.skew {
		return live[1+int(position-w.skew)]
	}
	return live[0]
}

// call makes a call of 20 ms and returns its error.
func (f *testFleet) call(l *Limiter, class fleet.Class) error {
	c := &call.Call{Organisation: testOrg, Route: &ticket.Route{Class: class}, Deadline: time.Now().Add(time.Second)}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	_, err := l.Middleware()(func(context.Context, *call.Call) (*call.Response, error) {
		time.Sleep(20 * time.Millisecond)
		return &call.Response{}, nil
	})(ctx, c)
	return err
}

// TestFirstGrantIsFast checks that the first grant of the whole burst of a large
// organisation, for which the slots are computed and all buckets created, takes less
// than requestTimeout. Otherwise the request would fail while calls wait for it.
func TestFirstGrantIsFast(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, false)
	f.applyRecord(ticket.RecordKind, ticket.Ticket{
		Number: 2, Against: map[ticket.Ref]fleet.TicketNumber{{Kind: ticket.KindOrganisation, Name: "large"}: 0},
		Organisations: []ticket.Organisation{{ID: "large", Rate: 5000, Burst: 5000, Weight: 1}},
	})
	start := time.Now()
	reply := f.allocators[0].Borrow(&peerrpc.BorrowRequest{Wanted: []*peerrpc.Want{{Organisation: "large", Tokens: 5000}}})
	is.True(time.Since(start) < requestTimeout)
	is.Equal(len(reply.GetGranted()), state.SlotCount)
}

// TestCriticalCallsTakePriority checks that no critical call is rejected when an
// organisation with a rate of 100/s makes 500 other calls a second and 10 critical ones
// a second.
func TestCriticalCallsTakePriority(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, fleetNodes, false)
	var calls sync.WaitGroup
	var refusedCritical, refusedNormal atomic.Int64
	began, last, longestPause := time.Now(), time.Now(), time.Duration(0)
	for i := range 1500 {
		l := f.limiters[i%fleetNodes]
		calls.Go(func() {
			if f.call(l, fleet.ClassNormal) != nil {
				refusedNormal.Add(1)
			}
		})
		if i%50 == 0 {
			calls.Go(func() {
				sent := time.Now()
				if err := f.call(l, fleet.ClassCritical); err != nil {
					refusedCritical.Add(1)
					t.Logf("critical call at node %d, made %s after the first: %v, after %s", i%fleetNodes, sent.Sub(began), err, time.Since(sent))
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		longestPause, last = max(longestPause, time.Since(last)), time.Now()
	}
	calls.Wait()
	t.Logf("longest pause between two calls: %s", longestPause)
	is.True(refusedNormal.Load() > 900)
	is.Equal(refusedCritical.Load(), int64(0))
}

// BenchmarkStrategies compares the strategies of docs/design/rate.md: an organisation
// with a rate of 100/s and a burst of 20 over 13 nodes, with 70 calls a second or 20
// calls at once every 0.5 s.
func BenchmarkStrategies(b *testing.B) {
	strategies := []struct {
		name    string
		holders int
		equal   bool
	}{{"equalShares", fleetNodes, true}, {"oneHome", 1, false}, {"slots", fleetNodes, false}}
	workloads := []workload{
		{name: "even", skew: 1},
		{name: "skew", skew: 10},
		{name: "burst", skew: 1, bursts: true},
		{name: "killed", skew: 1, kill: true},
		{name: "killedLogOut", skew: 1, kill: true, logOutage: true},
	}
	for _, strategy := range strategies {
		for _, w := range workloads {
			b.Run(strategy.name+"/"+w.name, func(b *testing.B) {
				for range b.N {
					b.ReportMetric(100*newFleet(b, strategy.holders, strategy.equal).run(w, strategy.holders), "%refused")
				}
			})
		}
	}
}

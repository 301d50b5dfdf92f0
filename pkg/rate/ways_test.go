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
	waySeed    = 7
	wayNodes   = 13
	wayRate    = 100
	wayBurst   = 20
	wayLength  = 20 * time.Second
	wayKill    = 5 * time.Second
	wayNoticed = 1500 * time.Millisecond
	wayMessage = 300 * time.Microsecond
)

// deadError stands for a connection that is refused.
type deadError struct{}

// Error implements error.
func (deadError) Error() string { return "connection refused" }

// pattern is a demand and what fails under it.
type pattern struct {
	name string
	// skew is how much more the first entrance gets than each other one.
	skew float64
	// bursts sends 20 calls at once to one entrance, instead of single calls.
	bursts, kill, logOut bool
}

// fleetOf is a fleet in one process that shares one follower.
type fleetOf struct {
	follower  *config.Follower
	lenders   []*Lender
	borrowers []*Borrower
	dead      atomic.Pointer[fleet.MemberID]
	equal     bool
}

func (f *fleetOf) fold(kind platformlog.Kind, body any) {
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

// newFleet makes a fleet whose slots the first holders members share.
func newFleet(t testing.TB, holders int, equal bool) *fleetOf {
	server := httptest.NewServer((&logservice.Service{Clock: clock.System{}}).Handler())
	t.Cleanup(server.Close)
	f := &fleetOf{equal: equal, follower: &config.Follower{Log: &platformlog.Client{URL: server.URL}, Clock: clock.System{}, Logger: logs.Discard()}}
	for i := range wayNodes {
		id := fleet.MemberID(fmt.Sprintf("m%d", i))
		f.lenders = append(f.lenders, &Lender{Self: id, Follower: f.follower, Clock: clock.System{}})
		f.borrowers = append(f.borrowers, &Borrower{Self: id, Follower: f.follower, Clock: clock.System{}, Ask: f.ask()})
		f.fold(state.RecordMemberJoin, state.Member{ID: id, PeerAddress: string(id)})
	}
	f.follower.OnChange = func(v *config.View) {
		for _, l := range f.lenders {
			l.Update(v)
		}
	}
	f.claim(holders)
	o := ticket.Organisation{ID: testOrg, Rate: wayRate, Burst: wayBurst, Weight: 1}
	f.fold(ticket.RecordKind, ticket.Ticket{
		Number: 1, Against: map[ticket.Ref]fleet.TicketNumber{{Kind: ticket.KindOrganisation, Name: testOrg}: 0},
		Organisations: []ticket.Organisation{o},
	})
	return f
}

// claim gives vacant slots to the best ranked of the first holders members that live.
func (f *fleetOf) claim(holders int) {
	v := f.follower.View()
	claims := map[fleet.MemberID][]state.ClaimedSlot{}
	for i, slot := range v.State.Slots {
		var best fleet.MemberID
		for _, l := range f.lenders[:holders] {
			owner := fmt.Sprintf("slot.%d", i)
			if v.Member(l.Self) != nil && (best == "" || fleet.RendezvousScore(owner, l.Self) > fleet.RendezvousScore(owner, best)) {
				best = l.Self
			}
		}
		if slot.Holder == "" {
			claims[best] = append(claims[best], state.ClaimedSlot{Slot: i, PreviousEpoch: slot.Epoch})
		}
	}
	for member, slots := range claims {
		f.fold(state.RecordSlotClaim, state.SlotClaim{Member: member, Slots: slots})
	}
}

// ask carries a request to a holder, or answers it from an equal share.
func (f *fleetOf) ask() func(context.Context, fleet.MemberID, *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
	var mu sync.Mutex
	share := bucket{part: part{rate: fleet.Rate(wayRate) / wayNodes, burst: fleet.Tokens(wayBurst) / wayNodes}, updated: time.Now()}
	return func(_ context.Context, holder fleet.MemberID, req *peerrpc.BorrowRequest) (*peerrpc.BorrowReply, error) {
		if f.equal {
			mu.Lock()
			defer mu.Unlock()
			return share.answer(req), nil
		}
		time.Sleep(wayMessage)
		if dead := f.dead.Load(); dead != nil && *dead == holder {
			return nil, deadError{}
		}
		for _, l := range f.lenders {
			if l.Self == holder {
				return l.Borrow(req), nil
			}
		}
		return nil, deadError{}
	}
}

// answer lends from a share that nobody else can ask for.
func (b *bucket) answer(req *peerrpc.BorrowRequest) *peerrpc.BorrowReply {
	now := time.Now()
	for _, s := range req.GetSettled() {
		b.settle(LoanID(s.GetLoan()), fleet.Tokens(s.GetSpent()), fleet.Tokens(s.GetReturned()), now)
	}
	reply := &peerrpc.BorrowReply{}
	for _, w := range req.GetWanted() {
		id := LoanID(rand.Uint64())
		if got := b.lend(id, fleet.Tokens(w.GetTokens()), now); got > 0 {
			reply.Granted = append(reply.Granted, &peerrpc.Granted{Loan: uint64(id), Tokens: float64(got), TermMs: loanTerm.Milliseconds()})
		} else {
			reply.RetryAfterMs = b.wait().Milliseconds() + 1
		}
	}
	return reply
}

// play returns the part of the calls within rate and burst that were refused.
func (f *fleetOf) play(p pattern, holders int) float64 {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, b := range f.borrowers {
		go b.Run(ctx)
	}
	if p.kill {
		time.AfterFunc(wayKill, func() { f.dead.Store(&f.lenders[0].Self) })
	}
	if p.kill && !p.logOut {
		time.AfterFunc(wayKill+wayNoticed, func() {
			f.fold(state.RecordMemberEnd, state.MemberEnd{Member: f.lenders[0].Self, Evidence: state.EvidenceRefused})
			f.claim(max(holders, 2))
		})
	}
	random := rand.New(rand.NewPCG(waySeed, waySeed))
	ideal := bucket{part: part{rate: wayRate, burst: wayBurst}, level: wayBurst, updated: time.Now()}
	var within, refused atomic.Int64
	var calls sync.WaitGroup
	for began, at := time.Now(), time.Duration(0); at < wayLength; {
		time.Sleep(time.Until(began.Add(at)))
		count, gap := 1, time.Duration(random.ExpFloat64()*float64(time.Second)/(0.7*wayRate))
		if p.bursts {
			count, gap = wayBurst, time.Second/2
		}
		at += gap
		from := f.entrance(p, random)
		for range count {
			allowed := ideal.lend(1, 1, time.Now()) == 1
			ideal.outstanding, ideal.loans, ideal.lent = 0, nil, nil
			calls.Go(func() {
				if f.call(from, fleet.ClassNormal) != nil && allowed {
					refused.Add(1)
				}
				if allowed {
					within.Add(1)
				}
			})
		}
	}
	calls.Wait()
	return float64(refused.Load()) / float64(within.Load())
}

// entrance chooses where a call enters; a node that dies gets none.
func (f *fleetOf) entrance(p pattern, random *rand.Rand) *Borrower {
	live := f.borrowers
	if p.kill {
		live = live[1:]
	}
	if at := random.Float64() * (p.skew + float64(len(live)-1)); at > p.skew {
		return live[1+int(at-p.skew)]
	}
	return live[0]
}

func (f *fleetOf) call(b *Borrower, class fleet.Class) error {
	c := &call.Call{Organisation: testOrg, Route: &ticket.Route{Class: class}, Deadline: time.Now().Add(time.Second)}
	ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
	defer cancel()
	_, err := b.Filter()(func(context.Context, *call.Call) (*call.Response, error) {
		time.Sleep(20 * time.Millisecond)
		return &call.Response{}, nil
	})(ctx, c)
	return err
}

// TestFirstLoanIsQuick lends the whole burst of a large organisation for the first
// time; callers wait for it, and a borrower gives up after askTimeout.
func TestFirstLoanIsQuick(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, false)
	f.fold(ticket.RecordKind, ticket.Ticket{
		Number: 2, Against: map[ticket.Ref]fleet.TicketNumber{{Kind: ticket.KindOrganisation, Name: "large"}: 0},
		Organisations: []ticket.Organisation{{ID: "large", Rate: 5000, Burst: 5000, Weight: 1}},
	})
	began := time.Now()
	reply := f.lenders[0].Borrow(&peerrpc.BorrowRequest{Wanted: []*peerrpc.Want{{Organisation: "large", Tokens: 5000}}})
	is.True(time.Since(began) < askTimeout)
	is.Equal(len(reply.GetGranted()), state.SlotCount)
}

// TestCriticalCallsComeFirstWithinTheRate floods an organisation of 100/s with 500
// calls a second and sends 10 critical ones a second beside them.
func TestCriticalCallsComeFirstWithinTheRate(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, wayNodes, false)
	var calls sync.WaitGroup
	var refused, others atomic.Int64
	for i := range 1500 {
		b := f.borrowers[i%wayNodes]
		calls.Go(func() {
			if f.call(b, fleet.ClassNormal) != nil {
				others.Add(1)
			}
		})
		if i%50 == 0 {
			calls.Go(func() {
				if f.call(b, fleet.ClassCritical) != nil {
					refused.Add(1)
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
	}
	calls.Wait()
	is.True(others.Load() > 900)
	is.Equal(refused.Load(), int64(0))
}

// BenchmarkRateWays weighs the ways of docs/design/rate.md: an organisation of
// 100/s with burst 20 over 13 nodes, offered 70/s, or a burst of 20 every 0.5 s.
func BenchmarkRateWays(b *testing.B) {
	ways := []struct {
		name    string
		holders int
		equal   bool
	}{{"equalShares", wayNodes, true}, {"oneHome", 1, false}, {"slots", wayNodes, false}}
	patterns := []pattern{
		{name: "even", skew: 1},
		{name: "skew", skew: 10},
		{name: "burst", skew: 1, bursts: true},
		{name: "killed", skew: 1, kill: true},
		{name: "killedLogOut", skew: 1, kill: true, logOut: true},
	}
	for _, w := range ways {
		for _, p := range patterns {
			b.Run(w.name+"/"+p.name, func(b *testing.B) {
				for range b.N {
					b.ReportMetric(100*newFleet(b, w.holders, w.equal).play(p, w.holders), "%refused")
				}
			})
		}
	}
}

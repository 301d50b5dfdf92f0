package rate

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/plantainramp/plantainramp/internal/standin/logservice"
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
	testRate  = 20
	testBurst = 6
	testLease = 5 * time.Second
	testOrg   = "dakar"
)

// fixture has two members, each of which can hold the same slot, and records the calls
// that were started.
type fixture struct {
	clock       *clock.Fake
	log         *platformlog.Client
	allocators  map[fleet.MemberID]*Allocator
	grants      []*peerrpc.Granted
	expiries    []time.Time
	spent       []float64
	settlements []*peerrpc.Settle
	starts      []time.Time
	slot        int
	// noHandoverDelay removes the handover delay, so that the next holder grants
	// tokens at once.
	noHandoverDelay bool
}

func newFixture(url string, fake *clock.Fake) *fixture {
	f := &fixture{clock: fake, log: &platformlog.Client{URL: url}, allocators: map[fleet.MemberID]*Allocator{}}
	o := ticket.Organisation{ID: testOrg, Rate: testRate, Burst: testBurst, Weight: 1}
	f.slot = assignedSlots(&o)[0]
	f.appendRecord(ticket.RecordKind, ticket.Ticket{
		Number: 1, Against: map[ticket.Ref]fleet.TicketNumber{{Kind: ticket.KindOrganisation, Name: testOrg}: 0},
		Organisations: []ticket.Organisation{o},
	})
	for _, id := range []fleet.MemberID{"h1", "h2"} {
		follower := &config.Follower{Log: f.log, Clock: fake, Logger: logs.Discard()}
		a := &Allocator{Self: id, Follower: follower, Clock: fake, Lease: testLease}
		follower.OnChange = a.Update
		f.allocators[id] = a
		f.appendRecord(state.RecordMemberJoin, state.Member{ID: id, PeerAddress: string(id)})
	}
	f.claim("h1", 0)
	f.read("h1")
	f.read("h2")
	return f
}

func (f *fixture) appendRecord(kind platformlog.Kind, body any) {
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), kind, body)
	if err != nil {
		panic(err)
	}
	if _, err := f.log.Append(context.Background(), platformlog.StreamConfig, record); err != nil {
		panic(err)
	}
}

// claim records a claim of the slot.
func (f *fixture) claim(id fleet.MemberID, previousEpoch state.Epoch) {
	f.appendRecord(state.RecordSlotClaim, state.SlotClaim{Member: id, Slots: []state.ClaimedSlot{{Slot: f.slot, PreviousEpoch: previousEpoch}}})
}

// read lets a member read the log.
func (f *fixture) read(id fleet.MemberID) {
	if err := f.allocators[id].Follower.ReadLog(context.Background(), 0); err != nil {
		panic(err)
	}
	if own := f.allocators[id].owned[f.slot]; f.noHandoverDelay && own != nil {
		own.grantsFrom, own.idleSince = f.clock.Now(), f.clock.Now()
	}
}

// borrow requests tokens from a holder. If lost is set, the reply and its grants are
// lost.
func (f *fixture) borrow(id fleet.MemberID, wanted float64, start time.Time, lost bool) {
	reply := f.allocators[id].Borrow(&peerrpc.BorrowRequest{Wanted: []*peerrpc.Want{{Organisation: testOrg, Tokens: wanted}}})
	if lost {
		return
	}
	for _, granted := range reply.GetGranted() {
		f.grants = append(f.grants, granted)
		f.expiries = append(f.expiries, start.Add(time.Duration(granted.GetTermMs())*time.Millisecond))
		f.spent = append(f.spent, 0)
	}
}

// spend starts a call with a token of a grant, if one remains and the grant has not
// expired, and adds a settlement.
func (f *fixture) spend(i int) {
	if f.spent[i] >= f.grants[i].GetTokens() || !f.clock.Now().Before(f.expiries[i]) {
		return
	}
	f.spent[i]++
	f.starts = append(f.starts, f.clock.Now())
	f.settlements = append(f.settlements, &peerrpc.Settle{
		Loan: f.grants[i].GetLoan(), Slot: int32(f.slot), Epoch: f.grants[i].GetEpoch(), Organisation: testOrg, Spent: f.spent[i],
	})
}

// excess returns the largest number of starts beyond rate x window + burst over all
// windows. It is negative if the limit holds with tokens to spare.
func (f *fixture) excess() float64 {
	worst := -1e9
	for i := range f.starts {
		for j := i; j < len(f.starts); j++ {
			allowed := testBurst + testRate*f.starts[j].Sub(f.starts[i]).Seconds()
			worst = max(worst, float64(j-i+1)-allowed)
		}
	}
	return worst
}

// runSchedule runs a random schedule of requests, lost and repeated messages, pauses,
// handovers, and at most one crash or freeze of the holder. It returns the fixture
// afterwards.
func runSchedule(t *rapid.T, url string, fake *clock.Fake, noHandoverDelay bool) *fixture {
	f := newFixture(url, fake)
	f.noHandoverDelay = noHandoverDelay
	current, next := fleet.MemberID("h1"), fleet.MemberID("h2")
	frozen, ended := false, false
	for range rapid.IntRange(20, 150).Draw(t, "steps") {
		switch rapid.IntRange(0, 10).Draw(t, "step") {
		case 0, 1:
			fake.Advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
		case 2, 3, 4:
			who := rapid.SampledFrom([]fleet.MemberID{current, next}).Draw(t, "holder")
			f.borrow(who, float64(rapid.IntRange(1, 8).Draw(t, "wanted")), fake.Now(), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
		case 5, 6, 7:
			if len(f.grants) > 0 {
				f.spend(rapid.IntRange(0, len(f.grants)-1).Draw(t, "loan"))
			}
		case 8:
			if len(f.settlements) > 0 { // a report may be delayed, repeated or lost
				s := rapid.SampledFrom(f.settlements).Draw(t, "report")
				for _, a := range f.allocators {
					a.Borrow(&peerrpc.BorrowRequest{Settled: []*peerrpc.Settle{s}})
				}
			}
		case 9:
			if release, settled := f.allocators[current].Release(f.slot); settled && !ended {
				f.appendRecord(state.RecordSlotRelease, state.SlotRelease{Member: current, Slots: []state.ReleasedSlot{release}})
				f.read(next)
				f.claim(next, release.Epoch)
				f.read(current)
				f.read(next)
				current, next = next, current
			}
		default:
			if !ended {
				ended = true
				frozen = rapid.Bool().Draw(t, "frozen")
				evidence := state.EvidenceUnresponsive
				if !frozen {
					evidence = state.EvidenceRefused
					f.allocators[current].Close()
				}
				f.appendRecord(state.RecordMemberEnd, state.MemberEnd{Member: current, Evidence: evidence})
				f.read(next)
				f.claim(next, f.allocators[next].Follower.View().State.Slots[f.slot].Epoch)
			}
			f.read(next)
			if !ended || !frozen {
				f.read(current)
			}
		}
	}
	return f
}

// TestRateLimitUnderRandomSchedules guards against starts beyond rate and burst when
// messages are lost or repeated and holders crash, freeze or hand the slot over.
func TestRateLimitUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := new(clock.Fake)
		fake.Advance(time.Hour)
		server := httptest.NewServer((&logservice.Service{Clock: fake}).Handler())
		defer server.Close()
		f := runSchedule(t, server.URL, fake, false)
		if over := f.excess(); over > 1e-6 {
			t.Fatalf("%d starts exceed rate x window + burst by %g", len(f.starts), over)
		}
	})
}

// TestHandoverDelayIsNeeded checks that excess detects a missing handover delay:
// without it, two holders grant the same burst.
func TestHandoverDelayIsNeeded(t *testing.T) {
	is := is.New(t)
	fake := new(clock.Fake)
	fake.Advance(time.Hour)
	excess := map[bool]float64{}
	for _, noHandoverDelay := range []bool{true, false} {
		service := httptest.NewServer((&logservice.Service{Clock: fake}).Handler())
		f := newFixture(service.URL, fake)
		f.noHandoverDelay = noHandoverDelay
		fake.Advance(time.Second) // buckets start empty
		f.borrow("h1", testBurst, fake.Now(), false)
		fake.Advance(time.Second)
		f.borrow("h1", testBurst, fake.Now(), false)
		f.appendRecord(state.RecordMemberEnd, state.MemberEnd{Member: "h1", Evidence: state.EvidenceUnresponsive})
		f.read("h2")
		f.claim("h2", f.allocators["h2"].Follower.View().State.Slots[f.slot].Epoch)
		f.read("h2")
		for range 9 { // grants of the frozen holder are still in use while the next holder grants tokens
			fake.Advance(100 * time.Millisecond)
			f.borrow("h2", testBurst, fake.Now(), false)
		}
		for i := range f.grants {
			for range int(f.grants[i].GetTokens()) {
				f.spend(i)
			}
		}
		excess[noHandoverDelay] = f.excess()
		service.Close()
	}
	is.True(excess[true] > 0)   // without the delay
	is.True(excess[false] <= 0) // with the delay
}

// TestIdleSlotKeepsItsBurst hands over a slot that was idle for maxIdleTime. The next
// holder must grant the whole burst at once, and no more.
func TestIdleSlotKeepsItsBurst(t *testing.T) {
	is := is.New(t)
	fake := new(clock.Fake)
	fake.Advance(time.Hour)
	service := httptest.NewServer((&logservice.Service{Clock: fake}).Handler())
	defer service.Close()
	f := newFixture(service.URL, fake)
	f.borrow("h1", testBurst, fake.Now(), true) // a lost reply; its tokens are outstanding until the grant expires
	fake.Advance(maxIdleTime + grantTerm + time.Second)
	is.True(!f.allocators["h1"].Idle(f.slot)) // the grant expired just now
	fake.Advance(maxIdleTime)
	is.True(f.allocators["h1"].Idle(f.slot))
	release, released := f.allocators["h1"].Release(f.slot)
	is.True(released)
	f.appendRecord(state.RecordSlotRelease, state.SlotRelease{Member: "h1", Slots: []state.ReleasedSlot{release}})
	f.read("h2")
	f.claim("h2", release.Epoch)
	f.read("h2")
	f.borrow("h2", 2*testBurst, fake.Now(), false)
	is.Equal(len(f.grants), 1)
	is.Equal(f.grants[0].GetTokens(), float64(testBurst))
}

// TestFleetBucket checks that a fleet bucket allows the whole rate and burst, and no
// more.
func TestFleetBucket(t *testing.T) {
	is := is.New(t)
	var b fleetBucket
	o := ticket.Organisation{Rate: testRate, Burst: testBurst}
	now := time.Now()
	taken := 0
	for range 100 { // 100 calls in 2 s, with a rate of 20 and a burst of 6
		if b.take(&o, 1, now) {
			taken++
		}
		now = now.Add(20 * time.Millisecond)
	}
	is.True(taken >= testBurst+2*testRate-2 && taken <= testBurst+2*testRate)
	is.True(b.take(&o, 2, now)) // a new ticket fills the bucket
}

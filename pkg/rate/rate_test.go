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

// world is two possible holders of one slot and the calls that were started.
type world struct {
	clock   *clock.Fake
	log     *platformlog.Client
	holders map[fleet.MemberID]*Lender
	loans   []*peerrpc.Granted
	ends    []time.Time
	spent   []float64
	settles []*peerrpc.Settle
	starts  []time.Time
	slot    int
	// unfenced makes a successor lend at once, as the broken variant.
	unfenced bool
}

func newWorld(url string, fake *clock.Fake) *world {
	w := &world{clock: fake, log: &platformlog.Client{URL: url}, holders: map[fleet.MemberID]*Lender{}}
	o := ticket.Organisation{ID: testOrg, Rate: testRate, Burst: testBurst, Weight: 1}
	w.slot = carriers(&o)[0]
	w.append(ticket.RecordKind, ticket.Ticket{
		Number: 1, Against: map[ticket.Ref]fleet.TicketNumber{{Kind: ticket.KindOrganisation, Name: testOrg}: 0},
		Organisations: []ticket.Organisation{o},
	})
	for _, id := range []fleet.MemberID{"h1", "h2"} {
		f := &config.Follower{Log: w.log, Clock: fake, Logger: logs.Discard()}
		l := &Lender{Self: id, Follower: f, Clock: fake, Lease: testLease}
		f.OnChange = l.Update
		w.holders[id] = l
		w.append(state.RecordMemberJoin, state.Member{ID: id, PeerAddress: string(id)})
	}
	w.claim("h1", 0)
	w.read("h1")
	w.read("h2")
	return w
}

func (w *world) append(kind platformlog.Kind, body any) {
	record, err := platformlog.NewRecord(platformlog.RecordID(fleet.NewID()), kind, body)
	if err != nil {
		panic(err)
	}
	if _, err := w.log.Append(context.Background(), platformlog.StreamConfig, record); err != nil {
		panic(err)
	}
}

func (w *world) claim(id fleet.MemberID, after state.Epoch) {
	w.append(state.RecordSlotClaim, state.SlotClaim{Member: id, Slots: []state.ClaimedSlot{{Slot: w.slot, PreviousEpoch: after}}})
}

func (w *world) read(id fleet.MemberID) {
	if err := w.holders[id].Follower.ReadLog(context.Background(), 0); err != nil {
		panic(err)
	}
	if t := w.holders[id].tenures[w.slot]; w.unfenced && t != nil {
		t.opens, t.rested = w.clock.Now(), w.clock.Now()
	}
}

// borrow asks a holder; a lost answer loses what was granted.
func (w *world) borrow(id fleet.MemberID, wanted float64, began time.Time, lost bool) {
	reply := w.holders[id].Borrow(&peerrpc.BorrowRequest{Wanted: []*peerrpc.Want{{Organisation: testOrg, Tokens: wanted}}})
	if lost {
		return
	}
	for _, granted := range reply.GetGranted() {
		w.loans = append(w.loans, granted)
		w.ends = append(w.ends, began.Add(time.Duration(granted.GetTermMs())*time.Millisecond))
		w.spent = append(w.spent, 0)
	}
}

// spend starts a call under a loan, if it is in force, and reports it.
func (w *world) spend(i int) {
	if w.spent[i] >= w.loans[i].GetTokens() || !w.clock.Now().Before(w.ends[i]) {
		return
	}
	w.spent[i]++
	w.starts = append(w.starts, w.clock.Now())
	w.settles = append(w.settles, &peerrpc.Settle{
		Loan: w.loans[i].GetLoan(), Slot: int32(w.slot), Epoch: w.loans[i].GetEpoch(), Organisation: testOrg, Spent: w.spent[i],
	})
}

// excess returns by how much the starts exceed rate x window + burst at most.
func (w *world) excess() float64 {
	worst := -1e9
	for i := range w.starts {
		for j := i; j < len(w.starts); j++ {
			allowed := testBurst + testRate*w.starts[j].Sub(w.starts[i]).Seconds()
			worst = max(worst, float64(j-i+1)-allowed)
		}
	}
	return worst
}

// drive runs one random schedule of loans, lost and repeated messages, pauses,
// kills and freezes of the holder, and returns the world after it.
func drive(t *rapid.T, url string, fake *clock.Fake, unfenced bool) *world {
	w := newWorld(url, fake)
	w.unfenced = unfenced
	current, next := fleet.MemberID("h1"), fleet.MemberID("h2")
	frozen, ended := false, false
	for range rapid.IntRange(20, 150).Draw(t, "steps") {
		switch rapid.IntRange(0, 10).Draw(t, "step") {
		case 0, 1:
			fake.Advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "ms")) * time.Millisecond)
		case 2, 3, 4:
			who := rapid.SampledFrom([]fleet.MemberID{current, next}).Draw(t, "holder")
			w.borrow(who, float64(rapid.IntRange(1, 8).Draw(t, "wanted")), fake.Now(), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
		case 5, 6, 7:
			if len(w.loans) > 0 {
				w.spend(rapid.IntRange(0, len(w.loans)-1).Draw(t, "loan"))
			}
		case 8:
			if len(w.settles) > 0 { // any report may come late, twice or never
				s := rapid.SampledFrom(w.settles).Draw(t, "report")
				for _, l := range w.holders {
					l.Borrow(&peerrpc.BorrowRequest{Settled: []*peerrpc.Settle{s}})
				}
			}
		case 9:
			if release, settled := w.holders[current].Drop(w.slot); settled && !ended {
				w.append(state.RecordSlotRelease, state.SlotRelease{Member: current, Slots: []state.ReleasedSlot{release}})
				w.read(next)
				w.claim(next, release.Epoch)
				w.read(current)
				w.read(next)
				current, next = next, current
			}
		default:
			if !ended {
				ended = true
				frozen = rapid.Bool().Draw(t, "frozen")
				evidence := state.EvidenceUnresponsive
				if !frozen {
					evidence = state.EvidenceRefused
					w.holders[current].Close()
				}
				w.append(state.RecordMemberEnd, state.MemberEnd{Member: current, Evidence: evidence})
				w.read(next)
				w.claim(next, w.holders[next].Follower.View().State.Slots[w.slot].Epoch)
			}
			w.read(next)
			if !ended || !frozen {
				w.read(current)
			}
		}
	}
	return w
}

func TestRateHoldsOverRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fake := new(clock.Fake)
		fake.Advance(time.Hour)
		server := httptest.NewServer((&logservice.Service{Clock: fake}).Handler())
		defer server.Close()
		w := drive(t, server.URL, fake, false)
		if over := w.excess(); over > 1e-6 {
			t.Fatalf("%d starts exceed rate x window + burst by %g", len(w.starts), over)
		}
	})
}

// TestHandoverWaitIsNeeded shows the same check failing with the wait of a
// successor switched off.
func TestHandoverWaitIsNeeded(t *testing.T) {
	is := is.New(t)
	fake := new(clock.Fake)
	fake.Advance(time.Hour)
	over := map[bool]float64{}
	for _, unfenced := range []bool{true, false} {
		service := httptest.NewServer((&logservice.Service{Clock: fake}).Handler())
		w := newWorld(service.URL, fake)
		w.unfenced = unfenced
		fake.Advance(time.Second) // a bucket starts empty
		w.borrow("h1", testBurst, fake.Now(), false)
		fake.Advance(time.Second)
		w.borrow("h1", testBurst, fake.Now(), false)
		w.append(state.RecordMemberEnd, state.MemberEnd{Member: "h1", Evidence: state.EvidenceUnresponsive})
		w.read("h2")
		w.claim("h2", w.holders["h2"].Follower.View().State.Slots[w.slot].Epoch)
		w.read("h2")
		for range 9 { // the frozen holder's loans are spent while its successor lends
			fake.Advance(100 * time.Millisecond)
			w.borrow("h2", testBurst, fake.Now(), false)
		}
		for i := range w.loans {
			for range int(w.loans[i].GetTokens()) {
				w.spend(i)
			}
		}
		over[unfenced] = w.excess()
		service.Close()
	}
	is.True(over[true] > 0)   // off: both lend the same burst
	is.True(over[false] <= 0) // on
}

// TestRestedSlotKeepsItsBurst hands a slot over that nothing was lent from for a
// while: its next holder lends all of it at once, and no more.
func TestRestedSlotKeepsItsBurst(t *testing.T) {
	is := is.New(t)
	fake := new(clock.Fake)
	fake.Advance(time.Hour)
	service := httptest.NewServer((&logservice.Service{Clock: fake}).Handler())
	defer service.Close()
	w := newWorld(service.URL, fake)
	w.borrow("h1", testBurst, fake.Now(), true) // the answer is lost: counted until its term has passed
	fake.Advance(longRest + loanTerm + time.Second)
	is.True(!w.holders["h1"].Rested(w.slot)) // the loan has just been counted as spent
	fake.Advance(longRest)
	is.True(w.holders["h1"].Rested(w.slot))
	release, dropped := w.holders["h1"].Drop(w.slot)
	is.True(dropped)
	w.append(state.RecordSlotRelease, state.SlotRelease{Member: "h1", Slots: []state.ReleasedSlot{release}})
	w.read("h2")
	w.claim("h2", release.Epoch)
	w.read("h2")
	w.borrow("h2", 2*testBurst, fake.Now(), false)
	is.Equal(len(w.loans), 1)
	is.Equal(w.loans[0].GetTokens(), float64(testBurst))
}

// TestCeiling counts calls as if all entered at one node.
func TestCeiling(t *testing.T) {
	is := is.New(t)
	var c ceiling
	o := ticket.Organisation{Rate: testRate, Burst: testBurst}
	now := time.Now()
	taken := 0
	for range 100 { // 100 calls in 2 s, with a rate of 20 and a burst of 6
		if c.take(&o, 1, now) {
			taken++
		}
		now = now.Add(20 * time.Millisecond)
	}
	is.True(taken >= testBurst+2*testRate-2 && taken <= testBurst+2*testRate)
	is.True(c.take(&o, 2, now)) // a new ticket starts full
}

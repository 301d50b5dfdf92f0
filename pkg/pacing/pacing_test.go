package pacing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// In each span of four seconds, no more calls are sent than one and a half times the limit
// allows, and five. The users' rule sets this bound. A limit that is always asked for more
// than it allows is used, if a call comes while the next one may wait.
func TestRateIsKeptInEachWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window, duration = 4 * time.Second, 20 * time.Second
		rate := rapid.Float64Range(0.01, 300).Draw(rt, "rate")
		gap := rapid.Float64Range(0.2, 1).Draw(rt, "gap") / max(rate, minRate)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		p := &Pacer{}
		p.Limit(rate)
		var sent []time.Time
		for now := start; now.Before(start.Add(duration)); now = now.Add(time.Duration(gap * float64(time.Second))) {
			maxWait := time.Duration(random.IntN(400)) * time.Millisecond
			wait, reserved := p.Reserve(now, maxWait)
			switch {
			case !reserved:
			case wait > maxWait:
				rt.Fatalf("wait %s is longer than %s", wait, maxWait)
			case random.IntN(10) == 0:
				p.Return()
			default:
				sent = append(sent, now.Add(wait))
			}
		}
		slices.SortFunc(sent, time.Time.Compare)
		for i, first := range sent {
			end, _ := slices.BinarySearchFunc(sent, first.Add(window), time.Time.Compare)
			if n := end - i; float64(n) > 1.5*rate*window.Seconds()+5 {
				rt.Fatalf("%d calls in %s at a limit of %g/s", n, window, rate)
			}
		}
		if used := float64(len(sent)) / (rate * duration.Seconds()); rate >= 4 && used < 0.8 {
			rt.Fatalf("%.2f of the limit of %g/s is used", used, rate)
		}
	})
}

// Calls of admitted requests, which can wait longer, keep their part when new requests ask
// for more than is left.
func TestCallsThatCanWaitGoFirst(t *testing.T) {
	is := is.New(t)
	p := &Pacer{}
	p.Limit(50)
	patient, impatient := 0, 0
	for i := range 10_000 {
		now := start.Add(time.Duration(i) * 2 * time.Millisecond)
		if i%10 == 0 {
			if _, reserved := p.Reserve(now, 400*time.Millisecond); reserved {
				patient++
			}
			continue
		}
		if _, reserved := p.Reserve(now, 50*time.Millisecond); reserved {
			impatient++
		}
	}
	t.Logf("%d of 1000 patient calls and %d of 9000 others", patient, impatient)
	is.True(patient >= 990)
	is.True(impatient < 50)
}

// Guards against a limit that can never be lifted as no call is sent that could lift it.
func TestLimitNearZeroLetsACallThrough(t *testing.T) {
	is := is.New(t)
	p := &Pacer{}
	p.Limit(1e-9)
	count := 0
	for i := range 100 {
		if _, reserved := p.Reserve(start.Add(time.Duration(i)*100*time.Millisecond), 0); reserved {
			count++
		}
	}
	is.True(count >= 3) // in 10 s
}

func TestConcurrencyAtTheLimit(t *testing.T) {
	is := is.New(t)
	p := &Pacer{}
	is.Equal(p.Concurrency(40, 100*time.Millisecond), 40)
	p.Limit(55)
	is.Equal(p.Concurrency(40, 100*time.Millisecond), 6)
	is.Equal(p.Concurrency(4, 100*time.Millisecond), 4)
	is.Equal(p.Concurrency(40, 0), 40)
	is.Equal(p.Concurrency(40, time.Millisecond), 1)
	p.Limit(math.Inf(1))
	is.Equal(p.Rate(), 0.0)
}

// An instance that has sent nothing lately is empty, whatever its limit, so that it is
// tried again.
func TestFullnessFollowsTheCallsSent(t *testing.T) {
	is := is.New(t)
	for _, rate := range []float64{0.1, 3, 40} {
		p := &Pacer{}
		p.Limit(rate)
		is.Equal(p.Fullness(start), 0.0)
		for reserved := true; reserved; _, reserved = p.Reserve(start, 0) {
			is.True(p.Fullness(start) < 1.01)
		}
		is.True(p.Fullness(start) > 0.8)
		is.Equal(p.Fullness(start.Add(2*time.Second)), 0.0)
	}
	is.Equal((&Pacer{}).Fullness(start), 0.0)
}

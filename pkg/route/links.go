// Package route chooses the instance for a call, sends the call there and
// decides on retries.
package route

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/plantainramp/plantainramp/pkg/clock"
	"github.com/plantainramp/plantainramp/pkg/config"
	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/state"
	"github.com/plantainramp/plantainramp/rpc/peerrpc"
)

const (
	// rampTime is how long a new instance takes to get a full share of calls.
	rampTime = 5 * time.Second
	// rampStart is the part of a share that a new instance starts with.
	rampStart = 0.1
	// spillAbove is the load of near instances from which further ones compete.
	spillAbove = 0.8
	// spillPenalty is added to the load of instances in other data centres.
	spillPenalty = 0.2
	// staleAfter is the age at which a reported load no longer counts.
	staleAfter = time.Second
	// quarantineBase and quarantineMax bound how long a failing instance is
	// left alone.
	quarantineBase = 200 * time.Millisecond
	quarantineMax  = 5 * time.Second
	// leavingFor is how long a refusal for leaving keeps an instance out.
	leavingFor = 30 * time.Second
	// assumedLimit stands in for a limit that was never reported.
	assumedLimit = 16
)

// Link is what this node knows of one instance from real calls.
type Link struct {
	// seen is when the instance first appeared in this node's view.
	seen        time.Time
	outstanding atomic.Int64
	failures    atomic.Int32
	// awayUntil is in nanoseconds of the clock.
	awayUntil atomic.Int64
	report    atomic.Pointer[report]
}

type report struct {
	at   time.Time
	load float64
	// limit is the reported limit of calls in flight, at least 1.
	limit float64
}

// Failed leaves the instance alone for a while, longer with each failure in a
// row.
func (l *Link) Failed(now time.Time) {
	n := min(l.failures.Add(1), 8)
	l.awayUntil.Store(now.Add(min(quarantineBase<<(n-1), quarantineMax)).UnixNano())
}

// Answered ends a row of failures and notes the load that came along.
func (l *Link) Answered(now time.Time, load *peerrpc.Load) {
	l.failures.Store(0)
	l.awayUntil.Store(0)
	if load == nil {
		return
	}
	limit := max(float64(load.GetLimit()), 1)
	busy := float64(load.GetInFlight()+load.GetQueued()) / limit
	l.report.Store(&report{at: now, load: busy, limit: limit})
}

// Leaves notes that the instance refuses new work for good.
func (l *Link) Leaves(now time.Time) { l.awayUntil.Store(now.Add(leavingFor).UnixNano()) }

func (l *Link) away(now time.Time) bool { return now.UnixNano() < l.awayUntil.Load() }

// load estimates the part of the instance's limit that is in use.
func (l *Link) load(now time.Time) float64 {
	limit, reported := float64(assumedLimit), 0.0
	if r := l.report.Load(); r != nil {
		limit = r.limit
		if age := now.Sub(r.at); age < staleAfter {
			reported = r.load * (1 - float64(age)/float64(staleAfter))
		}
	}
	own := float64(l.outstanding.Load()+1) / limit
	return max(reported, own) / l.ramp(now)
}

func (l *Link) ramp(now time.Time) float64 {
	age := now.Sub(l.seen)
	if age >= rampTime {
		return 1
	}
	return rampStart + (1-rampStart)*float64(age)/float64(rampTime)
}

// Links keeps a link for every instance that this node has called. It needs
// Clock.
type Links struct {
	Clock clock.Clock
	links sync.Map
}

// Of returns the link of a member.
func (ls *Links) Of(id fleet.MemberID) *Link {
	if found, ok := ls.links.Load(id); ok {
		return found.(*Link)
	}
	found, _ := ls.links.LoadOrStore(id, &Link{seen: ls.Clock.Now()})
	return found.(*Link)
}

// Update makes links for new members of a view and forgets ended ones.
func (ls *Links) Update(v *config.View) {
	ls.links.Range(func(key, _ any) bool {
		if v.Member(key.(fleet.MemberID)) == nil {
			ls.links.Delete(key)
		}
		return true
	})
	for _, m := range v.Members {
		ls.Of(m.ID)
	}
}

// Candidate is an instance that may run a call.
type Candidate struct {
	Member *state.Member
	Link   *Link
}

// Pick chooses among the members of a service by the power of two choices,
// preferring the near data centre. It leaves out members in tried, and members
// that are away unless all are. It returns nil where none is left.
func (ls *Links) Pick(v *config.View, service fleet.ServiceName, near fleet.DataCentre, tried []fleet.MemberID) *Candidate {
	now := ls.Clock.Now()
	var nearby, further, away []*Candidate
	for _, m := range v.ByService[service] {
		if lo.Contains(tried, m.ID) || v.Leaving(m.Instance) {
			continue
		}
		c := &Candidate{Member: m, Link: ls.Of(m.ID)}
		switch {
		case c.Link.away(now):
			away = append(away, c)
		case m.DataCentre == near:
			nearby = append(nearby, c)
		default:
			further = append(further, c)
		}
	}
	best := better(nearby, now)
	if best == nil || best.Link.load(now) > spillAbove {
		best = spill(best, better(further, now), now)
	}
	if best == nil && len(away) > 0 {
		best = away[rand.IntN(len(away))]
	}
	return best
}

// better returns the less loaded of two random candidates.
func better(from []*Candidate, now time.Time) *Candidate {
	if len(from) == 0 {
		return nil
	}
	a, b := from[rand.IntN(len(from))], from[rand.IntN(len(from))]
	if b.Link.load(now) < a.Link.load(now) {
		return b
	}
	return a
}

func spill(near, far *Candidate, now time.Time) *Candidate {
	if near == nil || far == nil {
		if near == nil {
			return far
		}
		return near
	}
	if far.Link.load(now)+spillPenalty < near.Link.load(now) {
		return far
	}
	return near
}

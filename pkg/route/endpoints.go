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
	// rampStartFraction is the part of a share that a new instance starts with.
	rampStartFraction = 0.1
	// spilloverLoad is the load of near instances from which further ones compete.
	spilloverLoad = 0.8
	// spilloverPenalty is added to the load of instances in other data centres.
	spilloverPenalty = 0.2
	// maxReportAge is the age at which a reported load no longer counts.
	maxReportAge = time.Second
	// minQuarantine and maxQuarantine bound how long a failing instance is
	// left alone.
	minQuarantine = 200 * time.Millisecond
	maxQuarantine = 5 * time.Second
	// leavingQuarantine is how long a refusal for leaving keeps an instance out.
	leavingQuarantine = 30 * time.Second
	// defaultLimitCalls stands in for a limit that was never reported.
	defaultLimitCalls = 16
)

// Endpoint is what this node knows of one instance from real calls.
type Endpoint struct {
	// firstSeen is when the instance first appeared in this node's view.
	firstSeen           time.Time
	outstanding         atomic.Int64
	consecutiveFailures atomic.Int32
	// quarantinedUntilNanos is in nanoseconds of the clock.
	quarantinedUntilNanos atomic.Int64
	report                atomic.Pointer[report]
}

type report struct {
	at   time.Time
	load float64
	// limit is the reported limit of calls in flight, at least 1.
	limit float64
}

// RecordFailure leaves the instance alone for a while, longer with each failure in a
// row.
func (e *Endpoint) RecordFailure(now time.Time) {
	n := min(e.consecutiveFailures.Add(1), 8)
	e.quarantinedUntilNanos.Store(now.Add(min(minQuarantine<<(n-1), maxQuarantine)).UnixNano())
}

// RecordResponse ends a row of failures and notes the load that came along.
func (e *Endpoint) RecordResponse(now time.Time, load *peerrpc.Load) {
	e.consecutiveFailures.Store(0)
	e.quarantinedUntilNanos.Store(0)
	if load == nil {
		return
	}
	limit := max(float64(load.GetLimit()), 1)
	utilisation := float64(load.GetInFlight()+load.GetQueued()) / limit
	e.report.Store(&report{at: now, load: utilisation, limit: limit})
}

// RecordLeaving notes that the instance refuses new work for good.
func (e *Endpoint) RecordLeaving(now time.Time) {
	e.quarantinedUntilNanos.Store(now.Add(leavingQuarantine).UnixNano())
}

func (e *Endpoint) quarantined(now time.Time) bool {
	return now.UnixNano() < e.quarantinedUntilNanos.Load()
}

// load estimates the part of the instance's limit that is in use.
func (e *Endpoint) load(now time.Time) float64 {
	limit, reported := float64(defaultLimitCalls), 0.0
	if r := e.report.Load(); r != nil {
		limit = r.limit
		if age := now.Sub(r.at); age < maxReportAge {
			reported = r.load * (1 - float64(age)/float64(maxReportAge))
		}
	}
	ownLoad := float64(e.outstanding.Load()+1) / limit
	return max(reported, ownLoad) / e.rampFraction(now)
}

func (e *Endpoint) rampFraction(now time.Time) float64 {
	age := now.Sub(e.firstSeen)
	if age >= rampTime {
		return 1
	}
	return rampStartFraction + (1-rampStartFraction)*float64(age)/float64(rampTime)
}

// Endpoints keeps a link for every instance that this node has called. It needs
// Clock.
type Endpoints struct {
	Clock    clock.Clock
	byMember sync.Map
}

// Of returns the link of a member.
func (es *Endpoints) Of(id fleet.MemberID) *Endpoint {
	if found, ok := es.byMember.Load(id); ok {
		return found.(*Endpoint)
	}
	found, _ := es.byMember.LoadOrStore(id, &Endpoint{firstSeen: es.Clock.Now()})
	return found.(*Endpoint)
}

// Update makes links for new members of a view and forgets ended ones.
func (es *Endpoints) Update(v *config.View) {
	es.byMember.Range(func(key, _ any) bool {
		if v.Member(key.(fleet.MemberID)) == nil {
			es.byMember.Delete(key)
		}
		return true
	})
	for _, m := range v.Members {
		es.Of(m.ID)
	}
}

// Candidate is an instance that may run a call.
type Candidate struct {
	Member   *state.Member
	Endpoint *Endpoint
}

// Pick chooses among the members of a service by the power of two choices,
// preferring the near data centre. It leaves out members in tried, and members
// that are away unless all are. It returns nil where none is left.
func (es *Endpoints) Pick(v *config.View, service fleet.ServiceName, dataCentre fleet.DataCentre, tried []fleet.MemberID) *Candidate {
	now := es.Clock.Now()
	var local, remote, quarantined []*Candidate
	for _, m := range v.ByService[service] {
		if lo.Contains(tried, m.ID) || v.Leaving(m.Instance) {
			continue
		}
		c := &Candidate{Member: m, Endpoint: es.Of(m.ID)}
		switch {
		case c.Endpoint.quarantined(now):
			quarantined = append(quarantined, c)
		case m.DataCentre == dataCentre:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	best := pickLessLoaded(local, now)
	if best == nil || best.Endpoint.load(now) > spilloverLoad {
		best = preferLocal(best, pickLessLoaded(remote, now), now)
	}
	if best == nil && len(quarantined) > 0 {
		best = quarantined[rand.IntN(len(quarantined))]
	}
	return best
}

// pickLessLoaded returns the less loaded of two random candidates.
func pickLessLoaded(candidates []*Candidate, now time.Time) *Candidate {
	if len(candidates) == 0 {
		return nil
	}
	a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if b.Endpoint.load(now) < a.Endpoint.load(now) {
		return b
	}
	return a
}

func preferLocal(local, remote *Candidate, now time.Time) *Candidate {
	if local == nil || remote == nil {
		if local == nil {
			return remote
		}
		return local
	}
	if remote.Endpoint.load(now)+spilloverPenalty < local.Endpoint.load(now) {
		return remote
	}
	return local
}

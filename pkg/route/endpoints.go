// Package route chooses an instance of the service for a call, sends the call to it, and
// decides about retries at other instances.
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
	// rampTime is the time over which a new instance's share of calls rises to the full
	// share.
	rampTime = 5 * time.Second
	// rampStartFraction is the fraction of the full share that a new instance starts
	// with.
	rampStartFraction = 0.1
	// spilloverLoad is the load of the local candidate above which a remote one, in
	// another data centre, is considered too.
	spilloverLoad = 0.8
	// spilloverPenalty is added to the load of the remote candidate in the comparison.
	spilloverPenalty = 0.2
	// maxReportAge is the age from which a reported load is ignored.
	maxReportAge = time.Second
	// minQuarantine is how long an instance is avoided after a failure. The time
	// doubles with each consecutive failure, up to maxQuarantine.
	minQuarantine = 200 * time.Millisecond
	maxQuarantine = 5 * time.Second
	// leavingQuarantine is how long an instance is avoided after it refused a call
	// because it is leaving.
	leavingQuarantine = 30 * time.Second
	// defaultLimitCalls is the assumed concurrency limit of an instance that has not
	// reported one.
	defaultLimitCalls = 16
)

// Endpoint tracks the load and the failures of one instance, as seen by the calls that
// this node sends to it. It is safe for concurrent use.
type Endpoint struct {
	// firstSeen is when the instance was first seen by this node.
	firstSeen time.Time
	// outstanding is the number of calls that this node is making to the instance.
	outstanding         atomic.Int64
	consecutiveFailures atomic.Int32
	// quarantinedUntilNanos is the end of the time during which the instance is avoided,
	// in Unix nanoseconds, or 0.
	quarantinedUntilNanos atomic.Int64
	// report is the last load report, or nil.
	report atomic.Pointer[report]
}

// report is the load that an instance reported with a reply.
type report struct {
	at time.Time
	// load is the number of calls in flight and queued, divided by limit.
	load float64
	// limit is the concurrency limit of the instance in calls, at least 1.
	limit float64
}

// RecordFailure records a failed call. The instance is avoided for a time that doubles
// with each consecutive failure.
func (e *Endpoint) RecordFailure(now time.Time) {
	n := min(e.consecutiveFailures.Add(1), 8)
	e.quarantinedUntilNanos.Store(now.Add(min(minQuarantine<<(n-1), maxQuarantine)).UnixNano())
}

// RecordResponse records a reply of the instance with the load that it reports, which may
// be nil. It resets the count of failures and ends the quarantine.
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

// RecordLeaving records that the instance is leaving and accepts no new calls.
func (e *Endpoint) RecordLeaving(now time.Time) {
	e.quarantinedUntilNanos.Store(now.Add(leavingQuarantine).UnixNano())
}

func (e *Endpoint) quarantined(now time.Time) bool {
	return now.UnixNano() < e.quarantinedUntilNanos.Load()
}

// load estimates the fraction of the instance's concurrency limit that is in use, with
// one more call. It is the higher of the reported load, whose weight falls to 0 at
// maxReportAge, and the load caused by this node. It is scaled up for a new instance.
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

// rampFraction returns the fraction of a full share of calls that the instance may get,
// which is below 1 if the instance is new.
func (e *Endpoint) rampFraction(now time.Time) float64 {
	age := now.Sub(e.firstSeen)
	if age >= rampTime {
		return 1
	}
	return rampStartFraction + (1-rampStartFraction)*float64(age)/float64(rampTime)
}

// Endpoints holds an endpoint for each member and chooses among them. Clock must be set.
// It is safe for concurrent use.
type Endpoints struct {
	Clock clock.Clock
	// byMember maps fleet.MemberID to *Endpoint.
	byMember sync.Map
}

// Of returns the endpoint of a member, and adds it if there is none.
func (es *Endpoints) Of(id fleet.MemberID) *Endpoint {
	if found, ok := es.byMember.Load(id); ok {
		return found.(*Endpoint)
	}
	found, _ := es.byMember.LoadOrStore(id, &Endpoint{firstSeen: es.Clock.Now()})
	return found.(*Endpoint)
}

// Update adds endpoints for new members of a view and removes those of members that are
// not in the view.
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

// Candidate is an instance that a call may be sent to.
type Candidate struct {
	Member   *state.Member
	Endpoint *Endpoint
}

// Pick chooses a member of a service by the power of two random choices. It prefers
// members of dataCentre while their load is low. It skips members in tried and members
// whose instance is leaving, and chooses one in quarantine only if there is no other.
// It returns nil if no member remains.
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

// pickLessLoaded returns the less loaded of two random candidates, or nil if there are
// none.
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

// preferLocal returns the local candidate unless the remote one is less loaded by more
// than spilloverPenalty. If one of them is nil, it returns the other.
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

// Package pacing decides when calls may be sent to an instance that takes a limited number
// of calls per second. It answers the load pattern of an instance that has room by its
// slots, but has said that it takes fewer calls: these are spread over time, calls that can
// wait long are sent before those that cannot, and what finds no time is rejected at once.
package pacing

import (
	"math"
	"time"
)

const (
	// burstTime is the time whose calls may be sent at once after an idle time.
	burstTime = 250 * time.Millisecond
	// minRate is the lowest rate in calls per second. An instance that names less still
	// gets a call from time to time: only an answer can end its limit.
	minRate = 0.5
	// maxRate is the rate in calls per second from which a limit counts as none.
	maxRate = 1e6
)

// Pacer spreads calls at a limited rate. The zero value has no limit. It is not safe for
// concurrent use.
type Pacer struct {
	// rate is the limit in calls per second; 0 means none.
	rate float64
	// next is when the next call would be due if calls came evenly, without a burst.
	next time.Time
}

// Rate returns the limit in calls per second, or 0.
func (p *Pacer) Rate() float64 { return p.rate }

// Limit sets the limit in calls per second, which must not be negative. Times that were
// reserved remain.
func (p *Pacer) Limit(rate float64) {
	if rate >= maxRate {
		p.Unlimit()
		return
	}
	p.rate = max(rate, minRate)
}

// Unlimit removes the limit.
func (p *Pacer) Unlimit() { *p = Pacer{} }

// interval returns the time between two calls.
func (p *Pacer) interval() time.Duration {
	return time.Duration(float64(time.Second) / p.rate)
}

// tolerance returns how far ahead of an even spread calls may be sent.
func (p *Pacer) tolerance() time.Duration { return max(0, burstTime-p.interval()) }

// Fullness returns the fraction of a burst that is used up. Above 1, the next call has to
// wait.
func (p *Pacer) Fullness(now time.Time) float64 {
	if p.rate == 0 || !p.next.After(now) {
		return 0
	}
	return p.next.Sub(now).Seconds() / (p.tolerance() + p.interval()).Seconds()
}

// Reserve returns how long a call has to wait until it may be sent. It returns false, and
// reserves nothing, if that is longer than maxWait.
func (p *Pacer) Reserve(now time.Time, maxWait time.Duration) (wait time.Duration, reserved bool) {
	if p.rate == 0 {
		return 0, true
	}
	if p.next.Before(now) {
		p.next = now
	}
	wait = max(0, p.next.Sub(now)-p.tolerance())
	if wait > maxWait {
		return 0, false
	}
	p.next = p.next.Add(p.interval())
	return wait, true
}

// Return gives back the reservation of a call that was not sent.
func (p *Pacer) Return() {
	if p.rate > 0 && !p.next.IsZero() {
		p.next = p.next.Add(-p.interval())
	}
}

// Concurrency returns the number of calls in flight at the limit if each takes runTime, at
// most slots and at least 1.
func (p *Pacer) Concurrency(slots int, runTime time.Duration) int {
	if p.rate == 0 || runTime <= 0 {
		return slots
	}
	return max(1, min(slots, int(math.Ceil(p.rate*runTime.Seconds()))))
}

package gate

import (
	"math"
	"sync"
	"time"

	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/pacing"
	"github.com/plantainramp/plantainramp/pkg/slowstart"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// assumedRunTime is the run time of a call at a cold instance while none has been measured.
// Without it, an instance that has just started would report all its slots as capacity.
const assumedRunTime = 50 * time.Millisecond

// rateLimit is the rate at which calls are sent to the local instance. It is the lowest of
// the limit that the instance names in its responses, of the rate that it takes while it is
// cold, and of the rate learned from how it responds. Responses are read in another order than
// they were written, so one counts only if its call was sent after the response that named the
// present limit was read. The zero value has no limit. It is safe for concurrent use.
type rateLimit struct {
	// coldRate is Gate.ColdRate.
	coldRate func() (rate float64, evenIfWarm bool)
	bound    ColdBound
	// slots returns the slots of the instance and the expected time of a call; nil turns the
	// learned rate off.
	slots func() (int, time.Duration)

	mu    sync.Mutex
	pacer pacing.Pacer
	cold  coldState
	sent  sendWindow
	// learned is the rate of a slow start, and slowStartDue reports whether one begins once
	// the cold rate does not apply any more.
	learned      slowstart.Controller
	slowStartDue bool
	// named is the limit that the last response that counts named; limited reports whether
	// it named one.
	named   float64
	limited bool
	// changedAt is when the response that named the present limit was read, or when the
	// instance started.
	changedAt time.Time
	// heard reports whether a response of the instance has counted.
	heard bool
	// waiting is the number of calls that wait for their time.
	waiting int
}

// reset removes the limit, for a new instance.
func (l *rateLimit) reset(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named, l.limited, l.heard, l.changedAt = 0, false, false, now
	l.refresh(now)
}

// refresh sets the pacer to the rate in force. The caller holds mu.
func (l *rateLimit) refresh(now time.Time) {
	rate := math.Inf(1)
	if l.limited {
		rate = l.named
	}
	cold, applies := l.coldRateOf(now)
	if !applies {
		cold = 0
	}
	for _, limit := range []float64{cold, l.learnedRate(now, cold)} {
		if limit > 0 {
			rate = min(rate, limit)
		}
	}
	if math.IsInf(rate, 1) {
		l.pacer.Unlimit()
	} else {
		l.pacer.Limit(rate)
	}
}

// observe applies what a response says, and reports whether the limit changed.
func (l *rateLimit) observe(a instance.Announcement) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.Err != nil || a.Sent.Before(l.changedAt) {
		return false
	}
	adopted := !l.heard && l.limited
	l.heard = true
	if l.limited == a.Limited && l.named == a.RateLimit && !adopted {
		return false
	}
	if l.limited && !a.Limited && !adopted {
		l.beginSlowStart()
	}
	l.named, l.limited, l.changedAt = a.RateLimit, a.Limited, a.Read
	l.refresh(a.Read)
	return true
}

// adopt applies a limit that another node knows, until a response of the instance counts.
// It serves a node that has restarted since.
func (l *rateLimit) adopt(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.heard && rate > 0 && !l.limited {
		l.named, l.limited = rate, true
		l.pacer.Limit(rate)
	}
}

// rateAt returns the limit in calls per second that is in force now, or 0.
func (l *rateLimit) rateAt(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	return l.pacer.Rate()
}

// namedRate returns the limit that the instance names, or 0.
func (l *rateLimit) namedRate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited {
		return 0
	}
	var named pacing.Pacer
	named.Limit(l.named)
	return named.Rate()
}

// applyTo lowers the limit of a load to the calls that run at the rate limit, and adds the
// calls that wait for their time.
func (l *rateLimit) applyTo(load *linkrpc.Load, now time.Time, runTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	if _, applies := l.coldRateOf(now); applies && runTime == 0 {
		runTime = assumedRunTime
	}
	load.Limit = uint32(l.pacer.Concurrency(int(load.Limit), runTime))
	load.Queued += uint32(l.waiting)
	load.RateLimit, load.RateFullness = l.pacer.Rate(), float32(l.pacer.Fullness(now))
}

// reserve returns how long a call waits for its time, or false if that is longer than
// maxWait. The caller calls arrive once the wait is over.
func (l *rateLimit) reserve(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	wait, reserved := l.pacer.Reserve(now, maxWait)
	if reserved {
		l.waiting++
	}
	return wait, reserved
}

// arrive ends the wait of a call.
func (l *rateLimit) arrive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
}

// giveBack gives back the time of a call that was not sent.
func (l *rateLimit) giveBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer.Return()
}

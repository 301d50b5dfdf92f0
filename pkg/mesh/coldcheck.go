package mesh

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/gate"
	"github.com/plantainramp/plantainramp/pkg/instance"
	"github.com/plantainramp/plantainramp/pkg/logs"
)

const (
	// coldCheckInterval is the time between the starts of two health checks while it is not
	// known whether the instance is cold.
	coldCheckInterval = 250 * time.Millisecond
	// warmCheckInterval is that time if the last health check found the instance warm. It is
	// shorter, as an instance that often ends connections would be held at the rate of a cold
	// one until the next check otherwise.
	warmCheckInterval = 25 * time.Millisecond
	// unconfiguredColdRate is the rate in calls per second of a cold instance while no
	// configuration has been read that names it.
	unconfiguredColdRate = 1
	// maxColdRemaining bounds the cold period that a health check may name, so that a wrong
	// number does not overflow a duration.
	maxColdRemaining = time.Hour
)

// coldChecks starts the health checks of an instance that may be cold.
type coldChecks struct {
	// wake holds a value if a check was requested since the last one began.
	wake wakeSignal
	// logged is the state that was last logged, and loggedPace the rate; only runChecks uses
	// them.
	logged, loggedOnce bool
	loggedPace         float64
}

// ColdRemainingError reports a health check that does not say how long the instance stays
// cold, or not in a form that can be read.
type ColdRemainingError struct {
	Text string
}

// Error implements error.
func (e *ColdRemainingError) Error() string {
	return fmt.Sprintf("the cold period %q in the response to a health check is not a number of milliseconds", e.Text)
}

// request asks for a health check. It does not wait.
func (c *coldChecks) request() { c.wake.send() }

// limitColdCalls sets the limit of the gate for a cold instance. It must be called before the
// gate is prepared.
func (n *Node) limitColdCalls() {
	n.coldChecks.wake = newWakeSignal()
	n.gate.ColdRate, n.gate.OnColdUnknown = n.coldRate, n.coldChecks.request
	n.gate.SlowStart = n.settings.SlowStart
	n.gate.ColdBound = gate.ColdBound{Overage: n.settings.ColdOverage, Slack: n.settings.ColdSlack}
}

// coldRate returns the calls per second that a cold instance of this node's service takes, or
// 0 if there is no limit. The lowest rate applies until a configuration is read, on
// deployments with a bound: calls of peers that have read it may arrive before. It applies to a
// warm instance too, as no health check can confirm then that it is warm.
func (n *Node) coldRate() (rate float64, evenIfWarm bool) {
	view := n.view.Load()
	switch {
	case view != nil:
		return view.ColdRate(n.settings.Service), false
	case n.settings.ColdOverage > 0:
		return unconfiguredColdRate, true
	}
	return 0, false
}

// runColdChecks sends health checks while it is not known whether the instance is cold: one
// as soon as that is so, and then one every coldCheckInterval, until ctx ends. It addresses
// instances that restart or break connections under load, where a heartbeat would tell seconds
// later.
func (n *Node) runColdChecks(ctx context.Context) {
	var sent bool
	check := n.guarded("the check of a cold instance", func() { sent = n.checkCold(ctx) })
	for ctx.Err() == nil {
		if !n.gate.ColdCheckDue() {
			select {
			case <-n.coldChecks.wake:
			case <-ctx.Done():
			}
			continue
		}
		next, nextIfWarm := n.clock.After(coldCheckInterval), n.clock.After(warmCheckInterval)
		sent = false
		check(ctx)
		if cold, _ := n.gate.Cold(); !cold {
			next = nextIfWarm
		}
		var wake wakeSignal
		if !sent {
			wake = n.coldChecks.wake
		}
		select {
		case <-wake:
		case <-next:
		case <-ctx.Done():
		}
	}
}

// treatedAsCold reports whether the instance is cold, or may be while that limits its calls.
func (n *Node) treatedAsCold() (cold, known bool) {
	cold, known = n.gate.Cold()
	rate, evenIfWarm := n.coldRate()
	return cold && (known || rate > 0) || evenIfWarm, known
}

// checkCold asks the instance how long it stays cold, if that is not known and matters. It
// reports whether it sent a health check. An instance of an evacuated data centre gets none.
func (n *Node) checkCold(ctx context.Context) (sent bool) {
	view, local := n.view.Load(), n.gate.LocalInstance()
	if view == nil || local == nil || n.suspended() {
		return false
	}
	path := view.HealthPath(n.settings.Service)
	if rate, _ := n.coldRate(); path == "" || rate == 0 {
		n.gate.HandleColdCheckFailed(false)
		return false
	}
	asked := n.clock.Now()
	remaining, err := n.askColdRemaining(ctx, path, local.ID)
	logger := logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", local.ID)
	if err != nil {
		var failed *HealthCheckError
		n.gate.HandleColdCheckFailed(errors.As(err, &failed) && failed.Instance != "" && failed.Instance != string(local.ID))
		n.events.Log(eventColdCheckFailed, func() logrus.Fields { return logrus.Fields{"id": local.ID, "error": err.Error()} })
		return true
	}
	report := gate.ColdReport{Incarnation: local.Incarnation(), Known: true, At: asked}
	if remaining > 0 {
		report.Until = n.clock.Now().Add(remaining)
	}
	if n.gate.HandleColdHealthCheck(report) {
		logger.WithField("coldMs", milliseconds(remaining)).Info("health check tells how long the instance stays cold")
	}
	return true
}

// askColdRemaining sends a health check and returns how much longer the instance says that it
// stays cold.
func (n *Node) askColdRemaining(ctx context.Context, path string, id fleet.InstanceName) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	call := &instance.Call{Method: http.MethodGet, Target: path, Host: n.settings.InstanceAddress, Idempotent: true, HealthCheck: true}
	response, err := n.instance.Do(ctx, call)
	if err != nil {
		return 0, err
	}
	if response.Status != http.StatusOK || response.Header(n.platform.InstanceHeaders.InstanceID) != string(id) {
		return 0, &HealthCheckError{Status: response.Status, Instance: response.Header(n.platform.InstanceHeaders.InstanceID)}
	}
	text := response.Header(n.platform.InstanceHeaders.ColdRemaining)
	remainingMs, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(remainingMs) {
		return 0, &ColdRemainingError{Text: text}
	}
	remainingMs = min(max(remainingMs, 0), float64(maxColdRemaining.Milliseconds()))
	return time.Duration(remainingMs * float64(time.Millisecond)), nil
}

// HealthCheckError reports a health check that failed, or that another instance answered.
type HealthCheckError struct {
	Status   int
	Instance string
}

// Error implements error.
func (e *HealthCheckError) Error() string {
	return fmt.Sprintf("health check got status %d of instance %q", e.Status, e.Instance)
}

// logPace logs a change of the rate at which calls are sent to the instance.
func (n *Node) logPace() {
	pace, c := n.gate.Pace(), &n.coldChecks
	if pace == c.loggedPace {
		return
	}
	previous := c.loggedPace
	c.loggedPace = pace
	n.events.Log(eventPace, func() logrus.Fields {
		load := n.gate.Slots.Load()
		return logrus.Fields{"ratePerS": pace, "previousPerS": previous, "namedPerS": n.gate.RateLimit(), "inFlight": load.InFlight, "queued": load.Queued, "runMs": milliseconds(load.MeanSlotTime)}
	})
}

// logCold logs the beginning and the end of a cold period.
func (n *Node) logCold() {
	local := n.gate.LocalInstance()
	if local == nil {
		return
	}
	cold, known := n.treatedAsCold()
	c := &n.coldChecks
	if c.loggedOnce && c.logged == cold {
		return
	}
	c.logged, c.loggedOnce = cold, true
	text := "instance is warm"
	if cold {
		text = "instance is cold"
	}
	logs.WithComponent(n.logger, logs.ComponentMember).WithField("id", local.ID).WithField("known", known).WithField("ratePerS", n.gate.Pace()).Info(text)
}

func zeroOrOne(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

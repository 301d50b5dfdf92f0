package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/plantainramp/plantainramp/platform"
	"github.com/plantainramp/plantainramp/platform/platformtest"
)

const (
	// drainTime is the time after an acknowledgement within which requests may still reach a
	// server that leaves. It is a requirement of the users.
	drainTime = 2 * time.Second
	// maxHeartbeatDelay is how late a heartbeat may arrive.
	maxHeartbeatDelay = 10 * time.Second
	// leaveTimeout is the time after which a server without an acknowledgement goes on as if
	// it had one, and leaveRetryInterval that between two tries.
	leaveTimeout       = 6 * time.Second
	leaveRetryInterval = 100 * time.Millisecond
	// observationTime is how long requests are counted after a late heartbeat.
	observationTime = time.Second
)

// departure is the departure of a server at a time of trouble. The times count from the
// moment at which the server begins to leave.
type departure struct {
	machine *machine
	// drains reports whether the server says that it drains; otherwise it deregisters.
	drains bool
	// directoryOnly reports whether the store fails for the directory only, with
	// FaultBusy; otherwise fault concerns all calls. It ends after outage.
	directoryOnly bool
	fault         platformtest.StoreFault
	outage        time.Duration
	// killed are the machines whose nodes are killed at killAt and are down for downTime.
	killed           []*machine
	killAt, downTime time.Duration
	// heartbeatAt is when a heartbeat arrives that was sent before.
	heartbeatAt time.Duration
}

func (d *departure) String() string {
	return fmt.Sprintf("%s drains %t, directory only %t, fault %d for %s, %d killed at %s for %s, heartbeat at %s", d.machine.name, d.drains, d.directoryOnly, d.fault, d.outage, len(d.killed), d.killAt, d.downTime, d.heartbeatAt)
}

// newDeparture returns the departure of a server of the desk, which has a health check, or of
// the calendar, which has none.
func newDeparture(c *cluster, r *rand.Rand) *departure {
	upTo := func(d time.Duration) time.Duration {
		return time.Duration(r.Int64N(int64(d))).Truncate(time.Millisecond)
	}
	d := &departure{
		machine: c.machines[2+r.IntN(4)], drains: r.IntN(2) == 0, directoryOnly: r.IntN(3) == 0, fault: platformtest.StoreFault(r.IntN(4)),
		outage: upTo(3 * time.Second), killAt: upTo(time.Second), downTime: upTo(500 * time.Millisecond), heartbeatAt: upTo(maxHeartbeatDelay),
	}
	// Most heartbeats are late by less than half of that.
	if r.IntN(3) > 0 {
		d.heartbeatAt /= 2
	}
	count := []int{0, 1, 1 + r.IntN(len(c.machines)-1), len(c.machines)}[r.IntN(4)]
	for _, i := range r.Perm(len(c.machines)) {
		if m := c.machines[i]; m == d.machine || len(d.killed) < count-1 {
			d.killed = append(d.killed, m)
		}
	}
	if count == 0 {
		d.killed = nil
	}
	return d
}

// play lets the server leave, and records a violation if requests reach it long after the
// acknowledgement, or if it gets none once it has started again.
func (d *departure) play(ctx context.Context, c *cluster) {
	s, began := d.machine.server, time.Now()
	s.StopHeartbeats()
	deliver := s.DelayHeartbeat()
	var group sync.WaitGroup
	group.Go(func() { d.failStore(c) })
	group.Go(func() { d.killNodes(c, began) })
	acknowledged := d.leave(ctx, began)
	time.Sleep(time.Until(began.Add(d.heartbeatAt)))
	_ = deliver(ctx) // it may arrive while the node is down
	time.Sleep(max(observationTime, time.Until(acknowledged.Add(drainTime+observationTime))))
	group.Wait()
	late := 0
	for _, arrived := range s.Arrivals() {
		if !acknowledged.IsZero() && arrived.Sub(acknowledged) > drainTime {
			late++
		}
	}
	if late > 0 {
		c.addViolation("%d requests reached a server over %s after its leaving was acknowledged: %s", late, drainTime, d)
	}
	d.rejoin(c)
}

func (d *departure) failStore(c *cluster) {
	if d.directoryOnly {
		c.store.SetTopicsDown(platform.TopicDirectory)
	} else {
		c.store.SetFault(d.fault)
	}
	time.Sleep(d.outage)
	c.store.SetTopicsDown()
	c.store.SetFault(platformtest.FaultNone)
}

func (d *departure) killNodes(c *cluster, began time.Time) {
	time.Sleep(time.Until(began.Add(d.killAt)))
	for _, m := range d.killed {
		c.stopNode(m, syscall.SIGKILL)
	}
	time.Sleep(d.downTime)
	for _, m := range d.killed {
		c.startNode(m)
	}
}

// leave repeats that the server leaves until that is acknowledged, and returns when it was; the
// zero time means never.
func (d *departure) leave(ctx context.Context, began time.Time) time.Time {
	say := d.machine.server.Deregister
	if d.drains {
		say = d.machine.server.Drain
	}
	for time.Since(began) < leaveTimeout {
		trialCtx, cancel := context.WithTimeout(ctx, time.Second)
		err := say(trialCtx)
		cancel()
		if err == nil {
			return time.Now()
		}
		time.Sleep(leaveRetryInterval)
	}
	return time.Time{}
}

// rejoin starts the server again under its id.
func (d *departure) rejoin(c *cluster) {
	s := d.machine.server
	before := len(s.Executions())
	s.Rejoin()
	if !platformtest.Await(recoveryTimeout, func() bool { return len(s.Executions()) > before }) {
		c.addViolation("no request was executed within %s after the server had started again: %s", recoveryTimeout, d)
	}
}

// Servers leave while the store fails and nodes are killed, heartbeats from before arrive late,
// and the servers start again. Guards against requests that reach a server long after its leaving
// was acknowledged, and against one that is not used once it is back.
func TestDepartedServersGetNoRequests(t *testing.T) {
	is := is.New(t)
	seed := faultSeed(t)
	c := newCluster(t)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.logTails())
		}
	})
	for _, m := range c.machines {
		awaitService(t, m, "/days/")
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	load := &clients{cluster: c}
	load.run(ctx)
	r := rand.New(rand.NewPCG(seed, 7))
	rounds := 0
	for began := time.Now(); time.Since(began) < faultDuration(t); rounds++ {
		newDeparture(c, r).play(t.Context(), c)
	}
	stop()
	load.group.Wait()
	t.Logf("SOAK_SEED=%d: %d departures, %d requests", seed, rounds, len(load.outcomes))
	checkOutcomes(c, c.records(), load.outcomes)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, violation := range c.violations {
		t.Error(violation)
	}
	is.True(rounds > 0)
}

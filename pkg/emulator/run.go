package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// triggerSettleTime is the time from the start of a trigger until the load
	// counts as steady.
	triggerSettleTime = 2 * time.Second
	// recoveredFraction is the fraction of the worth before the trigger at which
	// goodput counts as recovered.
	recoveredFraction = 0.95
	// NeverRecovered is the recovery time where goodput does not recover.
	NeverRecovered = time.Duration(-1)
)

// Result holds the results of one emulation.
type Result struct {
	CallGraph, Load, Strategy string
	Seed                      uint64
	// Worth is the worth of all responses as a fraction of that of timely
	// responses to all requests; Served is the fraction of the requests that
	// succeeded before their timeout. Both leave out the first seconds, in which
	// costs are learned, and the last, whose requests may not have ended.
	Worth, Served float64
	// TriggerWorth is like Worth, for the requests that started during the
	// trigger but after triggerSettleTime.
	TriggerWorth float64
	// Used is the fraction of the bottleneck's slots that was used by requests
	// that succeeded in that time.
	Used float64
	// Wasted is the fraction of all slot time that was used by failed tries.
	Wasted float64
	// WorstClass is the lowest value in PerClass.
	WorstClass float64
	// Recovery is the time from the end of the trigger until goodput recovers,
	// or NeverRecovered.
	Recovery time.Duration
	// Tries, Refused and Failed count tries of clients; RefusedRetries counts the
	// refused tries that were retries.
	Tries, Refused, Failed, RefusedRetries int
	// PerClass is the fraction of the requests of each class that succeeded.
	PerClass map[routing.RouteName]float64
}

// Run emulates a call graph under a load with one strategy. The same arguments
// give the same result.
func Run(g *CallGraph, l *Load, strategy Strategy, seed uint64) *Result {
	f := newFleet(g, l, seed)
	v, _ := g.Bottleneck()
	f.bottleneck, f.perClass = v.Name, map[*Class]*totals{}
	f.hooks = strategy.Start(f)
	if f.hooks.OnTick != nil {
		f.every(tickInterval, tickInterval, f.hooks.OnTick)
	}
	if f.hooks.OnRestart != nil {
		for _, at := range l.Restarts {
			f.after(at, f.hooks.OnRestart)
		}
	}
	f.scheduleSlowStarts()
	for _, c := range g.Classes {
		f.scheduleArrival(c)
	}
	f.runUntil(l.Duration)
	r := f.result(v)
	r.CallGraph, r.Load, r.Strategy, r.Seed = g.Name, l.Name, strategy.Name, seed
	return r
}

// result computes the result at the end of the load; v is the bottleneck.
func (f *Fleet) result(v *Service) *Result {
	r := &Result{Tries: int(f.tries), Refused: f.refused, Failed: f.failed, RefusedRetries: f.refusedRetries, PerClass: map[routing.RouteName]float64{}, WorstClass: 1}
	first, last := 4, len(f.seconds)-5
	overall := f.sumSeconds(first, last)
	r.Worth, r.Served = overall.worth/max(overall.maxWorth, 1), float64(overall.succeeded)/float64(max(overall.started, 1))
	r.Wasted = f.wastedTime.Seconds() / max((f.usefulTime+f.wastedTime).Seconds(), 1e-9)
	for c, t := range f.perClass {
		r.PerClass[c.Name] = float64(t.succeeded) / float64(max(t.started, 1))
		r.WorstClass = min(r.WorstClass, r.PerClass[c.Name])
	}
	if trigger, hasTrigger := f.Load.triggerWindow(); hasTrigger {
		from, until := int((trigger.From+triggerSettleTime)/time.Second), int(trigger.Until/time.Second)
		triggered := f.sumSeconds(from, until)
		r.TriggerWorth = triggered.worth / max(triggered.maxWorth, 1)
		r.Used = triggered.bottleneckTime.Seconds() / float64(v.Instances*v.Slots*(until-from))
		r.Recovery = f.recoveryTime(first, int(trigger.From/time.Second), until, last)
	}
	return r
}

// sumSeconds adds up the totals of the seconds from one until another, the
// latter excluded.
func (f *Fleet) sumSeconds(from, until int) totals {
	var total totals
	for _, t := range f.seconds[min(from, len(f.seconds)):max(min(until, len(f.seconds)), min(from, len(f.seconds)))] {
		total.maxWorth, total.worth, total.started, total.succeeded, total.bottleneckTime = total.maxWorth+t.maxWorth, total.worth+t.worth, total.started+t.started, total.succeeded+t.succeeded, total.bottleneckTime+t.bottleneckTime
	}
	return total
}

// recoveryTime returns the time after the trigger until the worth over two
// seconds is back to recoveredFraction of the mean before the trigger.
func (f *Fleet) recoveryTime(first, from, until, last int) time.Duration {
	before := f.sumSeconds(first, from)
	baselineWorth := before.worth / max(before.maxWorth, 1)
	for at := until; at+2 <= last; at++ {
		if t := f.sumSeconds(at, at+2); t.worth/max(t.maxWorth, 1) >= recoveredFraction*baselineWorth {
			return time.Duration(at-until) * time.Second
		}
	}
	return NeverRecovered
}

// Seeds returns count seeds that depend on the given seed alone.
func Seeds(seed uint64, count int) []uint64 {
	r := rand.New(rand.NewPCG(seed, 3))
	list := make([]uint64, count)
	for i := range list {
		list[i] = r.Uint64N(1e6)
	}
	return list
}

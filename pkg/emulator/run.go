package emulator

import (
	"math/rand/v2"
	"time"

	"github.com/plantainramp/plantainramp/pkg/routing"
)

const (
	// triggerSettleTime is how long after a trigger's start its load counts as steady.
	triggerSettleTime = 2 * time.Second
	// recoveredFraction is the part of the usual goodput that counts as recovery.
	recoveredFraction = 0.95
	// NeverRecovered stands for a goodput that stayed down.
	NeverRecovered = time.Duration(-1)
)

// Result tells how requests fared in one run.
type Result struct {
	CallGraph, Load, Strategy string
	Seed                      uint64
	// Worth is what was earned of what was owed; Served is the part of the
	// requests that succeeded within their time.
	Worth, Served float64
	// TriggerWorth is the worth while the trigger lasts.
	TriggerWorth float64
	// Used is the part of the bottleneck's slots that requests used which ended
	// well while the trigger lasted.
	Used float64
	// Wasted is the part of all slot time that went to requests that failed.
	Wasted float64
	// WorstClass is the least part of a class that was served.
	WorstClass float64
	// Recovery is the time from the end of the trigger until goodput is back.
	Recovery time.Duration
	// Tries, Refused and Failed count tries of clients, RefusedRetries those refusals that
	// met a client which had come back.
	Tries, Refused, Failed, RefusedRetries int
	PerClass                               map[routing.RouteName]float64
}

// Run plays a load on a shape by one way. The same arguments give the same result.
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
	for _, c := range g.Classes {
		f.scheduleArrival(c)
	}
	f.runUntil(l.Duration)
	r := f.result(v)
	r.CallGraph, r.Load, r.Strategy, r.Seed = g.Name, l.Name, strategy.Name, seed
	return r
}

// result leaves out the first seconds, in which costs are learned, and the
// last, whose requests have not ended.
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

func (f *Fleet) sumSeconds(from, until int) totals {
	var total totals
	for _, t := range f.seconds[min(from, len(f.seconds)):max(min(until, len(f.seconds)), min(from, len(f.seconds)))] {
		total.maxWorth, total.worth, total.started, total.succeeded, total.bottleneckTime = total.maxWorth+t.maxWorth, total.worth+t.worth, total.started+t.started, total.succeeded+t.succeeded, total.bottleneckTime+t.bottleneckTime
	}
	return total
}

// recoveryTime returns how long it takes until two seconds together are as good as
// the time before the trigger.
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

// Seeds returns some seeds that follow from one.
func Seeds(seed uint64, count int) []uint64 {
	r := rand.New(rand.NewPCG(seed, 3))
	list := make([]uint64, count)
	for i := range list {
		list[i] = r.Uint64N(1e6)
	}
	return list
}

package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

type (
	// Window is a period of virtual time, Until excluded.
	Window struct {
		From, Until time.Duration
	}

	// Surge multiplies the arrival rate of client requests by Factor.
	Surge struct {
		Window
		Factor float64
	}

	// Slowdown multiplies the work time of some instances of a service.
	Slowdown struct {
		Window
		Service fleet.ServiceName
		// InstanceFraction of the instances, but at least one, are slowed down;
		// their work takes Factor times as long.
		InstanceFraction, Factor float64
	}

	// Abuse makes some clients retry refused requests at once.
	Abuse struct {
		Window
		// ClientFraction of the clients do so, each of them up to ImmediateRetries
		// times per request.
		ClientFraction   float64
		ImmediateRetries int
	}

	// Load is a load pattern that can be applied to any call graph.
	Load struct {
		Name     string
		Duration time.Duration
		// BaseFactor multiplies the arrival rates of all classes.
		BaseFactor float64
		Surges     []Surge
		Slowdowns  []Slowdown
		Abuse      []Abuse
		ColdStarts []ColdStart
		// SlowStart paces the calls to instances that become cold, as the product does.
		SlowStart bool
		// Restarts holds the times at which all nodes lose their learned state.
		Restarts []time.Duration
	}
)

func (w Window) contains(t time.Duration) bool { return t >= w.From && t < w.Until }

// Loads returns the load patterns on which strategies are compared. All but calm
// have a trigger, a surge or a slowdown of instances of the given bottleneck, from
// 10 s to 22 s after the start.
func Loads(bottleneck fleet.ServiceName) []Load {
	trigger := Window{From: 10 * time.Second, Until: 22 * time.Second}
	duration := 36 * time.Second
	return []Load{
		{Name: "calm", Duration: duration, BaseFactor: 0.8},
		{Name: "surge", Duration: duration, BaseFactor: 1, Surges: []Surge{{trigger, 1.7}}},
		{Name: "flood", Duration: duration, BaseFactor: 1, Surges: []Surge{{trigger, 4}}},
		{Name: "slow", Duration: duration, BaseFactor: 1, Slowdowns: []Slowdown{{trigger, bottleneck, 0.34, 4}}},
		{Name: "abuse", Duration: duration, BaseFactor: 1, Surges: []Surge{{trigger, 1.7}}, Abuse: []Abuse{{Window{trigger.From, duration}, 0.4, 3}}},
		{Name: "restart", Duration: duration, BaseFactor: 1, Surges: []Surge{{trigger, 1.7}}, Restarts: []time.Duration{16 * time.Second}},
	}
}

// arrivalFactor returns the multiple of the usual arrival rate at time t.
func (l *Load) arrivalFactor(t time.Duration) float64 {
	factor := l.BaseFactor
	for _, s := range l.Surges {
		if s.contains(t) {
			factor *= s.Factor
		}
	}
	return factor
}

// workFactor returns the multiple of the usual work time at time t at the
// instance of v with the given index.
func (l *Load) workFactor(t time.Duration, v *Service, index int) float64 {
	factor := 1.0
	for _, s := range l.Slowdowns {
		if s.contains(t) && s.Service == v.Name && index < max(1, int(s.InstanceFraction*float64(v.Instances))) {
			factor *= s.Factor
		}
	}
	return factor
}

// triggerWindow returns the window of the first surge, or else of the first
// slowdown. It returns false if the load has neither.
func (l *Load) triggerWindow() (Window, bool) {
	switch {
	case len(l.Surges) > 0:
		return l.Surges[0].Window, true
	case len(l.Slowdowns) > 0:
		return l.Slowdowns[0].Window, true
	}
	return Window{}, false
}

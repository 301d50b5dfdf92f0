package emulator

import (
	"time"

	"github.com/plantainramp/plantainramp/pkg/fleet"
)

type (
	// Window is a part of a run.
	Window struct {
		From, Until time.Duration
	}

	// Surge multiplies the arrivals of clients' requests.
	Surge struct {
		Window
		Factor float64
	}

	// Slowdown makes a part of a service's instances slower.
	Slowdown struct {
		Window
		Service fleet.ServiceName
		// InstanceFraction of the instances, at least one.
		InstanceFraction, Factor float64
	}

	// Abuse makes a part of the clients repeat refused requests at once.
	Abuse struct {
		Window
		// ClientFraction of the clients; each repeats Repeats times.
		ClientFraction   float64
		ImmediateRetries int
	}

	// Load is what a run plays on a shape.
	Load struct {
		Name     string
		Duration time.Duration
		// BaseFactor multiplies all arrivals.
		BaseFactor float64
		Surges     []Surge
		Slowdowns  []Slowdown
		Abuse      []Abuse
		// Restarts holds the times at which all nodes forget what they know.
		Restarts []time.Duration
	}
)

func (w Window) contains(t time.Duration) bool { return t >= w.From && t < w.Until }

// Loads returns the load patterns that ways are weighed on. Each has its trigger
// from 10 s to 22 s after the start.
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

// arrivalFactor returns by how much arrivals are multiplied at a time.
func (l *Load) arrivalFactor(t time.Duration) float64 {
	factor := l.BaseFactor
	for _, s := range l.Surges {
		if s.contains(t) {
			factor *= s.Factor
		}
	}
	return factor
}

// workFactor returns how many times longer work takes at the index-th of a service's instances.
func (l *Load) workFactor(t time.Duration, v *Service, index int) float64 {
	factor := 1.0
	for _, s := range l.Slowdowns {
		if s.contains(t) && s.Service == v.Name && index < max(1, int(s.InstanceFraction*float64(v.Instances))) {
			factor *= s.Factor
		}
	}
	return factor
}

// triggerWindow returns the window in which the load is not the usual one.
func (l *Load) triggerWindow() (Window, bool) {
	switch {
	case len(l.Surges) > 0:
		return l.Surges[0].Window, true
	case len(l.Slowdowns) > 0:
		return l.Slowdowns[0].Window, true
	}
	return Window{}, false
}

package mesh

import (
	"strings"

	"github.com/plantainramp/plantainramp/pkg/fleet"
	"github.com/plantainramp/plantainramp/pkg/memory"
	"github.com/plantainramp/plantainramp/pkg/routing"
	"github.com/plantainramp/plantainramp/pkg/shedding"
	"github.com/plantainramp/plantainramp/rpc/linkrpc"
)

// outcomeLabel returns the value of the label outcome: answered, lost, or the reason
// why a call was not executed.
func outcomeLabel(outcome *linkrpc.Outcome) string {
	switch outcome.Fate {
	case linkrpc.Fate_FATE_ANSWERED:
		return "answered"
	case linkrpc.Fate_FATE_NOT_RUN:
		return strings.ToLower(strings.TrimPrefix(outcome.Reason.String(), "REASON_"))
	}
	return "lost"
}

// updateGauges sets the gauges to the current values. Times are in seconds, fractions
// between 0 and 1.
func (n *Node) updateGauges(services map[fleet.ServiceName]shedding.Service, admitted map[routing.RouteName]float64) {
	load := n.gate.Slots.Load()
	n.meter.Gauge("gate_in_flight").Update(float64(load.InFlight))
	n.meter.Gauge("gate_slots").Update(float64(load.Limit))
	n.meter.Gauge("gate_rate_limit").Update(n.gate.RateLimit())
	n.meter.Gauge("gate_pace").Update(n.gate.Pace())
	cold, _ := n.treatedAsCold()
	n.meter.Gauge("gate_cold").Update(zeroOrOne(cold))
	n.meter.Gauge("gate_queued").Update(float64(load.Queued))
	n.meter.Gauge("gate_run_seconds").Update(load.MeanSlotTime.Seconds())
	n.meter.Gauge("entrance_in_flight").Update(float64(n.entrance.InFlight()))
	n.meter.Gauge("repeated_part").Update(n.executions.repeatedFraction())
	n.updateRetryGauges()
	n.meter.Gauge("peers").Update(float64(n.peers.NodeCount() - 1))
	conns := n.callerConns.Counts()
	for state, count := range map[string]int{"busy": conns.Busy, "idle": conns.Idle, "unused": conns.Unused, "lingering": conns.Lingering} {
		n.meter.LabelledGauge("caller_connections", "state", state).Update(float64(count))
	}
	for source, bodies := range map[string]*memory.Budget{"callers": &n.callerBodies, "peers": &n.peerBodies} {
		n.meter.LabelledGauge("body_bytes", "source", source).Update(float64(bodies.Used()))
		n.meter.LabelledGauge("bodies_refused", "source", source).Update(float64(bodies.Refused()))
	}
	n.updateBudgetGauges(conns)
	n.meter.Gauge("caller_connections_evicted").Update(float64(conns.Evicted))
	n.meter.Gauge("caller_connections_shortage").Update(float64(conns.ShortageLevel))
	n.meter.Gauge("scheduling_delay_seconds").Update(n.processor.Delay().Seconds())
	n.evacuations.updateGauges(n.meter)
	if age, known := n.configFollower.Age(); known {
		n.meter.Gauge("config_age_seconds").Update(age.Seconds())
	}
	if view := n.view.Load(); view != nil {
		n.meter.Gauge("config_version").Update(float64(view.Version))
	}
	for name, s := range services {
		n.meter.LabelledGauge("service_fullness", "service", string(name)).Update(s.Fullness())
	}
	for name, fraction := range admitted {
		n.meter.LabelledGauge("class_admitted_part", "route", string(name)).Update(fraction)
	}
}

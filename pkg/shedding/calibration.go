package shedding

const (
	// admissionLagSteps is the number of plan intervals between the admission
	// of a request and the arrival of its calls at the services further down
	// the call graph.
	admissionLagSteps = 2
	// stepDecay is the factor applied to the accumulated sums at each step.
	stepDecay = 0.96
	// priorSteps is the weight of the reported costs, in steps of a fully used
	// service. With fewer steps observed than this, the reported costs dominate
	// costRatio.
	priorSteps = 10
	// drainSeconds is the time within which queued calls should be drained.
	drainSeconds = 2
	// minCapacityFraction is the fraction of its slots that a service can
	// always use, however many calls are queued.
	minCapacityFraction = 0.3
	// recentDecay is the factor applied to the recent sums at each step. They
	// count only while the queued calls reach surgeQueueFraction of the slots.
	// maxSurgeRatio is the highest cost ratio that they can yield.
	recentDecay        = 0.5
	surgeQueueFraction = 0.5
	maxSurgeRatio      = 4.0
	// minRatio and maxRatio bound the long-term cost ratio.
	minRatio = 0.75
	maxRatio = 1.6
)

// calibration compares the work that arrives at one service with the work
// predicted by the plans. It answers the load pattern in which costs are known
// only roughly and work arrives some time after its request was admitted. A
// backlog is drained without treating the costs as wrong. Wrong costs are
// detected whether or not calls are queued. A surge that demand reports do not
// show yet is detected by the calls that begin to queue. The zero value is
// ready to use.
type calibration struct {
	// predicted and observed are decaying sums, over all steps, of the slots
	// predicted and of the slots used by the work that arrived.
	predicted, observed float64
	// recentPredicted and recentObserved are the same sums over the last few
	// steps.
	recentPredicted, recentObserved float64
	// waiting is the number of calls queued at the last step.
	waiting float64
}

// observe records the work that arrived in the last step and the slots
// predicted for it.
func (c *calibration) observe(s Service, predicted float64) {
	arrived := max(0, s.Running+s.MeanSlotSeconds*(s.Waiting-c.waiting)/PlanInterval.Seconds())
	c.waiting = s.Waiting
	c.predicted = stepDecay*c.predicted + predicted
	c.observed = stepDecay*c.observed + arrived
	c.recentPredicted = recentDecay*c.recentPredicted + predicted
	c.recentObserved = recentDecay*c.recentObserved + arrived
}

// capacity returns the slots that admitted requests may fill, scaled to the
// reported costs.
func (c *calibration) capacity(s Service) float64 {
	return max(s.Slots*TargetUtilisation-s.Waiting*s.MeanSlotSeconds/drainSeconds, s.Slots*minCapacityFraction) / c.costRatio(s)
}

// costRatio returns the slots actually used for each slot predicted.
func (c *calibration) costRatio(s Service) float64 {
	prior := priorSteps * s.Slots
	longTerm := min(max((c.observed+prior)/(c.predicted+prior), minRatio), maxRatio)
	if s.Waiting < surgeQueueFraction*s.Slots || c.recentPredicted <= 0 {
		return longTerm
	}
	return max(longTerm, min(c.recentObserved/c.recentPredicted, maxSurgeRatio))
}

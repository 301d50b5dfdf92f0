package shedding

const (
	// admissionLagSteps is the steps that pass until an admitted request works at a service below.
	admissionLagSteps = 2
	// stepDecay is what remains of the weight of one step after the next.
	stepDecay = 0.96
	// priorSteps is the steps for which costs are taken at their word before what was
	// seen outweighs them.
	priorSteps = 10
	// drainSeconds is the time in seconds in which calls that wait are to be worked off.
	drainSeconds = 2
	// minCapacityFraction is the part of its slots that a service has however many wait.
	minCapacityFraction = 0.3
	// recentDecay is keep for the sums that show a sudden change, behindFrom the part
	// of its slots that must wait for them to count, mostSudden bounds them.
	recentDecay        = 0.5
	surgeQueueFraction = 0.5
	maxSurgeRatio      = 4.0
	// minRatio and mostRatio bound how far off costs are taken to be.
	minRatio = 0.75
	maxRatio = 1.6
)

// calibration compares the work that arrives at one service with the work that
// the plans foresaw. It answers the load pattern in which costs are known only
// roughly and work arrives some time after its request was admitted: what waits
// is worked off without distrust of the costs, costs that are off are seen
// whether calls wait or not, and a surge that reports of demand do not show yet
// is seen by the calls that begin to wait. Its zero value works.
type calibration struct {
	// predicted and observed are the sums of slots predicted and of slots that the work
	// which arrived took; older steps weigh less.
	predicted, observed float64
	// recentPredicted and recentObserved are the same over the last few steps.
	recentPredicted, recentObserved float64
	// waiting is the calls that waited at the last step.
	waiting float64
}

// observe sets the work that arrived in the last step against what was foreseen.
func (c *calibration) observe(s Service, predicted float64) {
	arrived := max(0, s.Running+s.MeanSlotSeconds*(s.Waiting-c.waiting)/PlanInterval.Seconds())
	c.waiting = s.Waiting
	c.predicted = stepDecay*c.predicted + predicted
	c.observed = stepDecay*c.observed + arrived
	c.recentPredicted = recentDecay*c.recentPredicted + predicted
	c.recentObserved = recentDecay*c.recentObserved + arrived
}

// capacity returns the slots that admitted requests may fill, in the measure of
// their costs.
func (c *calibration) capacity(s Service) float64 {
	return max(s.Slots*TargetUtilisation-s.Waiting*s.MeanSlotSeconds/drainSeconds, s.Slots*minCapacityFraction) / c.costRatio(s)
}

// costRatio returns how many slots each slot that was foreseen takes.
func (c *calibration) costRatio(s Service) float64 {
	prior := priorSteps * s.Slots
	longTerm := min(max((c.observed+prior)/(c.predicted+prior), minRatio), maxRatio)
	if s.Waiting < surgeQueueFraction*s.Slots || c.recentPredicted <= 0 {
		return longTerm
	}
	return max(longTerm, min(c.recentObserved/c.recentPredicted, maxSurgeRatio))
}
